package rollout_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/timer"
)

// storeValueBytes is the size of a value that the platform's store takes.
const storeValueBytes = 1 << 20

// boundedStore refuses values that are too large.
type boundedStore struct{ *fakeCluster }

func (b boundedStore) Update(ctx context.Context, name string, change func([]byte) ([]byte, error)) (document.Item, error) {
	return b.fakeCluster.Update(ctx, name, func(old []byte) ([]byte, error) {
		data, err := change(old)
		if err == nil && len(data) > storeValueBytes {
			return nil, errors.New("value too large")
		}
		return data, err
	})
}

// TestStagesOutgrowStore checks that bad versions are stopped whatever earlier and other rollouts have left in the
// shared document: the store bounds the size of a value.
func TestStagesOutgrowStore(t *testing.T) {
	const ordered = 30
	// forgotten fills the value with rollouts of services that have no order any more.
	forgotten := func() []byte {
		stages := rollout.Stages{Models: make(map[string]rollout.Progress)}
		p := rollout.Progress{Version: "v2", Verdict: rollout.VerdictStopped, Reason: strings.Repeat("r", 100)}
		entry, err := json.Marshal(p)
		must.NoError(t, err)
		for i := range storeValueBytes/(len(entry)+len(`"s-00000":,`)) - 1 {
			stages.Models[fmt.Sprintf("f-%05d", i)] = p
		}
		data, err := json.Marshal(stages)
		must.NoError(t, err)
		return data
	}
	tests := []struct {
		name string
		// sessions is the number of active sessions of each service.
		sessions int
		stored   []byte
	}{
		{"many sessions", 5000, nil},
		{"very many sessions", 200_000, nil},
		{"services without an order", 100, forgotten()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &fakeCluster{token: 1, counts: map[string]rollout.Counts{}, stored: tt.stored}
				s := rollout.NewServicePicker(rollout.NewPicker(), 0.1)
				d := rollout.NewDriver("rollouts", boundedStore{c}, c, c, s.Models, timer.New())
				sessions := make([]uint32, tt.sessions)
				for i := range sessions {
					sessions[i] = uint32(i) + 1<<31
				}
				for i := range ordered {
					service := fmt.Sprint("s-", i)
					s.SetOrder(rollout.Order{Service: service, Target: "v2", Period: time.Minute})
					counts := rollout.Counts{}
					for range 3 { // begins, then has its share
						d.Step(context.Background(), 1)
						time.Sleep(time.Second)
						old := counts[service+"@in-service"]
						old.Answers += 1000
						old.RecentSessions = sessions
						counts[service+"@in-service"] = old
						c.counts["n"] = counts
					}
					stages, err := rollout.DecodeStages(c.stored)
					must.NoError(t, err)
					must.Positive(t, stages.Models[service].Share, must.Sprint(service))
					counts[service+"@v2"] = rollout.Count{Answers: 100, Bad: 100}
					d.Step(context.Background(), 1)
					stages, err = rollout.DecodeStages(c.stored)
					must.NoError(t, err)
					must.Eq(t, rollout.VerdictStopped, stages.Models[service].Verdict, must.Sprint(service))
				}
			})
		})
	}
}

// TestManyOrdersOutgrowStore checks that bad versions are stopped although more services have an order than the shared
// document has room for.
func TestManyOrdersOutgrowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const services, underWay = 3000, 2300
		stages := rollout.Stages{Models: make(map[string]rollout.Progress)}
		counts := rollout.Counts{}
		s := rollout.NewServicePicker(rollout.NewPicker(), 0.1)
		for i := range services {
			service := fmt.Sprintf("%s-%04d", strings.Repeat("s", 180), i)
			s.SetOrder(rollout.Order{Service: service, Target: "v2", Period: time.Minute})
			if i < underWay {
				stages.Models[service] = rollout.Progress{Version: "v2", Stage: 1, Reason: "stage passed", StageSince: time.Now()}
				counts[service+"@v2"] = rollout.Count{Answers: 100, Bad: 100}
				counts[service+"@in-service"] = rollout.Count{Answers: 1000}
			}
		}
		stored, err := json.Marshal(stages)
		must.NoError(t, err)
		c := &fakeCluster{token: 1, counts: map[string]rollout.Counts{"n": counts}, stored: stored}
		d := rollout.NewDriver("rollouts", boundedStore{c}, c, c, s.Models, timer.New())
		for range underWay / 20 {
			d.Step(context.Background(), 1)
		}
		stages, err = rollout.DecodeStages(c.stored)
		must.NoError(t, err)
		for service, p := range stages.Models {
			must.Eq(t, rollout.VerdictStopped, p.Verdict, must.Sprint(service))
		}
	})
}

// TestOddStagesStopRollouts checks that rollouts go on whatever another writer has left in the shared document.
func TestOddStagesStopRollouts(t *testing.T) {
	const running = `{"version": "v2", "stage": 1, "since": "2000-01-01T00:00:00Z"}`
	for name, stored := range map[string]string{
		"no document":         `none`,
		"of another type":     `[1, 2]`,
		"too large a token":   `{"token": 1e400, "models": {}}`,
		"deeply nested":       `{"models": {"odd": ` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}}`,
		"an odd rollout":      `{"models": {"odd": {"stage": "none"}, "s": ` + running + `}}`,
		"an unknown verdict":  `{"models": {"s": {"version": "v2", "verdict": "none"}}}`,
		"a negative stage":    `{"models": {"s": {"version": "v2", "stage": -1}}}`,
		"a very late stage":   `{"models": {"s": {"version": "v2", "stage": 9223372036854775807}}}`,
		"too large a share":   `{"models": {"s": {"version": "v2", "stage": 0, "share": 1e300}}}`,
		"begun in the future": `{"models": {"s": {"version": "v2", "stage": 0, "share": 0.1, "since": "9999-01-01T00:00:00Z"}}}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &fakeCluster{token: 1, stored: []byte(stored)}
				s := newServicePicker(t, `{}`)
				d := rollout.NewDriver("rollouts", c, c, c, s.Models, timer.New())
				progress := rollout.Progress{}
				for second := range 100 {
					answers := int64(100 * second)
					c.counts = map[string]rollout.Counts{"n": {"s@in-service": {Answers: answers}, "s@v2": {Answers: answers / 10}}}
					d.Step(context.Background(), 1)
					time.Sleep(time.Second)
					stages, err := rollout.DecodeStages(c.stored)
					must.NoError(t, err)
					progress = stages.Models["s"]
				}
				must.Eq(t, rollout.VerdictComplete, progress.Verdict)
			})
		})
	}
}
