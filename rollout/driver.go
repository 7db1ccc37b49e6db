package rollout

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/timer"
)

// DocumentStore updates the shared document of stages on the platform and
// applies the result.
type DocumentStore interface {
	Update(ctx context.Context, name string, change func(old []byte) ([]byte, error)) (document.Item, error)
}

// Collector collects the counts of all nodes that respond, by node ID.
type Collector interface {
	Collect(ctx context.Context) map[string]Counts
}

// Lease reports whether this node holds the driver's lease for at least another
// d, and its fencing token.
type Lease interface {
	Held(d time.Duration) (token int64, ok bool)
}

const (
	stepInterval = time.Second
	writeTimeout = time.Second
	// maxStatusChanges is the number of rollouts whose status changes in one step. The store takes 32 entries in a
	// transaction, the stages and the condition on them included.
	maxStatusChanges = 24
	// maxStagesBytes is the size of the shared document up to which it gets more to hold. Half of what a value of the
	// store may take is left for what rollouts under way still add, so that they can always be ended.
	maxStagesBytes = 512 << 10
)

// Driver advances or stops rollouts while this node holds the driver's lease.
type Driver struct {
	name      string
	store     DocumentStore
	collector Collector
	lease     Lease
	timers    *timer.Service
	models    func() []config.Model

	// evidence is kept by the candidate's key in Counts, for the lifetime of the process.
	evidence map[string]*evidence
	nodes    *nodeCounts
}

// NewDriver returns a driver of the given models' rollouts that stores its
// progress in the shared document called name.
func NewDriver(name string, store DocumentStore, collector Collector, lease Lease, models func() []config.Model, timers *timer.Service) *Driver {
	return &Driver{
		name:      name,
		store:     store,
		collector: collector,
		lease:     lease,
		timers:    timers,
		models:    models,
		evidence:  make(map[string]*evidence),
		nodes:     newNodeCounts(),
	}
}

// Run takes a step every second while the lease is held, until the context ends.
func (d *Driver) Run(ctx context.Context) {
	d.timers.Every(ctx, stepInterval, func() {
		if token, ok := d.lease.Held(writeTimeout); ok {
			d.Step(ctx, token)
		}
	})
}

// Step collects the counts once, updates the progress of all rollouts and writes
// it with the fencing token. It does nothing if there is no rollout.
func (d *Driver) Step(ctx context.Context, token int64) {
	active := false
	for _, m := range d.models() {
		active = active || m.Rollout != nil
	}
	if !active {
		return
	}
	d.nodes.update(d.collector.Collect(ctx))
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := d.store.Update(ctx, d.name, func(old []byte) ([]byte, error) { return d.change(old, token) })
	if err != nil && !errors.Is(err, document.ErrUnchanged) {
		slog.Warn("updating rollouts failed", "error", err)
		return
	}
	d.nodes.dropDeparted()
}

// change returns the stored stages with the progress of every rollout updated,
// or ErrUnchanged.
func (d *Driver) change(old []byte, token int64) ([]byte, error) {
	stages, err := DecodeStages(old)
	if err != nil {
		slog.Error("stored stages cannot be read; the rollouts begin anew", "error", err)
	}
	if stages.Token > token {
		return nil, errs.New(Fenced, "change", "token %d is older than the stored token %d", token, stages.Token)
	}
	steps := limitStatusChanges(d.nextSteps(stages))
	stages.Token = token
	data, err := stages.encodeWith(steps)
	if err == nil && len(data) > maxStagesBytes {
		stages.compact(d.models())
		data, err = stages.encodeWith(steps)
	}
	if err == nil && len(data) > maxStagesBytes {
		slog.Warn("rollouts wait until the stages of others take less room", "bytes", len(data))
		steps = slices.DeleteFunc(steps, func(s driverStep) bool { return s.grows })
		data, err = stages.encodeWith(steps)
	}
	if err != nil {
		return nil, err
	}
	for _, s := range steps {
		slog.Info("rollout progressed", "model", s.name, "version", s.after.Version, "stage", s.after.Stage,
			"verdict", s.after.Verdict.String(), "reason", s.after.Reason)
	}
	if len(steps) == 0 {
		return nil, document.ErrUnchanged
	}
	return data, nil
}

// driverStep is a change of the progress of one rollout.
type driverStep struct {
	name  string
	after Progress
	// newStatus means that operators are told of it, grows that the shared document gets more to hold for it.
	newStatus, grows bool
}

// nextSteps returns the changes of all rollouts that follow from the current counts.
func (d *Driver) nextSteps(stages Stages) []driverStep {
	var steps []driverStep
	for _, m := range d.models() {
		if m.Rollout == nil {
			continue
		}
		before, known := stages.Models[m.Name]
		if after := d.next(&m, before, known); !known || after != before {
			steps = append(steps, driverStep{
				name:      m.Name,
				after:     after,
				newStatus: !known || !before.SameStatus(after),
				grows:     !known || len(after.StickySessions) > len(before.StickySessions),
			})
		}
	}
	return steps
}

// limitStatusChanges leaves out steps beyond maxStatusChanges that operators are told of, until the next time; bad
// versions are stopped first, and new rollouts begin last.
func limitStatusChanges(steps []driverStep) []driverStep {
	slices.SortStableFunc(steps, func(a, b driverStep) int { return cmp.Compare(a.rank(), b.rank()) })
	changes := 0
	return slices.DeleteFunc(steps, func(s driverStep) bool {
		if s.newStatus {
			changes++
		}
		return s.newStatus && changes > maxStatusChanges
	})
}

// rank orders steps by how urgent they are.
func (s driverStep) rank() int {
	switch {
	case s.after.Verdict == VerdictStopped:
		return 0
	case !s.grows:
		return 1
	default:
		return 2
	}
}

