package etcd_test

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/etcd"
	"github.com/violettally/violettally/internal/standin"
)

// revoke ends a lease at a service that has an answer.
func revoke(t *testing.T, answer standin.Answer) error {
	server, err := standin.NewAnswerServer("127.0.0.1:0", answer)
	must.NoError(t, err)
	defer server.Close()
	return etcd.New([]string{"http://" + server.Address()}, "p/").Revoke(t.Context(), 1)
}

// TestSoundAnswers checks that an answer may have a length, come in chunks, or end with its connection in order.
func TestSoundAnswers(t *testing.T) {
	for _, answer := range standin.SoundAnswers {
		t.Run(answer.Name, func(t *testing.T) { must.NoError(t, revoke(t, answer)) })
	}
}

// checkNoAnswer checks that answers are none: the call may have taken effect.
func checkNoAnswer(t *testing.T, answers []standin.Answer) {
	for _, answer := range answers {
		t.Run(answer.Name, func(t *testing.T) {
			err := revoke(t, answer)
			must.True(t, errorx.IsOfType(err, etcd.Unavailable), must.Sprint(err))
		})
	}
}

// TestBadStatusCounts checks that an answer whose status is below 100 is none.
func TestBadStatusCounts(t *testing.T) { checkNoAnswer(t, standin.BadStatusAnswers) }

// TestBlankInNameCounts checks that an answer with a blank in the name of a field is none.
func TestBlankInNameCounts(t *testing.T) { checkNoAnswer(t, standin.BadNameAnswers) }

// TestMalformedAnswers checks that an answer with a line that is no field, or framing that is ambiguous, is none.
func TestMalformedAnswers(t *testing.T) { checkNoAnswer(t, standin.BadAnswers) }
