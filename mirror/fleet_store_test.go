package mirror_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/progress"
	"github.com/violettally/violettally/mirror"
)

// The fleet's store and its nodes, as the largest deployment declares them.
const (
	fleetHalls = 5
	// storeAnswer is the time of an answer, storeReads and storeWrites are calls a second.
	storeAnswer = 4 * time.Millisecond
	storeReads  = 16_000
	storeWrites = 3_200
	// Links are in bytes a second.
	storeLink     = 1000e6 / 8
	largeNodeLink = 200e6 / 8
	smallNodeLink = 20e6 / 8
	// window is how much of a response may be under way on one connection.
	window = 64 << 10
	// A page holds so many keys, which take 400 bytes each on the wire and 230 as values. An item
	// of the model stands for the keys of keysPerItem servers.
	pageKeys             = 500
	keyBytes, valueBytes = 400, 230
	keysPerItem          = 10
	// The declaration is as large as so many keys.
	fleetDeclaration = "op/config"
	declarationKeys  = 260
	// pageWork is the time that a core takes to decode a page.
	pageWork = 12 * time.Millisecond
	// snapshotBytes is the size of a packed snapshot, packedBytes that of a packed key.
	snapshotBytes, packedBytes = 190_000, 17
	// firstLarge nodes of each data hall have large links.
	firstLarge = 10
)

// storeCallTimeouts are those of a call to the store that does not wait for changes.
var storeCallTimeouts = progress.Timeouts{FirstByte: time.Second, Idle: time.Second, Total: 3 * time.Second}

// capacity is a link that sends in the order of writing.
type capacity struct {
	perSecond float64

	mu     sync.Mutex
	idleAt time.Time
	// sent is the number of bytes sent.
	sent int
}

// occupy returns when the link will have sent n more bytes.
func (c *capacity) occupy(n int) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); c.idleAt.Before(now) {
		c.idleAt = now
	}
	c.sent += n
	c.idleAt = c.idleAt.Add(time.Duration(float64(n) / c.perSecond * float64(time.Second)))
	return c.idleAt
}

