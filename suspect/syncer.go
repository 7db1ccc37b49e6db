package suspect

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/timer"
)

// KeyPrefix starts the keys of the stored verdicts; the formatted feature follows.
const KeyPrefix = "suspects/"

const (
	// maxEntries bounds the entries in the store, whatever clients send. Further
	// verdicts are kept by the nodes alone.
	maxEntries = 64
	// maxContentEntries is the number of entries after which no verdict on a content is
	// written, so that there is room for those on parts, which concern more requests.
	maxContentEntries = 48
	// writeInterval is how often the syncer looks for verdicts to write.
	writeInterval = 250 * time.Millisecond
	// localWriteDelay is how long a verdict must hold before a node writes it that has lost
	// such a request itself: answers that clear it come within that time.
	localWriteDelay = 500 * time.Millisecond
	// localWriteJitter is the maximum random delay that is added on these nodes.
	localWriteJitter = 300 * time.Millisecond
	// remoteWriteDelay is the minimum delay on the other nodes, and on all nodes after
	// a failed call: by then they have learned of an entry that was written.
	remoteWriteDelay = 2 * time.Second
	// writeJitterPerNode, times the number of nodes, is the maximum random delay that
	// is added, so that few nodes write before they learn of the first entry, and so that
	// they don't overload a store that is unavailable.
	writeJitterPerNode = time.Second
	// probeTimeout bounds the call to the store before a probe, since the request
	// waits for it.
	probeTimeout = 300 * time.Millisecond
)

// entry is the stored form of a verdict. Its fields are exported for the codec.
type entry struct {
	// Refused is false once the verdict has been withdrawn.
	Refused bool `json:"refused"`
	// Probes is how often a refused request was sent to see whether servers still crash.
	Probes int `json:"tests"`
}

// Store is the part of the platform's store that a Syncer needs.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// SwapLeased writes a key, attached to the lease, if it still has the expected
	// revision; zero means that the key must not exist.
	SwapLeased(ctx context.Context, key string, data []byte, expected, lease int64) (revision int64, ok bool, err error)
	KeepAlive(ctx context.Context, lease int64) (alive bool, err error)
}

// Mirror is this node's local copy of the store.
type Mirror interface {
	Get(key string) (mirror.Item, bool)
}

// Syncer synchronizes a detector's verdicts with the store, since a verdict has to outlast
// the processes: otherwise further servers would crash each time that all nodes are
// lost. Each entry is written once, by a node that has lost such a request, or by another one
// if none of them does, and expires with a lease. Syncer is safe for concurrent use.
type Syncer struct {
	detector  *Detector
	store     Store
	local     Mirror
	nodeCount func() int
	timers    *timer.Service
	onChange  func(Change)

	mu sync.Mutex
	// stored holds the features that have an entry in the store.
	stored map[Feature]bool
	// due holds when entries are to be written.
	due map[Feature]time.Time
	// scheduled wakes Run.
	scheduled chan struct{}
}

// NewSyncer returns a syncer between a detector and a store. NodeCount returns how many
// nodes write to the store. OnChange is called with what entries of the store have changed, other
// than the verdicts that they hold themselves.
func NewSyncer(detector *Detector, store Store, local Mirror, nodeCount func() int, timers *timer.Service, onChange func(Change)) *Syncer {
	return &Syncer{
		detector: detector, store: store, local: local, nodeCount: nodeCount, timers: timers, onChange: onChange,
		stored: make(map[Feature]bool), due: make(map[Feature]time.Time), scheduled: make(chan struct{}, 1),
	}
}

// Run writes verdicts to the store until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.scheduled:
		}
		s.writeScheduled(ctx)
	}
}

// writeScheduled writes the scheduled verdicts as they become due, until there are no more.
func (s *Syncer) writeScheduled(ctx context.Context) {
	ticks := s.timers.Subscribe(writeInterval)
	defer ticks.Stop()
	for s.hasScheduled() {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
			s.writeDue(ctx)
		}
	}
}

// hasScheduled reports whether any verdict is to be written, now or later.
func (s *Syncer) hasScheduled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.due) > 0
}

// writeDue writes the verdicts that are due.
func (s *Syncer) writeDue(ctx context.Context) {
	for _, f := range s.takeDue() {
		err := s.write(ctx, f)
		switch {
		case errors.Is(err, errConflict):
			s.scheduleIn(f, remoteWriteDelay)
		case err != nil:
			slog.Debug("failed to store verdict; retrying", "feature", f.String(), "error", err)
			s.ScheduleWrite(f, false)
		}
	}
}

