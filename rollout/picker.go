package rollout

import (
	"log/slog"
	"maps"
	"sync"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/rendezvous"
)

// Picker picks the versions of models on one node and counts their answers. It
// is safe for concurrent use.
type Picker struct {
	mu     sync.Mutex
	stages Stages
	counts Counts
	// orders maps a model to the order under which answers are counted, as far as it is known here.
	orders map[string]int64
	// stickySessions maps a model to the hashes of the sessions that stay on the
	// version in service.
	stickySessions map[string]map[uint32]bool
	// recentSessions maps "model@version" to the sessions that the first stage
	// could move, by their hashes.
	recentSessions map[string]map[uint32]sessionActivity
}

// NewPicker returns a picker without stages. Until Apply is called, no session
// goes to a version that is rolling out.
func NewPicker() *Picker {
	return &Picker{counts: make(Counts), orders: make(map[string]int64), recentSessions: make(map[string]map[uint32]sessionActivity)}
}

// Apply replaces the stages by those of the shared document. A document that
// cannot be decoded yields a Malformed error and changes nothing.
func (p *Picker) Apply(item document.Item) error {
	stages, err := DecodeStages(item.Data)
	if err != nil {
		return err
	}
	if len(stages.invalid) > 0 {
		slog.Error("invalid stages of rollouts are left out", "models", stages.invalid, "revision", item.Revision)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.stages.Models
	p.stages = stages
	sticky := make(map[string]map[uint32]bool)
	for model, progress := range stages.Models {
		sticky[model] = p.stickySessionsOf(model, progress, before[model])
	}
	p.stickySessions = sticky
	return nil
}

// stickySessionsOf returns the sessions that stay on the version in service during a stage: those that the driver
// knew as it set the share, and those that have been active at this node until it hears of that. The caller must
// hold mu.
func (p *Picker) stickySessionsOf(model string, progress, before Progress) map[uint32]bool {
	sessions := decodeSessions(progress.StickySessions)
	switch {
	case progress.Share == 0:
	case progress.StageSince.Equal(before.StageSince) && before.Share > 0:
		maps.Copy(sessions, p.stickySessions[model])
	default:
		for _, hash := range p.activeSessions(countKey(model, inServiceVersion)) {
			sessions[hash] = true
		}
	}
	return sessions
}

// Progress returns the state of a model's rollout, if it is known.
func (p *Picker) Progress(model string) (Progress, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	progress, ok := p.stages.Models[model]
	return progress, ok
}

// Pick returns the version for a new session, or for a request without one.
// The hash of the key is compared with the stage's share, so that every node
// picks the same version for a session. Versions that are not allowed are
// skipped; if none is left, the error is NoVersion.
func (p *Picker) Pick(m *config.Model, key string, allowed func(version string) bool) (*config.Version, error) {
	inService := m.InService()
	if inService != nil && !allowed(inService.Name) {
		inService = nil
	}
	candidate := p.candidate(m, allowed)
	switch {
	case candidate == nil && inService == nil:
		return nil, errs.New(NoVersion, "pick", "no version of %s takes new sessions", m.Name)
	case candidate == nil:
		return inService, nil
	case inService == nil, position(m.Name, key) < p.share(m) && !p.isSticky(m.Name, key):
		return candidate, nil
	default:
		return inService, nil
	}
}

// candidate returns the version that is rolling out, or nil if there is none, it
// is not allowed or it was stopped.
func (p *Picker) candidate(m *config.Model, allowed func(string) bool) *config.Version {
	if m.Rollout == nil || !allowed(m.Rollout.Version) {
		return nil
	}
	if progress, ok := p.Progress(m.Name); ok && progress.Concerns(m.Rollout) && progress.Verdict == VerdictStopped {
		return nil
	}
	for i := range m.Versions {
		v := &m.Versions[i]
		if v.Name == m.Rollout.Version && v.State == config.VersionRollingOut {
			return v
		}
	}
	return nil
}

// share returns the share of new sessions that goes to the candidate. It is zero
// until the driver has written the first stage.
func (p *Picker) share(m *config.Model) float64 {
	progress, ok := p.Progress(m.Name)
	switch {
	case !ok || !progress.Concerns(m.Rollout):
		return 0
	case progress.Verdict == VerdictComplete:
		return 1
	}
	stage := m.Rollout.Stages[min(progress.Stage, len(m.Rollout.Stages)-1)]
	if stage.TargetSamples > 0 {
		return min(progress.Share, stage.Share)
	}
	return stage.Share
}

// position maps a key to a uniformly distributed value in [0, 1).
func position(model, key string) float64 {
	return rendezvous.Position(rendezvous.Hash(model + "/" + key))
}

// order returns the order under which the answers of a model that is rolled out are counted now.
func (p *Picker) order(m *config.Model) int64 {
	progress, _ := p.Progress(m.Name)
	return progress.order(m.Rollout)
}

// Count records one answer of a version of a model that is rolled out.
func (p *Picker) Count(m *config.Model, version string, bad bool) {
	order := p.order(m)
	p.setOrder(m.Name, order)
	p.count(m.Name, countName(version, order), bad, false)
}

// setOrder drops what was counted under earlier orders for a model and has ended.
func (p *Picker) setOrder(model string, order int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.orders[model] == order {
		return
	}
	p.orders[model] = order
	for key, c := range p.counts {
		if isKeyOf(model, key) && p.isOver(model, key, c) {
			delete(p.counts, key)
		}
	}
}

// isOver reports whether a count of a model is not needed any more. The caller must hold mu.
func (p *Picker) isOver(model, key string, c Count) bool {
	if c.Running != 0 || c.RunningBeforeOrder != 0 {
		return false
	}
	_, order := splitName(key)
	return c.Answers == 0 && c.SlowFine == 0 || order != 0 && order != p.orders[model]
}

func (p *Picker) count(model, version string, bad, slow bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := countKey(model, version)
	c := p.counts[name]
	c.Answers++
	if bad {
		c.Bad++
	}
	if slow {
		c.Slow++
	}
	p.counts[name] = c
}

// countSlowFine records that an answer which is counted, or will be, is slow by the finer measure.
func (p *Picker) countSlowFine(model, version string) {
	p.updateRunning(model, version, func(c *Count) { c.SlowFine++ })
}

// Begin records that a request starts to run on a version. The caller must call
// End when it ends.
func (p *Picker) Begin(model, version string) {
	p.updateRunning(model, version, func(c *Count) { c.Running++ })
}

// End records the end of a request for which Begin was called.
func (p *Picker) End(model, version string) {
	p.updateRunning(model, version, func(c *Count) { c.Running-- })
}

// BeginBeforeOrder is Begin for a request that is sent while no order is known.
// The caller must call EndBeforeOrder when it ends, even if there is an order by
// then.
func (p *Picker) BeginBeforeOrder(model, version string) {
	p.updateRunning(model, version, func(c *Count) { c.RunningBeforeOrder++ })
}

// EndBeforeOrder records the end of a request for which BeginBeforeOrder was
// called.
func (p *Picker) EndBeforeOrder(model, version string) {
	p.updateRunning(model, version, func(c *Count) { c.RunningBeforeOrder-- })
}

// updateRunning changes the number of running requests of a version. It deletes
// counts that are all zero or of earlier orders, so that services without a rollout
// use no memory.
func (p *Picker) updateRunning(model, version string, change func(*Count)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := countKey(model, version)
	c := p.counts[name]
	change(&c)
	if p.isOver(model, name, c) {
		delete(p.counts, name)
		return
	}
	p.counts[name] = c
}

// Counts returns a copy of all counts of this node.
func (p *Picker) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(Counts, len(p.counts))
	maps.Copy(counts, p.counts)
	for name := range p.recentSessions {
		c := counts[name]
		c.RecentSessions = p.activeSessions(name)
		counts[name] = c
	}
	return counts
}
