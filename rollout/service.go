package rollout

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/internal/rendezvous"
	"github.com/violettally/violettally/registry"
)

// Order is an operator's order to replace the version of all servers of a
// service. Servers of the target version run beside the old ones meanwhile.
// When the roll-out is complete, the old ones are stopped at once.
type Order struct {
	Service string
	Target  string
	// Period is the time within which the roll-out should be complete.
	Period time.Duration
}

const (
	// firstShare of the period belongs to the first stage. The platform wants
	// sessions to stay on the old version in the first half; the rest is
	// margin for a driver that saw the order late.
	firstShare = 0.52
	// firstStageWants answers of the target: two of its servers then carry more
	// than their later load for the whole stage. More would leave less of what
	// a bad version may get to the later stages.
	firstStageWants = 220
	// firstStageSamples are answers of the target that the first stage needs;
	// services with few requests give no more in half a period.
	firstStageSamples = 5
	// secondShare is between the first stage and all, so that a version that
	// turns bad under load does not meet all requests at once.
	secondShare = 0.3
	// secondPart of the period belongs to the second stage.
	secondPart = 0.16
	// lastStageSeconds is how long all requests go to the target before the
	// old servers may be stopped: every node has then heard of the stage.
	lastStageSeconds = 1.5
	// lastPart of the period belongs to the last stage at least.
	lastPart = 0.08
	// overLoad is how many times its later part each server of a stage carries.
	// Load comes in waves: on a calm day a version that fails under load alone
	// failed none of 320 answers at the load of a trough, and one in twenty at
	// that of a crest (deploy/days/bad-under-load.toml).
	overLoad = 1.6
	// mostLoad is how many times its later part each server carries at most. One
	// of nine servers carried 2.7 times its part, and good versions were stopped
	// as slow in four of twelve roll-outs; two carry 1.35 times theirs.
	mostLoad = 2.2
	// leastLoaded servers get the first stage's share, so that one slow server
	// does not speak for its version.
	leastLoaded = 2
	// oldVersion stands for whatever the servers ran before the order.
	oldVersion = "in-service"
)

// serviceGuards: a version is bad if its servers fail one answer in ten more,
// seen soon, or one in two hundred more, seen over many answers, or if three in
// ten more are slow than an eighth. One good version in a hundred may be
// stopped by each mistake. A version that failed only under load did so in 23
// of 1,860 answers (deploy/days/bad-under-load.toml). Up to 15 in 100 answers
// of good versions were slow, since their servers had read no prompts; of a
// slow version half were.
var serviceGuards = config.Guards{
	MaxBadIncrease: 0.1, StrictBadIncrease: 0.005, MaxSlowIncrease: 0.3, MinSlowBaseline: 0.125, FalseAlarmRate: 0.01,
}

// Services picks the servers of a service by the orders in force. It is safe
// for concurrent use.
type Services struct {
	picker *Picker
	// share of the requests that a first stage gives to the target.
	share float64
	usual usual

	mu sync.Mutex
	// models are the orders by service, as declarations of a roll-out.
	models map[string]config.Model
}

// Answer is what one answer of a server tells of its version.
type Answer struct {
	// Kind groups requests that usually take equally long.
	Kind string
	// Failed says that the server itself answered with a failure. A server
	// that crashes, or an answer that is lost, tells nothing of the version.
	Failed bool
	// Wait is how long the answer took to begin, Expected how long a server that
	// does nothing else takes for it; zero if that is not known.
	Wait, Expected time.Duration
	// Late says that there was none when the request was taken to another
	// server.
	Late bool
	// Objective is what the route promises, zero for nothing. A node that does
	// not know yet what is usual goes by that.
	Objective time.Duration
}

// NewServices returns a picker of servers without orders. The first stage of
// a roll-out gives the target the given share of the requests.
func NewServices(picker *Picker, share float64) *Services {
	return &Services{
		picker: picker,
		share:  share,
		usual:  usual{waits: make(map[string]*usualWait)},
		models: make(map[string]config.Model),
	}
}

// Take puts an order in force in place of the service's last one.
func (s *Services) Take(o Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.models[o.Service] = config.Model{
		Name: o.Service,
		Versions: []config.Version{
			{Name: oldVersion, State: config.VersionInService},
			{Name: o.Target, State: config.VersionRollingOut},
		},
		Rollout: &config.Rollout{
			Version: o.Target,
			Stages: []config.Stage{
				{Share: s.share, MinSamples: firstStageSamples, TargetSamples: firstStageWants, MinSeconds: firstShare * o.Period.Seconds()},
				{Share: secondShare, MinSeconds: secondPart * o.Period.Seconds()},
				{Share: 1, MinSeconds: max(lastStageSeconds, lastPart*o.Period.Seconds())},
			},
			Guards:  serviceGuards,
			Replace: true,
		},
	}
	slog.Info("roll-out ordered", "service", o.Service, "target", o.Target, "period_ms", o.Period.Milliseconds())
}

