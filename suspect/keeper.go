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

// KeyPrefix starts the keys of the requests on which the store holds a verdict; the name
// of the request follows.
const KeyPrefix = "suspects/"

const (
	// entriesMax bounds the entries in the store, whatever clients send: further
	// verdicts are known to the nodes alone.
	entriesMax = 64
	// writeInterval is how often it is looked whether a verdict is to be written.
	writeInterval = 250 * time.Millisecond
	// waitOwn is how long a verdict must hold before the node writes it that has seen
	// the last loss: servers that go on show it soon.
	waitOwn = 500 * time.Millisecond
	// waitOthers is how long the others wait at the least, and everybody after a call
	// that failed: by then all hear of an entry that was written.
	waitOthers = 2 * time.Second
	// waitPerNode is by how much more they wait at the most for each of them, so that
	// few write before they hear of the first that does, and none press a store that is
	// away.
	waitPerNode = time.Second
	// testTime bounds the call to the store before a request is tested, which waits
	// for it.
	testTime = 300 * time.Millisecond
)

// FormatDigest is how log lines, decisions and the store name a request.
func FormatDigest(digest uint64) string { return fmt.Sprintf("%016x", digest) }

// entry is what the store holds of a verdict. Its fields are exported for the codec.
type entry struct {
	// Refused is false once the verdict has been withdrawn.
	Refused bool `json:"refused"`
	// Tests is how often the request was sent all the same, to see whether servers
	// still end under it.
	Tests int `json:"tests"`
}

// Store is what a Keeper needs of the platform's store.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// SwapLeased writes a key, which goes with the lease, if it still has the expected
	// revision; zero stands for "no such key".
	SwapLeased(ctx context.Context, key string, data []byte, expected, lease int64) (revision int64, ok bool, err error)
	KeepAlive(ctx context.Context, lease int64) (alive bool, err error)
}

// Mirror is a node's copy of what the store holds.
type Mirror interface {
	Get(key string) (mirror.Item, bool)
}

// Syncer keeps in the store which requests are refused, since a verdict has to outlast
// the processes: otherwise each loss of them all costs three servers more. An entry is
// written once, by the node that has seen the last of the losses, or by another one if
// that node doesn't; it goes with a lease. It is safe for concurrent use.
type Syncer struct {
	list   *Detector
	store  Store
	copy   Mirror
	nodes  func() int
	timers *timer.Service

	mu sync.Mutex
	// stored are the requests of which the store holds an entry.
	stored map[uint64]bool
	// due holds by request when its entry is to be written.
	due map[uint64]time.Time
}

// NewSyncer returns what keeps a list's verdicts in a store. Nodes tells how many nodes
// do so.
func NewSyncer(list *Detector, store Store, copy Mirror, nodes func() int, timers *timer.Service) *Syncer {
	return &Syncer{
		list: list, store: store, copy: copy, nodes: nodes, timers: timers,
		stored: make(map[uint64]bool), due: make(map[uint64]time.Time),
	}
}

// Run tells the store of verdicts until the context ends.
func (k *Syncer) Run(ctx context.Context) {
	k.timers.Every(ctx, writeInterval, func() {
		for _, digest := range k.takeDue() {
			err := k.write(ctx, digest)
			switch {
			case errors.Is(err, errOvertaken):
				k.writeIn(digest, waitOthers)
			case err != nil:
				slog.Debug("verdict on a request not stored", "content", FormatDigest(digest), "error", err)
				k.ScheduleWrite(digest, false)
			}
		}
	})
}

// Apply follows an entry in the store.
func (k *Syncer) Apply(c mirror.Change) {
	name := strings.TrimPrefix(c.Key, KeyPrefix)
	digest, err := strconv.ParseUint(name, 16, 64)
	if err != nil || name != FormatDigest(digest) {
		slog.Error("key names no request", "key", c.Key, "error", err)
		return
	}
	if c.Deleted {
		k.note(digest, false)
		if k.list.ApplyExpired(digest) {
			k.ScheduleWrite(digest, false)
		}
		slog.Info("verdict on a request has lapsed", "content", FormatDigest(digest), "revision", c.Revision)
		return
	}
	k.note(digest, true)
	e, err := decodeEntry(c.Item)
	if err != nil {
		slog.Error("verdict on a request cannot be read", "key", c.Key, "revision", c.Revision, "error", err)
		return
	}
	if e.Refused {
		k.list.ApplyStored(digest, e.Tests)
	} else {
		k.list.ApplyWithdrawn(digest)
	}
	slog.Info("verdict on a request", "content", FormatDigest(digest), "refused", e.Refused, "tests", e.Tests, "revision", c.Revision)
}

