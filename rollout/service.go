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
// service. During the rollout, servers of the target version run beside the old
// ones, which are stopped as soon as the rollout is complete.
type Order struct {
	// ID identifies the order among those for its service.
	ID      int64
	Service string
	Target  string
	// Period is the time in which the rollout should complete.
	Period time.Duration
	// WarmUp is how long the servers of the target warm up after their start; zero if they
	// bear their usual load at once.
	WarmUp time.Duration
}

const (
	// firstStageFraction is the first stage's fraction of the period. The platform
	// requires sessions to stay on the old version during the first half; the
	// excess is a margin for a driver that received the order late.
	firstStageFraction = 0.52
	// firstStageTargetSamples is the number of responses of the target that the
	// first stage is sized for. With it, two servers carry more than their final
	// load for the whole stage. More responses would use up too much of what a bad
	// version may receive in all stages.
	firstStageTargetSamples = 220
	// maxHoldFraction limits the fraction of the first stage in which the target gets nothing
	// because its servers warm up.
	maxHoldFraction = 0.5
	// firstStageMinSamples is the number of responses of the target that the first
	// stage needs. Services with few requests give no more in half a period.
	firstStageMinSamples = 5
	// secondStageShare is an intermediate share, so that a version that fails under
	// load does not receive all requests at once.
	secondStageShare = 0.3
	// secondStageFraction is the second stage's fraction of the period.
	secondStageFraction = 0.16
	// lastStageMinSeconds is how long all requests go to the target before the
	// old servers may be stopped. By then every node has received the stage.
	lastStageMinSeconds = 1.5
	// lastStageFraction is the last stage's least fraction of the period.
	lastStageFraction = 0.08
	// targetLoadFactor is the load of each target server during a stage, as a
	// multiple of its final load. It makes up for the variation of load over time: a
	// version that fails only under load shows nothing while load is low
	// (deploy/days/bad-under-load.toml).
	targetLoadFactor = 1.6
	// maxLoadFactor limits the load of each target server, as a multiple of its
	// final load. Above it, good versions are stopped as slow.
	maxLoadFactor = 2.2
	// minFirstStageServers is the least number of servers that get the first
	// stage's share, so that one slow server does not decide about its version.
	minFirstStageServers = 2
	// inServiceVersion is the name of all versions other than the target.
	inServiceVersion = "in-service"
)

// serviceGuards stop a version if its failure rate is 0.1 higher than in service,
// which few responses suffice to show, or 0.005 higher, which takes many, or if
// its rate of slow responses is 0.3 higher than in service, where the rate in
// service counts as at least 0.125, or in the first stage, by a finer measure, 0.17
// higher than 0.08. In later stages some servers carry more than their later load,
// with empty caches, so that good versions are slow for a while. Each test may stop
// one good version in a hundred.
//
// Some responses of good versions are slow because the prompt caches of their new
// servers are empty, which MinSlowBaseline allows for.
var serviceGuards = config.Guards{
	MaxBadIncrease: 0.1, StrictBadIncrease: 0.005, FalseAlarmRate: 0.01,
	MaxSlowIncrease: 0.3, MinSlowBaseline: 0.125, StrictSlowIncrease: 0.17, StrictSlowBaseline: 0.08,
}

// ServicePicker picks the servers of a service according to the current orders.
// It is safe for concurrent use.
type ServicePicker struct {
	picker *Picker
	// firstStageShare is the largest share of requests that the first stage sends
	// to the target.
	firstStageShare float64
	// waits tells how long responses in service have usually taken until they began since the order, recentWaits
	// also before it, and recentPaces how long paceEvents events have taken.
	waits, recentWaits, recentPaces waitBaseline

	mu sync.Mutex
	// models maps a service to its order in the form of a model's rollout.
	models map[string]config.Model
	// awaited holds the responses that are being followed for an order.
	awaited map[*Awaited]struct{}
}

// Sample describes one response of a server, which counts for or against its
// version.
type Sample struct {
	// Kind groups requests that usually take about the same time.
	Kind string
	// Failed means that the server itself responded with a failure. Server crashes
	// and lost responses do not count for or against the version.
	Failed bool
	// Wait is the time until the response began. Expected is that time on an
	// otherwise idle server, or zero if it is not known.
	Wait, Expected time.Duration
	// Pace is the time for the first events of a stream, or zero if it is not known.
	Pace time.Duration
	// Late means that no response had begun when the request was moved to another
	// server.
	Late bool
	// Objective is the route's objective for Wait, or zero if it has none. It is
	// used while the node has no baseline for the kind.
	Objective time.Duration
}

