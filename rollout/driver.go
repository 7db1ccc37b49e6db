package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/timer"
)

// Shared changes the stages at the platform and puts them in force.
type Shared interface {
	Update(ctx context.Context, name string, change func(old []byte) ([]byte, error)) (document.Item, error)
}

// Collector asks all nodes for their counts.
type Collector interface {
	Collect(ctx context.Context) map[string]Counts
}

// Lease tells whether this node is the driver.
type Lease interface {
	Held(d time.Duration) (token int64, ok bool)
}

const (
	// driveInterval lies between two steps of the driver.
	driveInterval = time.Second
	// writeTime is how long a write of the stages may take.
	writeTime = time.Second
)

// Driver moves roll-outs on while this node holds the lease.
type Driver struct {
	name      string
	shared    Shared
	collector Collector
	lease     Lease
	timers    *timer.Service
	models    func() []config.Model

	// tests are by "model@version" of the candidate and what they look for:
	// three for each candidate, of which the guards may leave out two.
	tests map[string]*Test
	nodes *nodes
}

// NewDriver returns a driver that writes the shared document of that name.
func NewDriver(name string, shared Shared, collector Collector, lease Lease, models func() []config.Model, timers *timer.Service) *Driver {
	return &Driver{
		name:      name,
		shared:    shared,
		collector: collector,
		lease:     lease,
		timers:    timers,
		models:    models,
		tests:     make(map[string]*Test),
		nodes:     newNodes(),
	}
}

// Run drives until the context ends.
func (d *Driver) Run(ctx context.Context) {
	d.timers.Every(ctx, driveInterval, func() {
		if token, ok := d.lease.Held(writeTime); ok {
			d.Step(ctx, token)
		}
	})
}

// Step collects the counts once and writes what follows from them.
func (d *Driver) Step(ctx context.Context, token int64) {
	active := false
	for _, m := range d.models() {
		active = active || m.Rollout != nil
	}
	if !active {
		return
	}
	d.nodes.take(d.collector.Collect(ctx))
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	_, err := d.shared.Update(ctx, d.name, func(old []byte) ([]byte, error) { return d.change(old, token) })
	if err != nil && !errors.Is(err, document.ErrUnchanged) {
		slog.Warn("roll-outs not moved on", "error", err)
		return
	}
	d.nodes.forgetGone()
}

// change moves every roll-out on in the stored stages.
func (d *Driver) change(old []byte, token int64) ([]byte, error) {
	stages, err := DecodeStages(old)
	if err != nil {
		return nil, err
	}
	if stages.Token > token {
		return nil, errs.New(Fenced, "change", "token %d is behind %d", token, stages.Token)
	}
	changed := false
	for _, m := range d.models() {
		if m.Rollout == nil {
			continue
		}
		before, known := stages.Models[m.Name]
		after := d.next(&m, before, known)
		if !known || after != before {
			slog.Info("roll-out moved", "model", m.Name, "version", after.Version, "stage", after.Stage,
				"verdict", after.Verdict.String(), "reason", after.Reason)
			stages.Models[m.Name] = after
			changed = true
		}
	}
	if !changed {
		return nil, document.ErrUnchanged
	}
	stages.Token = token
	return json.Marshal(stages)
}