// transfer sends a response over links. What is under way when the call ends is lost, and has
// occupied the links all the same.
func transfer(ctx context.Context, n int, links ...*capacity) error {
	for sent := 0; sent < n; sent += window {
		var at time.Time
		for _, l := range links {
			if t := l.occupy(min(window, n-sent)); t.After(at) {
				at = t
			}
		}
		select {
		case <-time.After(time.Until(at)):
			progress.Report(ctx)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// fleetStore is a store with the rates and the link of a real one.
type fleetStore struct {
	link capacity

	mu       sync.Mutex
	revision int64
	items    map[string]mirror.Item
	history  []mirror.Item
	// written holds all keys that were ever written, sorted the same in order.
	written map[string]bool
	sorted  []string
	// keptAfter is the revision after which the history is kept.
	keptAfter int64
	changed   chan struct{}
	// answer is the time of an answer. mode says how calls of a node fail.
	answer time.Duration
	mode   func(node int) storeMode
	// second counts the calls of the present second.
	second        time.Time
	reads, writes int
	// calls counts all calls.
	calls int
	// wholes counts reads of the rest of a snapshot.
	wholes int
}

// storeMode says how a store treats a call.
type storeMode int

const (
	storeWell storeMode = iota
	storeSilent
	storeRefuses
)

// storeFails returns a mode in which each so many-th node's calls fail.
func storeFails(mode storeMode, each int) func(node int) storeMode {
	return func(node int) storeMode {
		if node%each == 0 {
			return mode
		}
		return storeWell
	}
}

// change changes how the store treats calls.
func (s *fleetStore) change(fault func(*fleetStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault(s)
}

// resetCounts forgets what has been asked of the store.
func (s *fleetStore) resetCounts() {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link.sent, s.calls, s.wholes = 0, 0, 0
}

// usage returns what has been asked of the store.
func (s *fleetStore) usage() string {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d calls to the store, %d of them reads of all keys, %d MB", s.calls, s.wholes, s.link.sent/1_000_000)
}

// heal ends the store's faults. The caller holds mu.
func (s *fleetStore) heal() {
	s.mode, s.answer = storeFails(storeWell, 1), storeAnswer
}

func newFleetStore(keys int) *fleetStore {
	s := &fleetStore{link: capacity{perSecond: storeLink}, items: make(map[string]mirror.Item), written: make(map[string]bool), changed: make(chan struct{})}
	s.heal()
	s.put(fleetDeclaration, false)
	for i := range keys / keysPerItem {
		s.put(fmt.Sprintf("servers/%05d", i), false)
	}
	return s
}

// put writes or deletes a key.
func (s *fleetStore) put(key string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(mirror.Item{Key: key, Deleted: deleted})
}

// swap writes a key if it has the given revision.
func (s *fleetStore) swap(key string, revision int64, value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key].Revision != revision {
		return false
	}
	s.write(mirror.Item{Key: key, Value: []byte(value)})
	return true
}

// write writes an item. The caller holds mu.
func (s *fleetStore) write(item mirror.Item) {
	s.revision++
	item.Revision = s.revision
	s.history = append(s.history, item)
	s.written[item.Key] = true
	if s.items[item.Key] = item; item.Deleted {
		delete(s.items, item.Key)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

var errRefused = errors.New("refused")

// begin begins a call: it waits for the answer, unless the store is silent or refuses it.
func (s *fleetStore) begin(ctx context.Context, node int, reads, writes int) error {
	s.mu.Lock()
	if now := time.Now().Truncate(time.Second); now.After(s.second) {
		s.second, s.reads, s.writes = now, 0, 0
	}
	s.calls++
	s.reads += reads
	s.writes += writes
	mode, answer := s.mode(node), s.answer
	if s.reads > storeReads || s.writes > storeWrites {
		mode = storeRefuses
	}
	s.mu.Unlock()
	switch mode {
	case storeSilent:
		<-ctx.Done()
		return context.Cause(ctx)
	case storeRefuses:
		return errRefused
	}
	select {
	case <-time.After(answer):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// page reads up to a page of items after a key.
func (s *fleetStore) page(ctx context.Context, n *fleetNode, after string, fresh int) (items []mirror.Item, revision int64, more bool, err error) {
	if err := s.begin(ctx, n.index, fresh, 0); err != nil {
		return nil, 0, false, err
	}
	items, revision, more = s.itemsAfter(after)
	if err := transfer(ctx, countKeys(items)*keyBytes, &s.link, &n.link); err != nil {
		return nil, 0, false, err
	}
	time.Sleep(n.cpu(pageWork))
	return items, revision, more, nil
}

// itemsAfter returns the items of a page.
func (s *fleetStore) itemsAfter(after string) (items []mirror.Item, revision int64, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := 0
	for _, key := range s.sortedKeys() {
		item, ok := s.items[key]
		if key <= after || !ok {
			continue
		}
		if keys >= pageKeys {
			return items, s.revision, true
		}
		items = append(items, item)
		keys += keysOf(item)
	}
	return items, s.revision, false
}

// sortedKeys returns all keys that were ever written. The caller holds mu.
func (s *fleetStore) sortedKeys() []string {
	if len(s.sorted) != len(s.written) {
		s.sorted = slices.Sorted(maps.Keys(s.written))
	}
	return s.sorted
}

// keysOf returns how many keys of the usual size an item stands for.
func keysOf(item mirror.Item) int {
	switch {
	case item.Key == fleetDeclaration:
		return declarationKeys
	case strings.HasPrefix(item.Key, "servers/"):
		return keysPerItem
	}
	return 1
}

func countKeys(items []mirror.Item) int {
	count := 0
	for _, item := range items {
		count += keysOf(item)
	}
	return count
}

// nodeStore is the store as one node reaches it.
type nodeStore struct {
	*fleetStore
	n *fleetNode
}

// readPages reads the pages after those of a batch, until their values have a size.
func (s nodeStore) readPages(ctx context.Context, b *mirror.Batch, fresh, bytes int) (more bool, err error) {
	after := ""
	if len(b.Items) > 0 {
		after = b.Items[len(b.Items)-1].Key
	}
	for read := 0; ; {
		items, revision, more, err := s.page(ctx, s.n, after, fresh)
		if err != nil {
			return false, err
		}
		if b.Revision == 0 {
			b.Revision = revision
		}
		b.Items = append(b.Items, items...)
		if read += countKeys(items) * valueBytes; !more || read >= bytes {
			return more, nil
		}
		after = items[len(items)-1].Key
	}
}

func (s nodeStore) ReadAll(ctx context.Context) (mirror.Batch, error) {
	b := mirror.Batch{Snapshot: true}
	_, err := s.readPages(ctx, &b, 1, 1<<30)
	return b, err
}

func (s nodeStore) ReadStart(ctx context.Context) (b mirror.Batch, more bool, err error) {
	b.Snapshot = true
	more, err = s.readPages(ctx, &b, 0, mirror.SmallSnapshotBytes)
	return b, more, err
}

func (s nodeStore) ReadRest(ctx context.Context, start mirror.Batch) (mirror.Batch, error) {
	s.mu.Lock()
	s.wholes++
	s.mu.Unlock()
	start.Snapshot = true
	_, err := s.readPages(ctx, &start, 0, 1<<30)
	return start, err
}

func (s nodeStore) Follow(ctx context.Context, after int64, wait time.Duration) (mirror.Batch, error) {
	if err := s.begin(ctx, s.n.index, 1, 0); err != nil {
		return mirror.Batch{}, err
	}
	s.mu.Lock()
	revision, changed := s.revision, s.changed
	s.mu.Unlock()
	if revision <= after && wait > 0 {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return mirror.Batch{}, context.Cause(ctx)
		}
	}
	s.mu.Lock()
	if after < s.keptAfter {
		s.mu.Unlock()
		return mirror.Batch{}, errs.New(mirror.HistoryGone, "follow", "gone")
	}
	b := mirror.Batch{Revision: s.revision}
	for _, item := range s.history {
		if item.Revision > after {
			b.Items = append(b.Items, item)
		}
	}
	s.mu.Unlock()
	return b, transfer(ctx, (1+countKeys(b.Items))*keyBytes, &s.link, &s.n.link)
}