// NewServicePicker returns a service picker without orders. The first stage of a
// rollout gives the target at most the given share of the requests.
func NewServicePicker(picker *Picker, share float64) *ServicePicker {
	return &ServicePicker{
		picker:          picker,
		firstStageShare: share,
		waits:           newWaitBaseline(),
		recentWaits:     newWaitBaseline(),
		recentPaces:     newWaitBaseline(),
		models:          make(map[string]config.Model),
		awaited:         make(map[*Awaited]struct{}),
	}
}

// SetOrder sets the order for a service and replaces an earlier one.
func (s *ServicePicker) SetOrder(o Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	firstStage := firstStageFraction * o.Period.Seconds()
	s.models[o.Service] = config.Model{
		Name: o.Service,
		Versions: []config.Version{
			{Name: inServiceVersion, State: config.VersionInService},
			{Name: o.Target, State: config.VersionRollingOut},
		},
		Rollout: &config.Rollout{
			Version: o.Target,
			Stages: []config.Stage{
				{
					Share: s.firstStageShare, MinSamples: firstStageMinSamples, TargetSamples: firstStageTargetSamples, MinSeconds: firstStage,
					HoldSeconds: min(o.WarmUp.Seconds(), maxHoldFraction*firstStage),
				},
				{Share: secondStageShare, MinSeconds: secondStageFraction * o.Period.Seconds()},
				{Share: 1, MinSeconds: max(lastStageMinSeconds, lastStageFraction*o.Period.Seconds())},
			},
			Guards:  serviceGuards,
			Replace: true,
			Order:   o.ID,
		},
	}
	model := s.models[o.Service]
	s.picker.setOrder(o.Service, s.picker.order(&model))
	slog.Info("rollout ordered", "service", o.Service, "target", o.Target, "period_ms", o.Period.Milliseconds())
}

// RemoveOrder removes the order for a service, if there is one.
func (s *ServicePicker) RemoveOrder(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.models, service)
}

// Models returns the services that have an order, as models for the driver.
func (s *ServicePicker) Models() []config.Model {
	s.mu.Lock()
	defer s.mu.Unlock()
	models := make([]config.Model, 0, len(s.models))
	for _, m := range s.models {
		models = append(models, m)
	}
	return models
}

// Choose returns the servers that may get a request and the name under
// which their responses are counted, or "" if the service has no order or no
// version can be picked. The key is the request's session, or else its ID; its
// hash is compared with the stage's share. previous is the version name of an
// earlier attempt of the request, if any: the request stays on that version unless
// the rollout was stopped or the version has no servers. Once the rollout is complete,
// the target is the version in service, also for the next rollout.
func (s *ServicePicker) Choose(service, key, previous string, servers []*registry.Server) ([]*registry.Server, string) {
	s.mu.Lock()
	m, ordered := s.models[service]
	s.mu.Unlock()
	if !ordered {
		return servers, ""
	}
	target := m.Rollout.Version
	picked, err := s.picker.Pick(&m, key, func(string) bool { return true })
	if err != nil {
		slog.Error("picking a version failed; any server may be picked", "service", service, "error", err)
		return servers, ""
	}
	verdict := s.verdict(&m)
	toTarget := picked.Name == target
	if previous != "" && verdict == VerdictRunning {
		version, _ := splitName(previous)
		toTarget = version == target
	}
	targetServers, oldServers := splitByVersion(servers, target)
	order := s.picker.order(&m)
	switch {
	case len(targetServers) > 0 && verdict == VerdictComplete:
		return targetServers, countName(inServiceVersion, order)
	case len(targetServers) > 0 && verdict == VerdictRunning && (toTarget || len(oldServers) == 0):
		return s.concentrate(&m, targetServers, len(oldServers)), countName(target, order)
	default:
		return s.withoutWithdrawn(&m, oldServers), countName(inServiceVersion, order)
	}
}

// withoutWithdrawn leaves out the servers of versions that earlier rollouts of the service were stopped for, unless
// there are no others.
func (s *ServicePicker) withoutWithdrawn(m *config.Model, servers []*registry.Server) []*registry.Server {
	progress, _ := s.picker.Progress(m.Name)
	withdrawn := progress.withdrawn(m.Rollout.Version)
	if len(withdrawn) == 0 {
		return servers
	}
	others := slices.DeleteFunc(slices.Clone(servers), func(v *registry.Server) bool { return slices.Contains(withdrawn, v.Version) })
	if len(others) == 0 {
		return servers
	}
	return others
}

