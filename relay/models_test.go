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

// threeModels are those of a route on which the system chooses.
var threeModels = []string{"small", "middle", "large"}

// modelRecorder notes which models were asked; all answers are unsure.
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

// noRetryBudget has no budget for repeats left.
type noRetryBudget struct{ unlimitedBudget }

func (noRetryBudget) Take(string, float64) bool   { return false }
func (noRetryBudget) Allows(string, float64) bool { return false }

// TestModelsAsked: the model that answers last is the costliest, whatever came
// before it.
func TestModelOrder(t *testing.T) {
	tests := []struct {
		name     string
		attempts int
		fail     int
		budgets  relay.Budgets
		want     []string
	}{
		{"one after the other", 3, 0, unlimitedBudget{}, []string{"small", "middle", "large"}},
		{"two attempts", 2, 0, unlimitedBudget{}, []string{"small", "large"}},
		{"one attempt", 1, 0, unlimitedBudget{}, []string{"large"}},
		{"a failure leaves two", 3, 1, unlimitedBudget{}, []string{"small", "small", "large"}},
		{"two failures leave one", 3, 2, unlimitedBudget{}, []string{"small", "small", "large"}},
		{"no budget for repeats", 3, 0, noRetryBudget{}, []string{"large"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := catalog.Route{Kind: catalog.KindStream, Timeout: 10 * time.Second, Attempts: tt.attempts, Models: threeModels}
			backends := &modelRecorder{fail: tt.fail}
			parts := relay.Parts{Backends: backends, Budgets: tt.budgets, Reroutes: noReroutes{}}
			serve(t, target, parts, relay.Request{AnyModel: true, Body: emptyBody(t)}, &recorder{})
			must.Eq(t, tt.want, backends.sent)
		})
	}
}
