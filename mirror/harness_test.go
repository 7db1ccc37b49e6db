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
	mu       sync.Mutex
	revision int64
	items    map[string]mirror.Item
	history  []mirror.Item
	gone     bool
	err      error
	hang     bool
	line     line
	// comes is how long the whole takes to come, piece by piece.
	comes   time.Duration
	reads   int
	follows int
}

// pieceTime lies between two pieces of an answer.
const pieceTime = 20 * time.Millisecond

// line is a kept connection to one place: once it is silent, calls on it get no
// answer, and after the first one that ran out of time they go on a new one.
type line struct {
	mu sync.Mutex
	// silenced counts how often the connection open then went silent, used the
	// connections that calls have left for it.
	silenced, used int
}

func (l *line) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silenced++
}

// call makes a call, which may return before the time is over.
func (l *line) call(ctx context.Context, do func() (mirror.Batch, error)) (mirror.Batch, error) {
	l.mu.Lock()
	on := l.used
	l.mu.Unlock()
	b, err := do()
	l.mu.Lock()
	silent := l.silenced > on
	l.mu.Unlock()
	if !silent {
		return b, err
	}
	<-ctx.Done()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = l.silenced
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

// calls is how often the store was called.
func (s *fakeStore) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads + s.follows
}

func (s *fakeStore) set(err error, hang, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err, s.hang, s.gone = err, hang, gone
}

func (s *fakeStore) ReadAll(ctx context.Context) (mirror.Batch, error) {
	return s.line.call(ctx, func() (mirror.Batch, error) { return s.readAll(ctx) })
}

func (s *fakeStore) Follow(ctx context.Context, after int64, wait time.Duration) (mirror.Batch, error) {
	return s.line.call(ctx, func() (mirror.Batch, error) { return s.follow(ctx, after, wait) })
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
	for end := time.Now().Add(s.comes); time.Now().Before(end); progress.Report(ctx) {
		s.mu.Unlock()
		time.Sleep(pieceTime)
		s.mu.Lock()
	}
	b := mirror.Batch{Revision: s.revision, Whole: true}
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
	case s.gone:
		s.gone = false
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

// peers are mirrors that answer by their place.
type peers struct {
	mirrors  []*mirror.Mirror
	upstream []string
	// lines are the connections to peers by their places.
	lines [3]line

	mu sync.Mutex
	// err fails all calls.
	err error
	// calls is how often a peer was asked.
	calls int
	// tells is the age that peers tell in place of their own, after a network's way; nil
	// for their own.
	tells *time.Duration
}

func (p *peers) asked() int {
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
	b, err := p.lines[i].call(ctx, func() (mirror.Batch, error) { return p.mirrors[i].Await(ctx, after, wait), nil })
	if p.tells != nil {
		time.Sleep(time.Millisecond)
		b.Age = *p.tells
	}
	return b, err
}

// run returns what mirrors run by until the test ends.
func run(t *testing.T) (context.Context, *timer.Service) {
	ctx, cancel := context.WithCancel(t.Context())
	timers := timer.New()
	t.Cleanup(func() {
		cancel()
		timers.Close()
	})
	return ctx, timers
}

// atMoments plays a test at the moments of a second, since what a node waits for in that
// moment decides how soon it hears.
func atMoments(t *testing.T, step time.Duration, play func(t *testing.T, after time.Duration)) {
	for after := time.Duration(0); after < time.Second; after += step {
		t.Run(fmt.Sprint("after ", after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, after) })
		})
	}
}

// settle lets time pass and every task rest, so that a test may look at what
// they wrote.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

var errStore = errors.New("store fails")

// under returns the items that a mirror has below a prefix.
func under(m *mirror.Mirror, prefix string) []mirror.Item {
	const nothing = -1 // a peer that knows nothing gets the whole
	return slices.DeleteFunc(m.After(nothing).Items, func(item mirror.Item) bool { return !strings.HasPrefix(item.Key, prefix) })
}
