package suspect

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/timer"
)

// KeyPrefix starts the keys of the stored verdicts; the formatted digest of the request
// follows.
const KeyPrefix = "suspects/"

const (
	// maxEntries bounds the entries in the store, whatever clients send. Further
	// verdicts are kept by the nodes alone.
	maxEntries = 64
	// writeInterval is how often the syncer looks for verdicts to write.
	writeInterval = 250 * time.Millisecond
	// localWriteDelay is how long a verdict must hold before the node that saw the last
	// loss writes it: servers that kept running are recognized within that time.
	localWriteDelay = 500 * time.Millisecond
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

// FormatDigest formats a digest as log lines, decisions and keys of the store show it.
func FormatDigest(digest uint64) string { return fmt.Sprintf("%016x", digest) }

// entry is the stored form of a verdict. Its fields are exported for the codec.
type entry struct {
	// Refused is false once the verdict has been withdrawn.
	Refused bool `json:"refused"`
	// Probes is how often the refused request was sent to see whether servers still
	// crash under it.
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
// the processes: otherwise three more servers would crash each time that all nodes are
// lost. Each entry is written once, by the node that saw the last loss, or by another one
// if that node doesn't, and expires with a lease. Syncer is safe for concurrent use.
type Syncer struct {
	detector  *Detector
	store     Store
	local     Mirror
	nodeCount func() int
	timers    *timer.Service

	mu sync.Mutex
	// stored holds the digests of the requests that have an entry in the store.
	stored map[uint64]bool
	// due holds, by digest, when an entry is to be written.
	due map[uint64]time.Time
	// scheduled wakes Run.
	scheduled chan struct{}
}

// NewSyncer returns a syncer between a detector and a store. NodeCount returns how many
// nodes write to the store.
func NewSyncer(detector *Detector, store Store, local Mirror, nodeCount func() int, timers *timer.Service) *Syncer {
	return &Syncer{
		detector: detector, store: store, local: local, nodeCount: nodeCount, timers: timers,
		stored: make(map[uint64]bool), due: make(map[uint64]time.Time), scheduled: make(chan struct{}, 1),
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
	for _, digest := range s.takeDue() {
		err := s.write(ctx, digest)
		switch {
		case errors.Is(err, errConflict):
			s.scheduleIn(digest, remoteWriteDelay)
		case err != nil:
			slog.Debug("failed to store verdict; retrying", "content", FormatDigest(digest), "error", err)
			s.ScheduleWrite(digest, false)
		}
	}
}

// Apply applies a change of an entry in the store.
func (s *Syncer) Apply(c mirror.Change) {
	name := strings.TrimPrefix(c.Key, KeyPrefix)
	digest, err := strconv.ParseUint(name, 16, 64)
	if err != nil || name != FormatDigest(digest) {
		slog.Error("invalid key of a stored verdict", "key", c.Key, "error", err)
		return
	}
	if c.Deleted {
		s.setStored(digest, false)
		if s.detector.ApplyExpired(digest) {
			s.ScheduleWrite(digest, false)
		}
		slog.Info("stored verdict expired", "content", FormatDigest(digest), "revision", c.Revision)
		return
	}
	s.setStored(digest, true)
	e, err := decodeEntry(c.Item)
	if err != nil {
		slog.Error("cannot decode stored verdict", "key", c.Key, "revision", c.Revision, "error", err)
		return
	}
	if e.Refused {
		s.detector.ApplyStored(digest, e.Probes)
	} else {
		s.detector.ApplyWithdrawn(digest)
	}
	slog.Info("stored verdict changed", "content", FormatDigest(digest), "refused", e.Refused, "tests", e.Probes, "revision", c.Revision)
}

func decodeEntry(item mirror.Item) (e entry, err error) {
	err = json.Unmarshal(item.Value, &e)
	return e, err
}

// setStored records whether the store holds an entry.
func (s *Syncer) setStored(digest uint64, stored bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored {
		s.stored[digest] = true
	} else {
		delete(s.stored, digest)
	}
}

// ScheduleWrite schedules the write of a verdict that was reached or withdrawn on this
// node. Local says that this node has seen the cause itself, rather than learned of it from
// another node.
func (s *Syncer) ScheduleWrite(digest uint64, local bool) {
	if local {
		s.scheduleIn(digest, localWriteDelay)
		return
	}
	s.scheduleIn(digest, remoteWriteDelay+rand.N(time.Duration(max(1, s.nodeCount()))*writeJitterPerNode))
}

// scheduleIn schedules the write of an entry after a delay.
func (s *Syncer) scheduleIn(digest uint64, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due[digest] = s.timers.Steady().Add(wait)
	select {
	case s.scheduled <- struct{}{}:
	default: // Run is woken already
	}
}

// takeDue removes and returns the requests whose entries are due.
func (s *Syncer) takeDue() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var digests []uint64
	for digest, at := range s.due {
		if !s.timers.Steady().Before(at) {
			digests = append(digests, digest)
			delete(s.due, digest)
		}
	}
	return digests
}

// write writes this node's state of a request, unless the store already holds the same.
func (s *Syncer) write(ctx context.Context, digest uint64) error {
	item, found := s.local.Get(KeyPrefix + FormatDigest(digest))
	stored, _ := decodeEntry(item) // an entry that cannot be decoded is overwritten
	refused := s.detector.Refuses(digest)
	if stored.Refused == refused || !found && s.full() {
		return nil
	}
	lease := item.Lease
	if !found {
		var err error
		if lease, err = s.store.Grant(ctx, Retention); err != nil {
			return err
		}
	}
	ok, err := s.swap(ctx, digest, entry{Refused: refused, Probes: stored.Probes}, item.Revision, lease)
	if err == nil && !ok {
		err = errConflict
	}
	return err
}

// errConflict says that another node wrote the entry first. This node will learn of that.
var errConflict = errors.New("entry was changed by another node")

// full reports whether the store holds the maximum number of entries.
func (s *Syncer) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.stored) >= maxEntries
}

// swap writes an entry if it still has the expected revision.
func (s *Syncer) swap(ctx context.Context, digest uint64, e entry, expected, lease int64) (bool, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return false, err
	}
	_, ok, err := s.store.SwapLeased(ctx, KeyPrefix+FormatDigest(digest), value, expected, lease)
	return ok, err
}

// Probe reports whether this node must send a refused request once more now. When a probe is
// due, one node only gets true: the one whose write to the store succeeds. The other nodes
// learn of the probe by that write. A probe also renews the entry's lease.
func (s *Syncer) Probe(ctx context.Context, digest uint64) bool {
	item, found := s.local.Get(KeyPrefix + FormatDigest(digest))
	if !found {
		return false
	}
	probes, due := s.detector.ProbeDue(digest)
	stored, err := decodeEntry(item)
	if !due || err != nil || stored.Probes != probes-1 {
		return false
	}
	swapCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if ok, err := s.swap(swapCtx, digest, entry{Refused: true, Probes: probes}, item.Revision, item.Lease); err != nil || !ok {
		return false
	}
	s.detector.ApplyStored(digest, probes)
	go s.renew(context.WithoutCancel(ctx), item.Lease)
	return true
}

// renew renews a lease and thereby keeps its entries.
func (s *Syncer) renew(ctx context.Context, lease int64) {
	if _, err := s.store.KeepAlive(ctx, lease); err != nil {
		slog.Debug("failed to renew lease of stored verdict", "error", err)
	}
}