// Begin records that a request with the version name from Choose is sent. The
// caller must call End when it ends. Requests to the version in service and their
// sessions are tracked even without an order (version ""), because a stream may
// begin before the order and end long after it.
func (s *ServicePicker) Begin(service, version, key string) {
	if version == "" {
		s.picker.BeginBeforeOrder(service, inServiceVersion)
	} else {
		s.picker.Begin(service, version)
	}
	s.trackSession(service, version, key, 1)
}

// End records the end of a request for which Begin was called.
func (s *ServicePicker) End(service, version, key string) {
	if version == "" {
		s.picker.EndBeforeOrder(service, inServiceVersion)
	} else {
		s.picker.End(service, version)
	}
	s.trackSession(service, version, key, -1)
}

func (s *ServicePicker) trackSession(service, version, key string, change int) {
	if version == "" || isInService(version) {
		s.picker.TrackSession(service, inServiceVersion, key, s.firstStageShare, change)
	}
}

// concentrate returns so few of the target's servers that the stage's share loads
// each with about targetLoadFactor times its final load, but at least
// minFirstStageServers in the first stage. A version may be bad only under load,
// and a small share that is spread over all servers loads none of them. All nodes
// return the same servers, and more of them as the share rises.
func (s *ServicePicker) concentrate(m *config.Model, servers []*registry.Server, oldServers int) []*registry.Server {
	share := s.picker.share(m)
	if share <= 0 || share >= 1 || oldServers == 0 {
		return servers
	}
	minServers := minFirstStageServers
	if share >= secondStageShare {
		minServers = 1 // otherwise a service with few servers would not be loaded
	}
	load := share * float64(len(servers))
	n := max(minServers, int(math.Floor(load/targetLoadFactor)))
	if load/float64(n) > maxLoadFactor {
		n++
	}
	return topScored(servers, rendezvous.Hash(countKey(m.Name, m.Rollout.Version)), n)
}

// topScored returns the n servers with the highest scores for a key.
func topScored(servers []*registry.Server, key uint64, n int) []*registry.Server {
	type scored struct {
		server *registry.Server
		score  uint64
	}
	byScore := make([]scored, len(servers))
	for i, s := range servers {
		byScore[i] = scored{s, rendezvous.Score(key, rendezvous.Hash(s.ID))}
	}
	slices.SortFunc(byScore, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	chosen := make([]*registry.Server, min(n, len(byScore)))
	for i := range chosen {
		chosen[i] = byScore[i].server
	}
	return chosen
}

// count records a sample under a name that Choose returned. Without an order (name ""), it tells how long responses
// usually take.
func (s *ServicePicker) count(service, name string, sample Sample) {
	if name != "" {
		s.picker.count(service, name, sample.Failed, s.isSlow(sample))
	}
	if sample.Failed || sample.Late {
		return
	}
	if isInService(name) {
		s.waits.observe(sample.Kind, sample.Wait)
	}
	if name == "" || isInService(name) {
		s.recentWaits.observe(sample.Kind, sample.Wait)
	}
}

// isSlow reports whether a response takes several times as long as usual until it begins.
func (s *ServicePicker) isSlow(sample Sample) bool {
	return sample.Late || s.waits.isSlow(sample.Kind, sample.Wait, sample.Expected, sample.Objective, slowMargin)
}

// isSlowFine reports the same by a finer measure, which also goes by how fast the events of a stream come.
func (s *ServicePicker) isSlowFine(sample Sample) bool {
	return sample.Late || s.recentWaits.isSlow(sample.Kind, sample.Wait, sample.Expected, sample.Objective, fineMargin) ||
		s.recentPaces.isSlow(sample.Kind, sample.Pace, 0, 0, fineMargin)
}

// verdict returns the verdict on the rollout of a service; VerdictRunning if none is known.
func (s *ServicePicker) verdict(m *config.Model) Verdict {
	progress, ok := s.picker.Progress(m.Name)
	if !ok || !progress.Concerns(m.Rollout) {
		return VerdictRunning
	}
	return progress.Verdict
}

// splitByVersion separates the servers of a version from all others.
func splitByVersion(servers []*registry.Server, version string) (matching, others []*registry.Server) {
	for _, s := range servers {
		if s.Version == version {
			matching = append(matching, s)
		} else {
			others = append(others, s)
		}
	}
	return matching, others
}