// next returns the progress that follows from the present counts.
func (d *Driver) next(m *config.Model, p Progress, known bool) Progress {
	now := d.timers.Now().UTC()
	if !known || p.Version != m.Rollout.Version {
		return Progress{Version: m.Rollout.Version, Since: now, Reason: "started"}
	}
	if p.Verdict != VerdictRunning {
		return p
	}
	candidate, baseline := d.nodes.totals(countName(m.Name, m.Rollout.Version), inServiceName(m), &p)
	test := d.test(m, "bad")
	bad := test.Update(m.Rollout.Guards, m.Rollout.TotalMinSamples(), candidate, baseline)
	if bad || d.oftenBad(m, candidate, baseline) {
		p.Verdict, p.Evidence, p.Samples = VerdictStopped, test.Score(), candidate.Answers
		p.Reason = fmt.Sprintf("%d of %d answers bad, against %d of %d in service", candidate.Bad, candidate.Answers, baseline.Bad, baseline.Answers)
		return p
	}
	if d.tooSlow(m, candidate, baseline) {
		p.Verdict, p.Samples = VerdictStopped, candidate.Answers
		p.Reason = fmt.Sprintf("%d of %d answers slow, against %d of %d in service", candidate.Slow, candidate.Answers, baseline.Slow, baseline.Answers)
		return p
	}
	stage := m.Rollout.Stages[min(p.Stage, len(m.Rollout.Stages)-1)]
	if stage.TargetSamples > 0 && p.Share == 0 {
		return d.size(m, p, stage, baseline, now)
	}
	enough := candidate.Answers-p.Samples >= int64(stage.MinSamples)
	longEnough := now.Sub(p.Since).Seconds() >= stage.MinSeconds
	if !enough || !longEnough {
		return p
	}
	last := p.Stage+1 >= len(m.Rollout.Stages)
	if last && m.Rollout.Replace && d.nodes.running(inServiceName(m)) > 0 {
		return p
	}
	p.Since, p.Evidence, p.Samples = now, test.Score(), candidate.Answers
	return p.passed(last)
}

// inServiceName is the name under which answers of the version in service are
// counted; "" if there is none.
func inServiceName(m *config.Model) string {
	if v := m.InService(); v != nil {
		return countName(m.Name, v.Name)
	}
	return ""
}

// passed moves on from a stage that has been passed. What was set for that
// stage alone is dropped.
func (p Progress) passed(last bool) Progress {
	p.Share, p.Held = 0, ""
	if last {
		p.Verdict, p.Reason = VerdictComplete, "all stages passed"
		return p
	}
	p.Stage++
	p.Reason = "stage passed"
	return p
}

// measureTime is how long requests are counted before a stage's share is
// lowered by their number.
const measureTime = 1500 * time.Millisecond

// size sets the share by which a stage gives about as many answers as wanted,
// and holds the sessions that are under way.
func (d *Driver) size(m *config.Model, p Progress, stage config.Stage, baseline Count, now time.Time) Progress {
	elapsed := now.Sub(p.Since).Seconds()
	left := stage.MinSeconds - elapsed
	if elapsed < measureTime.Seconds() || left <= 0 {
		return p
	}
	expected := float64(baseline.Answers+baseline.Running) / elapsed * left
	p.Share = min(stage.Share, float64(stage.TargetSamples)/max(1, expected))
	inService := inServiceName(m)
	if inService == "" {
		return p
	}
	p.Held = encodeSlots(d.nodes.recent(inService))
	p.Reason = fmt.Sprintf("share for %d answers of about %.0f requests", stage.TargetSamples, expected)
	return p
}

// oftenBad makes the same test against a smaller increase, where there is one:
// against a large one a few failures in many answers weigh nothing.
func (d *Driver) oftenBad(m *config.Model, candidate, baseline Count) bool {
	guards := m.Rollout.Guards
	if guards.StrictBadIncrease == 0 {
		return false
	}
	guards.MaxBadIncrease = guards.StrictBadIncrease
	return d.test(m, "often bad").Update(guards, m.Rollout.TotalMinSamples(), candidate, baseline)
}

// tooSlow makes the same test of slow answers, where these are counted.
func (d *Driver) tooSlow(m *config.Model, candidate, baseline Count) bool {
	guards := m.Rollout.Guards
	if guards.MaxSlowIncrease == 0 {
		return false
	}
	guards.MaxBadIncrease = guards.MaxSlowIncrease
	candidate.Bad = candidate.Slow
	baseline.Bad = max(baseline.Slow, int64(guards.MinSlowBaseline*float64(baseline.Answers)))
	return d.test(m, "slow").Update(guards, m.Rollout.TotalMinSamples(), candidate, baseline)
}

// test returns one of the tests of a model's candidate, which last as long as
// the process.
func (d *Driver) test(m *config.Model, of string) *Test {
	name := countName(m.Name, m.Rollout.Version) + " " + of
	if d.tests[name] == nil {
		d.tests[name] = &Test{}
	}
	return d.tests[name]
}
