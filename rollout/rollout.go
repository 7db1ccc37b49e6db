// Package rollout introduces a version in stages and stops it when it is worse
// than the one in service.
//
// Which stage a roll-out has reached is a shared document at the platform, so
// a roll-out that was interrupted goes on where it was, under another node.
// Every node picks versions by the stage that it knows and counts the answers
// of each version, good and bad; one node, which holds the driver's lease,
// collects the counts, moves the stage on, or stops the roll-out.
//
// # Usage
//
//	version, err := picker.Pick(snapshot, "brief", sessionKey)
//	…
//	picker.Count("brief", version, rating, firstToken)
package rollout

import (
	"encoding/json"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/rendezvous"
)

//go:generate go tool enumer -type=Verdict -trimprefix=Verdict -transform=snake -text -output=rollout_enumer.go

var (
	namespace = errs.Namespace("rollout")

	// NoVersion says that no version of the model takes new sessions.
	NoVersion = namespace.NewType("no_version")
	// Malformed says that the stored stages cannot be read.
	Malformed = namespace.NewType("malformed")
	// Fenced says that a later driver has written the stages.
	Fenced = namespace.NewType("fenced")
)

// Verdict is how a roll-out stands.
type Verdict int

// The verdicts.
const (
	VerdictRunning Verdict = iota
	VerdictStopped
	VerdictComplete
)

// Progress is the state of one model's roll-out.
type Progress struct {
	Version string    `json:"version"`
	Stage   int       `json:"stage"`
	Since   time.Time `json:"since"`
	Verdict Verdict   `json:"verdict"`
	Reason  string    `json:"reason"`
	// Evidence is the test's score when it last moved, and Samples the
	// answers it rests on.
	Evidence float64 `json:"evidence"`
	Samples  int64   `json:"samples"`
	// Share is the stage's where it has to be lowered by the number of
	// requests; zero until that is known.
	Share float64 `json:"share,omitempty"`
	// Held lists the sessions, by their slots, that were under way when the
	// share was set; they stay on the version in service during that stage.
	Held string `json:"held,omitempty"`
	// Gone holds what nodes that have gone counted of the candidate, and
	// GoneInService of the version in service: the next driver cannot ask them.
	Gone          Tally `json:"gone,omitzero"`
	GoneInService Tally `json:"gone_in_service,omitzero"`
}

// Tally is the part of a count that outlives its node.
type Tally struct {
	Answers int64 `json:"answers"`
	Bad     int64 `json:"bad"`
	Slow    int64 `json:"slow"`
}

func (t Tally) add(c Count) Tally {
	return Tally{Answers: t.Answers + c.Answers, Bad: t.Bad + c.Bad, Slow: t.Slow + c.Slow}
}

func (t Tally) count() Count { return Count{Answers: t.Answers, Bad: t.Bad, Slow: t.Slow} }

// Stages is the shared document: the roll-outs by model, and the fencing
// token of the driver that wrote them.
type Stages struct {
	Token  int64               `json:"token"`
	Models map[string]Progress `json:"models"`
}

// DecodeStages reads the shared document; no data stands for none.
func DecodeStages(data []byte) (Stages, error) {
	s := Stages{}
	if len(data) > 0 {
		if err := json.Unmarshal(data, &s); err != nil {
			return s, errs.Wrap(Malformed, "decode", err, "stored stages")
		}
	}
	if s.Models == nil {
		s.Models = make(map[string]Progress)
	}
	return s, nil
}

// Count is how many answers of a version a node has seen, and how many of
// them were bad. Counts only grow, so that a node's latest replaces its last.
type Count struct {
	Answers int64 `cbor:"1,keyasint" json:"answers"`
	Bad     int64 `cbor:"2,keyasint" json:"bad"`
	// Slow are answers that took several times as long as is usual, where
	// that is known.
	Slow int64 `cbor:"5,keyasint,omitempty" json:"slow,omitempty"`
	// Running is how many requests the node has there now; it also falls.
	Running int64 `cbor:"3,keyasint" json:"running"`
	// Recent are the slots of the sessions that lately had a request there,
	// as far as a first stage could move them.
	Recent []uint32 `cbor:"4,keyasint,omitempty" json:"recent,omitempty"`
}

