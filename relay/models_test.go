package relay_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/cascade"
	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/relay"
	"github.com/violettally/violettally/route"
)

// threeModels are those of a route on which the system chooses.
var threeModels = []string{"small", "middle", "large"}

// modelsAsked notes which models were asked; all answers are unsure.
type modelsAsked struct {
	fail int
	sent []string
}

type unsure struct{ given }

func (unsure) Confidence() (float64, bool) { return 45, true }

func (b *modelsAsked) Send(_ context.Context, _ registry.Server, call relay.Call) (relay.Answer, error) {
	b.sent = append(b.sent, call.Model)
	if len(b.sent) <= b.fail {
		return given{500, strings.NewReader("")}, nil
	}
	return unsure{given{200, strings.NewReader("id: 1\n\n")}}, nil
}

// noRepeats has no budget for repeats left.
type noRepeats struct{ noBound }

func (noRepeats) Take(string, float64) bool   { return false }
func (noRepeats) Allows(string, float64) bool { return false }

// TestModelsAsked: the model that answers last is the costliest, whatever came
// before it.
func TestModelsAsked(t *testing.T) {
	tests := []struct {
		name     string
		attempts int
		fail     int
		budgets  relay.Budgets
		want     []string
	}{
		{"one after the other", 3, 0, noBound{}, []string{"small", "middle", "large"}},
		{"two attempts", 2, 0, noBound{}, []string{"small", "large"}},
		{"one attempt", 1, 0, noBound{}, []string{"large"}},
		{"a failure leaves two", 3, 1, noBound{}, []string{"small", "small", "large"}},
		{"two failures leave one", 3, 2, noBound{}, []string{"small", "small", "large"}},
		{"no budget for repeats", 3, 0, noRepeats{}, []string{"large"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, err := catalog.New(catalog.Document{
				Version:  1,
				Services: []catalog.Service{{Name: "s"}},
				Routes: []catalog.Route{{
					Name: "r", Host: "h", Prefix: "/", Kind: catalog.KindStream, Resumable: true, Timeout: 10 * time.Second,
					Attempts: tt.attempts, Models: threeModels, Targets: []catalog.Target{{Service: "s", Weight: 1}},
				}},
			})
			must.NoError(t, err)
			backends := &modelsAsked{fail: tt.fail}
			r := relay.New(relay.Parts{
				Catalog: func() *catalog.Catalog { return c }, Servers: threeServers{}, Versions: noRollout{},
				Balancer: route.NewBalancer("", func(string) {}), Ladder: cascade.NewLadder(), Budgets: tt.budgets, Moves: noMoves{},
				Backends: backends, Records: decision.New("n"), Counters: noCounters{},
			})
			body, err := relay.NewBody(strings.NewReader(""), 0)
			must.NoError(t, err)
			r.Serve(t.Context(), &relay.Request{ID: "1", Host: "h", Path: "/", Arrived: time.Now(), AnyModel: true, Body: body}, &received{})
			must.Eq(t, tt.want, backends.sent)
		})
	}
}
