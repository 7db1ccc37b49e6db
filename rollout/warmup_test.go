package rollout_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/timer"
)

// TestTargetWarmsUp checks that a rollout sends nothing to the target while its servers warm
// up, but gives it at least half of the first stage. Otherwise the first share of requests
// goes to servers that crash under it, or sessions change versions as nodes see them warm.
func TestTargetWarmsUp(t *testing.T) {
	tests := []struct {
		name           string
		period, warmUp time.Duration
		// first is when the target gets its first share.
		first time.Duration
	}{
		{"no warm-up", 20 * time.Second, 0, 1500 * time.Millisecond},
		{"short warm-up", 20 * time.Second, 3 * time.Second, 3 * time.Second},
		{"longer than half of the stage", 20 * time.Second, time.Minute, 5200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &fakeCluster{token: 1, counts: map[string]rollout.Counts{"n": {"s@in-service": {Answers: 500}}}}
				picker := rollout.NewServicePicker(rollout.NewPicker(), 0.1)
				picker.SetOrder(rollout.Order{Service: "s", Target: "v2", Period: tt.period, WarmUp: tt.warmUp})
				d := rollout.NewDriver("rollouts", c, c, c, picker.Models, timer.New())
				begun := time.Now()
				share := 0.0
				for share == 0 && time.Since(begun) < tt.period {
					d.Step(context.Background(), 1)
					stages, err := rollout.DecodeStages(c.stored)
					must.NoError(t, err)
					share = stages.Models["s"].Share
					if share == 0 {
						time.Sleep(100 * time.Millisecond)
					}
				}
				must.Positive(t, share)
				must.Between(t, tt.first, time.Since(begun), tt.first+200*time.Millisecond)
			})
		})
	}
}
