package relay_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/accuracy"
	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/relay"
)

// TestDecisionStepsParse checks that package accuracy can parse the estimates in a decision
// record.
func TestDecisionStepsParse(t *testing.T) {
	const answered, unanswered = "35 to 50", "no answer yet"
	tests := []struct {
		name     string
		attempts int
		anyModel bool
		models   []string
		offers   map[string]int
	}{
		{"escalation through all models", 3, true, []string{"large", "middle", "small"}, map[string]int{answered: 2}},
		{"most expensive model at once", 1, true, []string{"large"}, map[string]int{unanswered: 1}},
		{"plain request", 3, false, []string{""}, map[string]int{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := catalog.Route{Kind: catalog.KindStream, Timeout: 10 * time.Second, Attempts: tt.attempts, Models: threeModels}
			records := decision.New("n")
			options := relay.Options{Backends: &modelRecorder{}, Reroutes: noReroutes{}, Records: records}
			serve(t, target, options, relay.Request{AnyModel: tt.anyModel, Body: emptyBody(t)}, &recorder{})
			summary, ok := records.Find("1")
			must.True(t, ok)
			table := accuracy.New()
			table.Add(summary.Steps)
			must.Zero(t, table.UnknownSteps(), must.Sprint(summary.Steps))
			var models []string
			for _, m := range table.Models() {
				models = append(models, m.Name())
				must.Eq(t, 1, m.Total().Responses())
			}
			must.Eq(t, tt.models, models)
			for _, b := range table.Escalations() {
				must.Eq(t, tt.offers[b.Name()], b.Escalations(), must.Sprint(b.Name()))
				must.Eq(t, tt.offers[b.Name()], b.Worthwhile(), must.Sprint(b.Name()))
			}
		})
	}
}