// Drop takes back the order for a service.
func (s *Services) Drop(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.models, service)
}

// Models returns the services that have an order, as the driver sees them.
func (s *Services) Models() []config.Model {
	s.mu.Lock()
	defer s.mu.Unlock()
	models := make([]config.Model, 0, len(s.models))
	for _, m := range s.models {
		models = append(models, m)
	}
	return models
}

// Choose returns the servers that may get a request, and the name under which
// their answers are counted; "" if the service has no order. The key decides
// on which side of the share the request falls: its session, or else its ID.
// A request that was counted under a name before stays there while it can.
func (s *Services) Choose(service, key, before string, servers []registry.Server) ([]registry.Server, string) {
	s.mu.Lock()
	m, ordered := s.models[service]
	s.mu.Unlock()
	if !ordered {
		return servers, ""
	}
	target := m.Rollout.Version
	picked, err := s.picker.Pick(&m, key, func(string) bool { return true })
	if err != nil {
		slog.Error("roll-out gives no version; any server may be picked", "service", service, "error", err)
		return servers, ""
	}
	stopped := s.stopped(service, target)
	toTarget := picked.Name == target
	if before != "" && !stopped {
		toTarget = before == target
	}
	newer, older := split(servers, target)
	if len(newer) > 0 && !stopped && (toTarget || len(older) == 0) {
		return s.loaded(&m, newer, len(older)), target
	}
	return older, oldVersion
}

// Begin counts a request of a session that Choose gave a version, "" for none, and
// that is sent now; End counts its end. Requests to the version in service are
// counted without an order too, and their sessions remembered: a stream that was
// there before the order may end long after it, and its session goes on.
func (s *Services) Begin(service, version, key string) {
	if version == "" {
		s.picker.BeginEarlier(service, oldVersion)
	} else {
		s.picker.Begin(service, version)
	}
	s.remember(service, version, key, 1)
}

// End is the counterpart of Begin.
func (s *Services) End(service, version, key string) {
	if version == "" {
		s.picker.EndEarlier(service, oldVersion)
	} else {
		s.picker.End(service, version)
	}
	s.remember(service, version, key, -1)
}

func (s *Services) remember(service, version, key string, change int) {
	if version == "" || version == oldVersion {
		s.picker.Remember(service, oldVersion, key, s.share, change)
	}
}

// loaded returns so few of the target's servers that each carries, with the
// stage's share, overLoad times what it will carry in the end, but leastLoaded
// at least in the first stage. A version may be bad only under load, and the
// first requests, spread over all servers, are no load. All nodes take the same
// servers, and more of them as the share rises.
func (s *Services) loaded(m *config.Model, servers []registry.Server, older int) []registry.Server {
	share := s.picker.share(m)
	if share <= 0 || share >= 1 || older == 0 {
		return servers
	}
	least := leastLoaded
	if share >= secondShare {
		least = 1 // a service of few servers would see no load otherwise
	}
	load := share * float64(len(servers))
	n := max(least, int(math.Floor(load/overLoad)))
	if load/float64(n) > mostLoad {
		n++
	}
	return highest(servers, rendezvous.Hash(countName(m.Name, m.Rollout.Version)), n)
}

// highest returns the n servers with the highest scores for a key.
func highest(servers []registry.Server, key uint64, n int) []registry.Server {
	type scored struct {
		server registry.Server
		score  uint64
	}
	byScore := make([]scored, len(servers))
	for i, s := range servers {
		byScore[i] = scored{s, rendezvous.Score(key, rendezvous.Hash(s.ID))}
	}
	slices.SortFunc(byScore, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	chosen := make([]registry.Server, min(n, len(byScore)))
	for i := range chosen {
		chosen[i] = byScore[i].server
	}
	return chosen
}

// Count takes one answer as evidence on a version that Choose named.
func (s *Services) Count(service, version string, a Answer) {
	slow := a.Late || s.usual.slow(a)
	if version == oldVersion && !a.Failed && !a.Late {
		s.usual.learn(a.Kind, a.Wait)
	}
	s.picker.count(service, version, a.Failed, slow)
}

// stopped reports whether the roll-out to a target was stopped as worse.
func (s *Services) stopped(service, target string) bool {
	progress, ok := s.picker.Progress(service)
	return ok && progress.Version == target && progress.Verdict == VerdictStopped
}

// split parts servers of a version from all others.
func split(servers []registry.Server, version string) (of, others []registry.Server) {
	for _, s := range servers {
		if s.Version == version {
			of = append(of, s)
		} else {
			others = append(others, s)
		}
	}
	return of, others
}