// Counts are a node's counts by "model@version".
type Counts map[string]Count

// countName is the name under which a version's answers are counted.
func countName(model, version string) string { return model + "@" + version }

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
	recent map[string]map[uint32]time.Time
}

// NewPicker returns a picker that knows no stage.
func NewPicker() *Picker {
	return &Picker{counts: make(Counts), recent: make(map[string]map[uint32]time.Time)}
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
	if stage.WantSamples > 0 {
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
func (p *Picker) Begin(model, version string) { p.run(model, version, 1) }

// End is the counterpart of Begin.
func (p *Picker) End(model, version string) { p.run(model, version, -1) }

// run changes the number of requests that run on a version.
func (p *Picker) run(model, version string, change int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := countName(model, version)
	c := p.counts[name]
	c.Running += change
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

// IsBad judges one answer by the guards. A rating below zero stands for none;
// failed answers are always bad.
func IsBad(g config.Guards, failed bool, rating float64, firstToken time.Duration) bool {
	slow := g.MaxFirstTokenMillis > 0 && firstToken.Seconds()*1000 > g.MaxFirstTokenMillis
	return failed || slow || (rating >= 0 && rating < g.BadRating)
}

const (
	// defaultIncrease and defaultAlarm stand in for guards left at zero.
	defaultIncrease = 0.1
	defaultAlarm    = 0.01
)

// Test is a sequential test of "the candidate gives more bad answers than the
// version in service, by the tolerated increase or more" against "no more". It
// follows two sums of log likelihood ratios. The first runs from the start; it
// exceeds log(1/a) for a good version with probability a at most, however long
// it runs (Wald, 1945). The second never falls below zero, so that a version
// that turns bad late is found too (Page, 1954); it has a new chance of a false
// alarm with each answer, so its bound grows with the number of answers that
// the roll-out will see. Each has half of the accepted false alarms.
type Test struct {
	fromStart float64
	recent    float64
	seen      Count
}

// minPlanned is the least number of answers that the bound of the second sum
// allows for.
const minPlanned = 500

// Update takes the counts so far and reports whether the candidate is to be
// stopped. Planned is the number of answers that the whole roll-out needs.
func (t *Test) Update(g config.Guards, planned int, candidate, baseline Count) (stop bool) {
	answers, bad := candidate.Answers-t.seen.Answers, candidate.Bad-t.seen.Bad
	t.seen = candidate
	if answers < 0 || bad < 0 {
		// A node that counted is gone; go on from what is left.
		return false
	}
	increase, alarm := orDefault(g.MaxBadIncrease, defaultIncrease), orDefault(g.FalseAlarm, defaultAlarm)/2
	// Laplace's estimate keeps the rate off zero while there are few answers.
	usual := float64(baseline.Bad+1) / float64(baseline.Answers+2)
	usual = min(usual, 1-increase-minRate)
	worse := min(1-minRate, usual+increase)
	good := answers - bad
	step := float64(bad)*math.Log(worse/usual) + float64(good)*math.Log((1-worse)/(1-usual))
	t.fromStart += step
	t.recent = max(0, t.recent+step)
	bound := math.Log(1 / alarm)
	return t.fromStart >= bound || t.recent >= bound+math.Log(float64(max(planned, minPlanned)))
}

// minRate keeps the rates of the test within (0, 1).
const minRate = 0.001

// Score returns the present evidence against the candidate.
func (t *Test) Score() float64 { return max(t.fromStart, t.recent) }

func orDefault(value, fallback float64) float64 {
	if value <= 0 {
		return fallback
	}
	return value
}