// Apply applies a change of an entry in the store.
func (s *Syncer) Apply(c mirror.Change) {
	name := strings.TrimPrefix(c.Key, KeyPrefix)
	number, err := strconv.ParseUint(name, 16, 64)
	f := Feature(number)
	if err != nil || name != f.String() {
		slog.Error("invalid key of a stored verdict", "key", c.Key, "error", err)
		return
	}
	if c.Deleted {
		s.setStored(f, false)
		if s.detector.ApplyExpired(f) {
			s.ScheduleWrite(f, false)
		}
		slog.Info("stored verdict expired", "feature", f.String(), "revision", c.Revision)
		return
	}
	s.setStored(f, true)
	e, err := decodeEntry(c.Item)
	if err != nil {
		slog.Error("cannot decode stored verdict", "key", c.Key, "revision", c.Revision, "error", err)
		return
	}
	switch {
	case !e.Refused:
		s.onChange(s.detector.ApplyWithdrawn(f))
	case s.detector.ApplyStored(f, e.Probes):
		s.onChange(Change{Contested: []Feature{f}})
	}
	slog.Info("stored verdict changed", "feature", f.String(), "refused", e.Refused, "tests", e.Probes, "revision", c.Revision)
}

func decodeEntry(item mirror.Item) (e entry, err error) {
	err = json.Unmarshal(item.Value, &e)
	return e, err
}

// setStored records whether the store holds an entry.
func (s *Syncer) setStored(f Feature, stored bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored {
		s.stored[f] = true
	} else {
		delete(s.stored, f)
	}
}

// ScheduleWrite schedules the write of a verdict that was reached or withdrawn on this
// node. Local says that this node has seen some of the cause itself, rather than learned all of it
// from other nodes.
func (s *Syncer) ScheduleWrite(f Feature, local bool) {
	if local {
		s.scheduleIn(f, localWriteDelay+rand.N(localWriteJitter))
		return
	}
	s.scheduleIn(f, remoteWriteDelay+rand.N(time.Duration(max(1, s.nodeCount()))*writeJitterPerNode))
}

// scheduleIn schedules the write of an entry after a delay.
func (s *Syncer) scheduleIn(f Feature, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due[f] = s.timers.Steady().Add(wait)
	select {
	case s.scheduled <- struct{}{}:
	default: // Run is woken already
	}
}

// takeDue removes and returns the features whose entries are due.
func (s *Syncer) takeDue() []Feature {
	s.mu.Lock()
	defer s.mu.Unlock()
	var features []Feature
	for f, at := range s.due {
		if !s.timers.Steady().Before(at) {
			features = append(features, f)
			delete(s.due, f)
		}
	}
	return features
}

// write writes this node's verdict on a feature, or that it has none, unless the store already holds the same.
func (s *Syncer) write(ctx context.Context, f Feature) error {
	item, found := s.local.Get(KeyPrefix + f.String())
	stored, _ := decodeEntry(item) // an entry that cannot be decoded is overwritten
	refused := s.detector.Refuses(f)
	if stored.Refused == refused || !found && !s.mayAdd(f) {
		return nil
	}
	lease := item.Lease
	if !found {
		var err error
		if lease, err = s.store.Grant(ctx, Retention); err != nil {
			return err
		}
	}
	ok, err := s.swap(ctx, f, entry{Refused: refused, Probes: stored.Probes}, item.Revision, lease)
	if err == nil && !ok {
		err = errConflict
	}
	return err
}

// errConflict says that another node wrote the entry first. This node will learn of that.
var errConflict = errors.New("entry was changed by another node")

// mayAdd reports whether the store gets an entry for a feature.
func (s *Syncer) mayAdd(f Feature) bool {
	if s.detector.Redundant(f) {
		return false
	}
	limit := maxEntries
	if s.detector.IsContent(f) {
		limit = maxContentEntries
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.stored) < limit
}

// swap writes an entry if it still has the expected revision.
func (s *Syncer) swap(ctx context.Context, f Feature, e entry, expected, lease int64) (bool, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return false, err
	}
	_, ok, err := s.store.SwapLeased(ctx, KeyPrefix+f.String(), value, expected, lease)
	return ok, err
}

// Probe reports whether this node must now send a request that is refused for a feature. When a
// probe is due, one node only gets true: the one whose write to the store succeeds. The other nodes
// learn of the probe by that write. While requests are refused, the entry's lease is renewed.
func (s *Syncer) Probe(ctx context.Context, f Feature) bool {
	item, found := s.local.Get(KeyPrefix + f.String())
	if !found {
		return false
	}
	if s.detector.RenewalDue(f) {
		go s.renew(context.WithoutCancel(ctx), item.Lease)
	}
	probes, due := s.detector.ProbeDue(f)
	stored, err := decodeEntry(item)
	if !due || err != nil || stored.Probes != probes-1 {
		return false
	}
	swapCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if ok, err := s.swap(swapCtx, f, entry{Refused: true, Probes: probes}, item.Revision, item.Lease); err != nil || !ok {
		return false
	}
	s.detector.ApplyStored(f, probes)
	return true
}

// renew renews a lease and thereby keeps its entries.
func (s *Syncer) renew(ctx context.Context, lease int64) {
	if _, err := s.store.KeepAlive(ctx, lease); err != nil {
		slog.Debug("failed to renew lease of stored verdict", "error", err)
	}
}
