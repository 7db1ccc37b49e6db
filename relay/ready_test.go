package relay_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/relay"
)

// instantBackends is servers that answer at once.
type instantBackends struct{}

func (instantBackends) Send(context.Context, registry.Server, relay.Call) (relay.Response, error) {
	return response{200, strings.NewReader("whole")}, nil
}

// TestRequestBeforeReady lists when a process that has just started knows what the
// store holds, and what becomes of a request that came before.
func TestRequestBeforeReady(t *testing.T) {
	const never = time.Hour
	tests := []struct {
		name string
		// told is when the process knows, left how long the client waits.
		told, left time.Duration
		refused    bool
		after      time.Duration
	}{
		{"at once", 0, 10 * time.Second, false, 0},
		{"among the starts of a whole deployment", 300 * time.Millisecond, 10 * time.Second, false, 300 * time.Millisecond},
		{"a client that does not say how long it waits", 300 * time.Millisecond, 0, false, 300 * time.Millisecond},
		{"in an outage", never, 10 * time.Second, true, 500 * time.Millisecond},
		{"a client in a hurry", 300 * time.Millisecond, 1500 * time.Millisecond, false, 300 * time.Millisecond},
		{"too late for a client in a hurry", 300 * time.Millisecond, 600 * time.Millisecond, true, 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := make(chan struct{})
				r := newRelay(t, catalog.Route{Kind: catalog.KindRepeatable, Timeout: time.Minute, Attempts: 1}, relay.Parts{
					Backends: instantBackends{},
					Ready:    started,
				})
				known := r.Catalog
				r.Catalog = func() *catalog.Catalog {
					select {
					case <-started:
						return known()
					default:
						return catalog.Empty()
					}
				}
				timer := time.AfterFunc(tt.told, func() { close(started) })
				defer timer.Stop()
				began := time.Now()
				reply := &recorder{}
				synctest.Wait()
				ask(t, r, relay.Request{Body: emptyBody(t), TimeLeft: tt.left}, reply)
				if !tt.refused {
					must.Nil(t, reply.refusal)
					must.Eq(t, tt.after, time.Since(began))
					return
				}
				must.Eq(t, relay.ReasonNoConfiguration, reply.refusal.Reason())
				must.Eq(t, tt.after, time.Since(began))
			})
		})
	}
}
