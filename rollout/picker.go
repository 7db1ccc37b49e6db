package rollout

import (
	"maps"
	"sync"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/rendezvous"
)

// Picker picks versions on one node and counts their answers. It is safe for
// concurrent use.
type Picker struct {
	mu     sync.Mutex
	stages Stages
	counts Counts
	// held are by model the slots of the sessions that stay on the version in
	// service.
	held map[string]map[uint32]bool
	// recent are by "model@version" the slots of the sessions that a first
	// stage could move, with the time of their last request.
	recent map[string]map[uint32]session
}

// NewPicker returns a picker that knows no stage.
func NewPicker() *Picker {
	return &Picker{counts: make(Counts), recent: make(map[string]map[uint32]session)}
}

// Take puts stored stages in force.
func (p *Picker) Take(item document.Item) error {
	stages, err := DecodeStages(item.Data)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stages = stages
	p.held = make(map[string]map[uint32]bool)
	for model, progress := range stages.Models {
		p.held[model] = decodeSlots(progress.Held)
	}
	return nil
}

// Progress returns the known state of a model's roll-out.
func (p *Picker) Progress(model string) (Progress, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	progress, ok := p.stages.Models[model]
	return progress, ok
}

// Pick returns the version for a new session, or for a request without one.
// The key decides on which side of the stage's share it falls, so that the
// same session falls on the same side on every node. A version that is not
// allowed is passed over.
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
	case inService == nil, position(m.Name, key) < p.share(m) && !p.holds(m.Name, key):
		return candidate, nil
	default:
		return inService, nil
	}
}

// candidate returns the version that is rolling out, unless it was stopped.
func (p *Picker) candidate(m *config.Model, allowed func(string) bool) *config.Version {
	if m.Rollout == nil || !allowed(m.Rollout.Version) {
		return nil
	}
	if progress, ok := p.Progress(m.Name); ok && progress.Version == m.Rollout.Version && progress.Verdict == VerdictStopped {
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

// share returns the part of new sessions that goes to the candidate. Before
// the driver has written the first stage, none does.
func (p *Picker) share(m *config.Model) float64 {
	progress, ok := p.Progress(m.Name)
	switch {
	case !ok || progress.Version != m.Rollout.Version:
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

// position places a key in [0, 1).
func position(model, key string) float64 {
	return rendezvous.Position(rendezvous.Hash(model + "/" + key))
}

// Count counts one answer of a version.
func (p *Picker) Count(model, version string, bad bool) { p.count(model, version, bad, false) }

func (p *Picker) count(model, version string, bad, slow bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := countName(model, version)
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

// Begin counts a request that starts to run on a version; End counts its end.
func (p *Picker) Begin(model, version string) {
	p.run(model, version, func(c *Count) { c.Running++ })
}

// End is the counterpart of Begin.
func (p *Picker) End(model, version string) {
	p.run(model, version, func(c *Count) { c.Running-- })
}

// BeginEarlier is Begin for a request that is sent while no roll-out is known;
// EndEarlier counts its end, then or later.
func (p *Picker) BeginEarlier(model, version string) {
	p.run(model, version, func(c *Count) { c.Earlier++ })
}

// EndEarlier is the counterpart of BeginEarlier.
func (p *Picker) EndEarlier(model, version string) {
	p.run(model, version, func(c *Count) { c.Earlier-- })
}

// run changes the number of requests that run on a version. It keeps no count
// that says nothing, so that names without a roll-out don't gather.
func (p *Picker) run(model, version string, change func(*Count)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := countName(model, version)
	c := p.counts[name]
	change(&c)
	if c.Answers == 0 && c.Running == 0 && c.Earlier == 0 {
		delete(p.counts, name)
		return
	}
	p.counts[name] = c
}

// Counts returns all counts of this node.
func (p *Picker) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(Counts, len(p.counts))
	maps.Copy(counts, p.counts)
	for name := range p.recent {
		c := counts[name]
		c.Recent = p.recentSlots(name)
		counts[name] = c
	}
	return counts
}