func decodeEntry(item mirror.Item) (e entry, err error) {
	err = json.Unmarshal(item.Value, &e)
	return e, err
}

// note notes whether the store holds an entry.
func (k *Syncer) note(digest uint64, stored bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if stored {
		k.stored[digest] = true
	} else {
		delete(k.stored, digest)
	}
}

// ScheduleWrite takes the news that a verdict was reached or withdrawn here, so that the store
// is to be told. Own says that this node has seen the cause and not only heard of it.
func (k *Syncer) ScheduleWrite(digest uint64, own bool) {
	if own {
		k.writeIn(digest, waitOwn)
		return
	}
	k.writeIn(digest, waitOthers+rand.N(time.Duration(max(1, k.nodes()))*waitPerNode))
}

// writeIn lets an entry be written in a while.
func (k *Syncer) writeIn(digest uint64, wait time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.due[digest] = k.timers.Steady().Add(wait)
}

// takeDue returns the requests whose time has come.
func (k *Syncer) takeDue() []uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	var digests []uint64
	for digest, at := range k.due {
		if !k.timers.Steady().Before(at) {
			digests = append(digests, digest)
			delete(k.due, digest)
		}
	}
	return digests
}

// write writes what this node holds of a request, unless the store tells the same.
func (k *Syncer) write(ctx context.Context, digest uint64) error {
	item, found := k.copy.Get(KeyPrefix + FormatDigest(digest))
	known, _ := decodeEntry(item) // what can't be read is written anew
	refused := k.list.Refuses(digest)
	if known.Refused == refused || !found && k.full() {
		return nil
	}
	lease := item.Lease
	if !found {
		var err error
		if lease, err = k.store.Grant(ctx, Retention); err != nil {
			return err
		}
	}
	ok, err := k.swap(ctx, digest, entry{Refused: refused, Tests: known.Tests}, item.Revision, lease)
	if err == nil && !ok {
		err = errOvertaken
	}
	return err
}

// errOvertaken says that another node has written first, which this one hears of.
var errOvertaken = errors.New("the entry has changed meanwhile")

// full reports whether the store holds as many entries as it may.
func (k *Syncer) full() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.stored) >= entriesMax
}

// swap writes an entry if it still has the expected revision.
func (k *Syncer) swap(ctx context.Context, digest uint64, e entry, expected, lease int64) (bool, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return false, err
	}
	_, ok, err := k.store.SwapLeased(ctx, KeyPrefix+FormatDigest(digest), value, expected, lease)
	return ok, err
}

// Probe reports whether this node is to send a refused request once more, now. One node
// of all is, once its time has come: the one whose call to the store tells the others.
// The entry lives on from then.
func (k *Syncer) Probe(ctx context.Context, digest uint64) bool {
	item, found := k.copy.Get(KeyPrefix + FormatDigest(digest))
	if !found {
		return false
	}
	tests, due := k.list.ProbeDue(digest)
	known, err := decodeEntry(item)
	if !due || err != nil || known.Tests != tests-1 {
		return false
	}
	call, cancel := context.WithTimeout(ctx, testTime)
	defer cancel()
	if won, err := k.swap(call, digest, entry{Refused: true, Tests: tests}, item.Revision, item.Lease); err != nil || !won {
		return false
	}
	k.list.ApplyStored(digest, tests)
	go k.renew(context.WithoutCancel(ctx), item.Lease)
	return true
}

// renew lets the entries of a lease live on.
func (k *Syncer) renew(ctx context.Context, lease int64) {
	if _, err := k.store.KeepAlive(ctx, lease); err != nil {
		slog.Debug("verdict on a request not renewed", "error", err)
	}
}
