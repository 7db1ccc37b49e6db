package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/engine"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/dispatch"
	"github.com/violettally/violettally/internal/standin"
)

const (
	// answerTime bounds a request in these tests.
	answerTime = 30 * time.Second
	// resetUploadSize is the length of a request body that no buffers take, in bytes.
	resetUploadSize = 32 << 20
)

// uploadSizes are the lengths of request bodies in bytes: none, a short and a long one.
var uploadSizes = []int{0, 20_000, 900_000}

// callService calls a plain service that has an answer.
func callService(t *testing.T, answer standin.Answer, size int, options ...engine.Option) (dispatch.ServiceResponse, error) {
	ctx, cancel := context.WithTimeout(t.Context(), answerTime)
	defer cancel()
	call := dispatch.ServiceCall{Method: http.MethodPost, Path: "/x", Body: make([]byte, size)}
	response, err := engine.New(options...).Call(ctx, startAnswerServer(t, answer), call)
	must.NoError(t, ctx.Err())
	return response, err
}

// startAnswerServer starts a server with an answer.
func startAnswerServer(t *testing.T, answer standin.Answer) config.Server {
	server, err := standin.NewAnswerServer("127.0.0.1:0", answer)
	must.NoError(t, err)
	t.Cleanup(server.Close)
	return config.Server{Name: "s", URL: "http://" + server.Address()}
}

// TestSoundAnswers checks that a response is whole with a length, in chunks, or if it ends with its connection in
// order: of a plain service, or of an engine whose stream ends.
func TestSoundAnswers(t *testing.T) {
	for _, answer := range standin.SoundAnswers {
		for _, size := range uploadSizes {
			t.Run(fmt.Sprint(answer.Name, ", upload ", size), func(t *testing.T) {
				response, err := callService(t, answer, size)
				must.NoError(t, err)
				must.Eq(t, standin.AnswerBody, string(response.Body))
			})
		}
		for _, kind := range []string{"stream", "resume"} {
			t.Run(fmt.Sprint(answer.Name, ", ", kind), func(t *testing.T) {
				stream, err := asks(engine.New())[kind](t.Context(), startAnswerServer(t, answer))
				must.NoError(t, err)
				defer stream.Close()
				_, err = stream.Next()
				must.ErrorIs(t, err, io.EOF)
			})
		}
	}
}

// TestResetAnswerLooksWhole checks that a response that a plain service breaks off by a reset is none, if the reset is
// met first by the writer of the request.
func TestResetAnswerLooksWhole(t *testing.T) {
	dial := engine.WithDialer(standin.DialWriterFirst(engine.DialServer))
	for _, answer := range standin.ResetAnswers {
		t.Run(answer.Name, func(t *testing.T) {
			response, err := callService(t, answer, resetUploadSize, dial)
			must.Error(t, err, must.Sprintf("body %q", response.Body))
		})
	}
}

// checkNoAnswer checks that answers are no responses of a plain service, or of an engine that is asked in some ways.
func checkNoAnswer(t *testing.T, answers []standin.Answer, kinds ...string) {
	for _, answer := range answers {
		for _, size := range uploadSizes {
			t.Run(fmt.Sprint(answer.Name, ", upload ", size), func(t *testing.T) {
				response, err := callService(t, answer, size)
				must.Error(t, err, must.Sprintf("status %d, body %q", response.Status, response.Body))
			})
		}
		for _, kind := range kinds {
			t.Run(fmt.Sprint(answer.Name, ", ", kind), func(t *testing.T) {
				stream, err := asks(engine.New())[kind](t.Context(), startAnswerServer(t, answer))
				if err == nil {
					_, err = stream.Next()
					stream.Close()
				}
				must.Error(t, err)
				must.False(t, errors.Is(err, io.EOF))
			})
		}
	}
}

// TestBadStatusReachesClient checks that an answer whose status is below 100 is no response.
func TestBadStatusReachesClient(t *testing.T) {
	checkNoAnswer(t, standin.BadStatusAnswers, "whole", "stream", "resume")
}

// TestBlankInNameReachesClient checks that an answer with a blank in the name of a field is no response.
func TestBlankInNameReachesClient(t *testing.T) {
	checkNoAnswer(t, standin.BadNameAnswers, "whole", "stream", "resume")
}

// TestBadTrailerReachesClient checks that a response whose trailer is malformed is none, unless it is a stream, which
// has a mark of its own at its end.
func TestBadTrailerReachesClient(t *testing.T) {
	checkNoAnswer(t, standin.BadTrailerAnswers, "whole")
}

// TestMalformedAnswers checks that an answer with a line that is no field, or framing that is ambiguous, is no response.
func TestMalformedAnswers(t *testing.T) {
	checkNoAnswer(t, standin.BadAnswers, "whole", "stream", "resume")
}
