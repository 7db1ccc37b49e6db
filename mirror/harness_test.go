package mirror_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/progress"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/timer"
)

// fakeStore is a store in memory whose calls can be made to fail.
type fakeStore struct {
	mu          sync.Mutex
	revision    int64
	items       map[string]mirror.Item
	history     []mirror.Item
	historyGone bool
	err         error
	hang        bool
	conn        connection
	// transferTime is how long a snapshot takes to arrive, chunk by chunk.
	transferTime time.Duration
	reads        int
	follows      int
}

// chunkTime is the time between two chunks of a response.
const chunkTime = 20 * time.Millisecond

// connection is a persistent connection to one address. Once it is silent, calls on it
// get no response; after the first of them has timed out, calls use a new connection.
type connection struct {
	mu sync.Mutex
	// silences counts how often the current connection went silent, abandoned how many
	// connections calls have given up for that.
	silences, abandoned int
}

func (c *connection) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silences++
}

// call makes a call, which may return before its time is over.
func (c *connection) call(ctx context.Context, do func() (mirror.Batch, error)) (mirror.Batch, error) {
	c.mu.Lock()
	used := c.abandoned
	c.mu.Unlock()
	b, err := do()
	c.mu.Lock()
	silent := c.silences > used
	c.mu.Unlock()
	if !silent {
		return b, err
	}
	<-ctx.Done()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = c.silences
	return mirror.Batch{}, ctx.Err()
}

func newStore() *fakeStore { return &fakeStore{items: make(map[string]mirror.Item)} }

func (s *fakeStore) put(key string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := mirror.Item{Key: key, Revision: s.revision, Deleted: deleted, Value: []byte(fmt.Sprint(s.revision))}
	s.history = append(s.history, item)
	if deleted {
		delete(s.items, key)
	} else {
		s.items[key] = item
	}
}

// calls returns how often the store was called.
func (s *fakeStore) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads + s.follows
}

func (s *fakeStore) set(err error, hang, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err, s.hang, s.historyGone = err, hang, gone
}

func (s *fakeStore) ReadAll(ctx context.Context) (mirror.Batch, error) {
	return s.conn.call(ctx, func() (mirror.Batch, error) { return s.readAll(ctx) })
}

func (s *fakeStore) ReadStart(ctx context.Context) (mirror.Batch, bool, error) {
	b, err := s.ReadAll(ctx)
	return b, false, err
}

func (s *fakeStore) ReadRest(_ context.Context, start mirror.Batch) (mirror.Batch, error) {
	return start, nil
}

func (s *fakeStore) Follow(ctx context.Context, after int64, wait time.Duration) (mirror.Batch, error) {
	return s.conn.call(ctx, func() (mirror.Batch, error) { return s.follow(ctx, after, wait) })
}

func (s *fakeStore) readAll(ctx context.Context) (mirror.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.hang {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return mirror.Batch{}, ctx.Err()
	}
	for end := time.Now().Add(s.transferTime); time.Now().Before(end); progress.Report(ctx) {
		s.mu.Unlock()
		time.Sleep(chunkTime)
		s.mu.Lock()
	}
	b := mirror.Batch{Revision: s.revision, Snapshot: true}
	for _, item := range s.items {
		b.Items = append(b.Items, item)
	}
	return b, s.err
}

func (s *fakeStore) follow(ctx context.Context, after int64, wait time.Duration) (mirror.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follows++
	switch {
	case s.hang:
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return mirror.Batch{}, ctx.Err()
	case s.err != nil:
		return mirror.Batch{}, s.err
	case s.historyGone:
		s.historyGone = false
		return mirror.Batch{}, errs.New(mirror.HistoryGone, "follow", "gone")
	}
	b := mirror.Batch{Revision: s.revision}
	for _, item := range s.history {
		if item.Revision > after {
			b.Items = append(b.Items, item)
		}
	}
	if len(b.Items) == 0 && wait > 0 {
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(min(wait, 100*time.Millisecond)):
		}
		s.mu.Lock()
	}
	return b, nil
}

// peers are mirrors whose addresses are their indexes.
type peers struct {
	mirrors  []*mirror.Mirror
	upstream []string
	// conns are the connections to the peers, by index.
	conns [3]connection

	mu sync.Mutex
	// err fails all calls.
	err error
	// calls counts the calls to peers.
	calls int
	// reportedAge is the age that peers report in place of their own, after a
	// millisecond of delay; nil for their own.
	reportedAge *time.Duration
}

func (p *peers) callCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *peers) set(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
}

func (p *peers) failure() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

func (p *peers) Addresses() []string {
	var addresses []string
	for i := range p.mirrors {
		addresses = append(addresses, fmt.Sprint(i))
	}
	return addresses
}

func (p *peers) Sources(context.Context) []string { return nil }

func (p *peers) Upstream() []string { return p.upstream }

func (p *peers) Follow(ctx context.Context, address string, after int64, wait time.Duration) (mirror.Batch, error) {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	if err := p.failure(); err != nil {
		return mirror.Batch{}, err
	}
	var i int
	if _, err := fmt.Sscan(address, &i); err != nil {
		return mirror.Batch{}, err
	}
	b, err := p.conns[i].call(ctx, func() (mirror.Batch, error) { return p.mirrors[i].Await(ctx, after, wait), nil })
	if p.reportedAge != nil {
		time.Sleep(time.Millisecond)
		b.Age = *p.reportedAge
	}
	return b, err
}

// newEnv returns the context and the timers with which mirrors run until the test ends.
func newEnv(t *testing.T) (context.Context, *timer.Service) {
	ctx, cancel := context.WithCancel(t.Context())
	timers := timer.New()
	t.Cleanup(func() {
		cancel()
		timers.Close()
	})
	return ctx, timers
}

// atOffsets runs a test at offsets within one second, since a node learns of a change
// sooner or later depending on what it is waiting for at the time.
func atOffsets(t *testing.T, step time.Duration, test func(t *testing.T, after time.Duration)) {
	for after := time.Duration(0); after < time.Second; after += step {
		t.Run(fmt.Sprint("after ", after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, after) })
		})
	}
}

// advance lets time pass and waits until all goroutines are blocked, so that a test may
// read what they wrote.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

var errStore = errors.New("store fails")

// under returns the items of a mirror under a prefix.
func under(m *mirror.Mirror, prefix string) []mirror.Item {
	const nothing = -1 // a peer without data gets a snapshot
	return slices.DeleteFunc(m.ChangesAfter(nothing).Items, func(item mirror.Item) bool { return !strings.HasPrefix(item.Key, prefix) })
}