// next returns the progress that follows from the current counts.
func (d *Driver) next(m *config.Model, p Progress, known bool) Progress {
	now := d.timers.Now().UTC()
	if !known || !p.Concerns(m.Rollout) {
		return d.begin(m, p, now)
	}
	if p.Verdict != VerdictRunning {
		return p
	}
	if p.StageSince.After(now) { // by the clock of an earlier driver, or of another writer
		p.StageSince = now
	}
	key := candidateKey(m, p)
	candidate, baseline := d.nodes.totals(key, inServiceKey(m, p), &p)
	e := d.evidenceOf(key)
	if e.updateBad(m.Rollout, candidate, baseline) {
		p.Evidence = e.bad.Score()
		return p.stop(candidate, "%d of %d answers bad, against %d of %d in service", candidate.Bad, candidate.Answers, baseline.Bad, baseline.Answers)
	}
	if e.updateSlow(m.Rollout, p.Stage, candidate, baseline) {
		return p.stop(candidate, "%d of %d answers slow, against %d of %d in service (%d and %d by the finer measure)",
			candidate.Slow, candidate.Answers, baseline.Slow, baseline.Answers, candidate.SlowFine, baseline.SlowFine)
	}
	stage := m.Rollout.Stages[min(p.Stage, len(m.Rollout.Stages)-1)]
	if stage.TargetSamples > 0 && p.Share == 0 {
		return d.setShare(m, p, stage, baseline, now)
	}
	e.log(m.Name, p, candidate, baseline, now)
	enough := candidate.Answers-p.Samples >= int64(stage.MinSamples)
	longEnough := now.Sub(p.StageSince).Seconds() >= stage.MinSeconds
	if !enough || !longEnough || !e.mayPass(m.Rollout.Guards, p.Stage) {
		return p
	}
	last := p.Stage+1 >= len(m.Rollout.Stages)
	if last && m.Rollout.Replace && d.nodes.runningElsewhere(m.Name, key) > 0 {
		return p
	}
	p.StageSince, p.Evidence, p.Samples = now, e.bad.Score(), candidate.Answers
	return p.advance(last)
}

// evidenceOf returns the evidence on a candidate, by its count key.
func (d *Driver) evidenceOf(candidate string) *evidence {
	if d.evidence[candidate] == nil {
		d.evidence[candidate] = &evidence{}
	}
	return d.evidence[candidate]
}

// begin returns the progress of a rollout that begins now, after an earlier one.
func (d *Driver) begin(m *config.Model, earlier Progress, now time.Time) Progress {
	p := Progress{Version: m.Rollout.Version, Order: declaredOrder(m.Rollout), StageSince: now, Reason: "started"}
	p.Withdrawn = strings.Join(earlier.withdrawn(p.Version), "\n")
	_, baseline := d.nodes.totals(candidateKey(m, p), inServiceKey(m, p), &p)
	p.Requests = baseline.Answers + baseline.Running
	return p
}

// candidateKey returns the count key of the version that is rolled out.
func candidateKey(m *config.Model, p Progress) string {
	return countKey(m.Name, countName(m.Rollout.Version, p.order(m.Rollout)))
}

// inServiceKey returns the count key of the version in service, or "" if there
// is none.
func inServiceKey(m *config.Model, p Progress) string {
	if v := m.InService(); v != nil {
		return countKey(m.Name, countName(v.Name, p.order(m.Rollout)))
	}
	return ""
}

// stop stops the rollout for the given reason. No session is held back any more.
func (p Progress) stop(candidate Count, format string, args ...any) Progress {
	p.Share, p.StickySessions = 0, ""
	p.Verdict, p.Samples, p.Reason = VerdictStopped, candidate.Answers, fmt.Sprintf(format, args...)
	return p
}

// advance moves to the next stage, or completes the rollout after the last one.
// It clears the fields that apply to a single stage.
func (p Progress) advance(last bool) Progress {
	p.Share, p.StickySessions = 0, ""
	if last {
		p.Verdict, p.Reason = VerdictComplete, "all stages passed"
		return p
	}
	p.Stage++
	p.Reason = "stage passed"
	return p
}

// measureDuration is how long requests are counted before their rate is used to
// size a stage.
const measureDuration = 1500 * time.Millisecond

// setShare sizes a stage from the measured request rate, so that the candidate gives about TargetSamples answers, and
// makes the active sessions sticky. A stage that is too short to measure the rate gets the largest share.
func (d *Driver) setShare(m *config.Model, p Progress, stage config.Stage, baseline Count, now time.Time) Progress {
	elapsed := now.Sub(p.StageSince).Seconds()
	measured := max(measureDuration.Seconds(), stage.HoldSeconds)
	remaining := stage.MinSeconds - elapsed
	requests := baseline.Answers + baseline.Running
	switch {
	case stage.MinSeconds <= measured:
		p.Share, p.Reason = stage.Share, "share without a measured rate"
	case remaining <= 0: // no driver was at work, or the shares of others took all room
		p.StageSince, p.Requests = now, requests
		p.Reason = "started again: the first stage passed without a share"
		return p
	case elapsed < measured:
		return p
	default:
		expected := float64(requests-p.Requests) / elapsed * remaining
		p.Share = min(stage.Share, float64(stage.TargetSamples)/max(1, expected))
		p.Reason = fmt.Sprintf("share for %d answers of about %.0f requests", stage.TargetSamples, expected)
	}
	if inService := m.InService(); inService != nil {
		p.StickySessions = encodeSessions(d.nodes.recentSessions(countKey(m.Name, inService.Name)))
	}
	return p
}
