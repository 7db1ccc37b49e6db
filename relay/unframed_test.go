package relay_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/relay"
	"github.com/violettally/violettally/suspect"
)

// unframedResponse is a response that ends with its connection.
type unframedResponse struct{ response }

func (unframedResponse) Framed() bool { return false }

// responses are sent one after the other, each by another server.
type responses struct {
	bodies []string
	sent   int
}

func (r *responses) Send(context.Context, registry.Server, relay.Call) (relay.Response, error) {
	body := r.bodies[min(r.sent, len(r.bodies)-1)]
	r.sent++
	return unframedResponse{response{200, strings.NewReader(body)}}, nil
}

// reportedSuspects counts what is reported of requests.
type reportedSuspects struct {
	noSuspects
	lost, answered, unframed int
}

func (s *reportedSuspects) ReportLost(suspect.Features, registry.Server) { s.lost++ }
func (s *reportedSuspects) ReportAnswered(suspect.Features, time.Time)   { s.answered++ }
func (s *reportedSuspects) ReportUnframed(suspect.Features, registry.Server, time.Time) {
	s.unframed++
}

// TestUnframedStream checks that a stream which ends with its connection is broken off if it ends
// within an event or before the first one, and that its end is no proof of a whole answer otherwise.
func TestUnframedStream(t *testing.T) {
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, tt := range []struct {
		name  string
		first string
		lost  int
	}{
		{"whole", whole, 0},
		{"ends before the first event", "", 1},
		{"ends within the first event", "id: 1\nda", 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			suspects := &reportedSuspects{}
			target := catalog.Route{Kind: catalog.KindStream, Resumable: true, Attempts: 3, Timeout: time.Minute, Objective: time.Second}
			node := newRelay(t, target, relay.Options{Servers: threeServers{}, Backends: &responses{bodies: []string{tt.first, whole}}, Suspects: suspects})
			got := &recorder{}
			ask(t, node, relay.Request{Body: emptyBody(t)}, got)
			must.Eq(t, whole, got.String())
			must.Eq(t, tt.lost, suspects.lost)
			must.Eq(t, 0, suspects.answered)
			must.Eq(t, 1, suspects.unframed)
		})
	}
}
