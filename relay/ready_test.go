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

// instantBackends respond at once.
type instantBackends struct{}

func (instantBackends) Send(context.Context, registry.Server, relay.Call) (relay.Response, error) {
	return response{200, strings.NewReader("whole")}, nil
}

// TestRequestBeforeReady checks how requests are handled that arrive before a starting process
// has read the store.
func TestRequestBeforeReady(t *testing.T) {
	const never = time.Hour
	tests := []struct {
		name string
		// readyAfter is when the process is ready, timeLeft how long the client waits.
		readyAfter, timeLeft time.Duration
		refused              bool
		want                 time.Duration
		// startFailed says that nobody had a configuration at the last try.
		startFailed bool
	}{
		{"ready at once", 0, 10 * time.Second, false, 0, false},
		{"all nodes of a deployment start", 300 * time.Millisecond, 10 * time.Second, false, 300 * time.Millisecond, false},
		{"client without a time limit", 300 * time.Millisecond, 0, false, 300 * time.Millisecond, false},
		{"store outage", never, 10 * time.Second, true, 500 * time.Millisecond, false},
		{"client with little time", 300 * time.Millisecond, 1500 * time.Millisecond, false, 300 * time.Millisecond, false},
		{"too late for a client with little time", 300 * time.Millisecond, 600 * time.Millisecond, true, 200 * time.Millisecond, false},
		{"nobody has a configuration", never, 10 * time.Second, true, 0, true},
		{"ready after a failed start", 0, 10 * time.Second, false, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := make(chan struct{})
				r := newRelay(t, catalog.Route{Kind: catalog.KindRepeatable, Timeout: time.Minute, Attempts: 1}, relay.Options{
					Backends:    instantBackends{},
					Ready:       started,
					StartFailed: func() bool { return tt.startFailed },
				})
				catalogInForce := r.Catalog
				r.Catalog = func() *catalog.Catalog {
					select {
					case <-started:
						return catalogInForce()
					default:
						return catalog.Empty()
					}
				}
				timer := time.AfterFunc(tt.readyAfter, func() { close(started) })
				defer timer.Stop()
				start := time.Now()
				got := &recorder{}
				synctest.Wait()
				ask(t, r, relay.Request{Body: emptyBody(t), TimeLeft: tt.timeLeft}, got)
				if !tt.refused {
					must.Nil(t, got.refusal)
					must.Eq(t, tt.want, time.Since(start))
					return
				}
				must.Eq(t, relay.ReasonNoConfiguration, got.refusal.Reason())
				must.Eq(t, tt.want, time.Since(start))
			})
		})
	}
}
