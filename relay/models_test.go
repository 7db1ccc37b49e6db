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
)

// threeModels are the models of a route on which the system chooses.
var threeModels = []string{"small", "middle", "large"}

// modelRecorder records which models were asked. All its responses have low confidence.
type modelRecorder struct {
	fail int
	sent []string
}

type unsureResponse struct{ response }

func (unsureResponse) Confidence() (float64, bool) { return 45, true }

func (b *modelRecorder) Send(_ context.Context, _ registry.Server, call relay.Call) (relay.Response, error) {
	b.sent = append(b.sent, call.Model)
	if len(b.sent) <= b.fail {
		return response{500, strings.NewReader("")}, nil
	}
	return unsureResponse{response{200, strings.NewReader("id: 1\n\n")}}, nil
}

// noRetryBudget allows no retry.
type noRetryBudget struct{ unlimitedBudget }

func (noRetryBudget) Take(string, float64) bool   { return false }
func (noRetryBudget) Allows(string, float64) bool { return false }

// TestModelOrder checks that the last model asked is the most expensive one, whatever was asked
// before.
func TestModelOrder(t *testing.T) {
	tests := []struct {
		name     string
		attempts int
		fail     int
		budgets  relay.Budgets
		want     []string
	}{
		{"three attempts", 3, 0, unlimitedBudget{}, []string{"small", "middle", "large"}},
		{"two attempts", 2, 0, unlimitedBudget{}, []string{"small", "large"}},
		{"one attempt", 1, 0, unlimitedBudget{}, []string{"large"}},
		{"one failure, two attempts left", 3, 1, unlimitedBudget{}, []string{"small", "small", "large"}},
		{"two failures, one attempt left", 3, 2, unlimitedBudget{}, []string{"small", "small", "large"}},
		{"no retry budget", 3, 0, noRetryBudget{}, []string{"large"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := catalog.Route{Kind: catalog.KindStream, Timeout: 10 * time.Second, Attempts: tt.attempts, Models: threeModels}
			backends := &modelRecorder{fail: tt.fail}
			options := relay.Options{Backends: backends, Budgets: tt.budgets, Reroutes: noReroutes{}}
			serve(t, target, options, relay.Request{AnyModel: true, Body: emptyBody(t)}, &recorder{})
			must.Eq(t, tt.want, backends.sent)
		})
	}
}
