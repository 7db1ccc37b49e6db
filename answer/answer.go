// Package answer holds the answers of the requests that a node runs or has
// lately run, so that a caller who comes back, on any node, is joined to the
// running answer or handed the finished one.
//
// An [Response] is one request's answer as it grows: the run appends parts,
// and any number of readers follow from the start. The [Store] keeps the
// exchanges by their attempt, bounded in bytes and time.
//
// # Usage
//
//	x := store.Open(attempt)
//	go run(x) // x.Append(part) …, x.Finish()
//	for i := 0; ; {
//		parts, done, changed := x.From(i)
//		…
//	}
package answer

import (
	"context"
	"sync"
	"time"

	"github.com/violettally/violettally/timer"
)

// Head is what comes before the parts of an answer.
type Head struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Model       string `cbor:"3,keyasint"`
	Version     string `cbor:"4,keyasint"`
	// Streamed answers have one part per server-sent event; others have one
	// part in all.
	Streamed bool `cbor:"5,keyasint"`
}

// Failure is why an answer ended without being whole. It is the wire form of
// a refusal (package dispatch).
type Failure struct {
	Reason      string `cbor:"1,keyasint"`
	Message     string `cbor:"2,keyasint"`
	Status      int    `cbor:"3,keyasint"`
	Ran         string `cbor:"4,keyasint"`
	RetryMillis int64  `cbor:"5,keyasint"`
}

// Error makes a Failure an error.
func (f *Failure) Error() string { return f.Reason + ": " + f.Message }

// Response is one request's answer. It is safe for concurrent use.
type Response struct {
	attempt string
	cancel  context.CancelFunc

	mu       sync.Mutex
	head     Head
	headed   bool
	parts    [][]byte
	bytes    int64
	done     bool
	failure  *Failure
	changed  chan struct{}
	readers  int
	pinned   bool
	finished time.Time
}

// NewResponse returns an exchange that no store keeps. Cancel stops its run.
func NewResponse(attempt string, cancel context.CancelFunc) *Response {
	return &Response{attempt: attempt, cancel: cancel, changed: make(chan struct{})}
}

// Attempt returns the attempt's identity.
func (x *Response) Attempt() string { return x.attempt }

// DisableCancel keeps callers from cancelling the run, for work that may not be repeated
// and must not be cut.
func (x *Response) DisableCancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.pinned = true
}

// Cancel stops the run for its callers. It returns false if the run is pinned
// or has ended.
func (x *Response) Cancel() bool {
	x.mu.Lock()
	stops := !x.pinned && !x.done
	x.mu.Unlock()
	if stops {
		x.cancel()
	}
	return stops
}

// Close gives back what the run holds, once it has ended.
func (x *Response) Close() { x.cancel() }

// SetHead sets what comes before the parts. Later calls change nothing.
func (x *Response) SetHead(h Head) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.headed {
		x.head, x.headed = h, true
		x.wake()
	}
}

// Append adds a part.
func (x *Response) Append(part []byte) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.done {
		return
	}
	x.parts = append(x.parts, part)
	x.bytes += int64(len(part))
	x.wake()
}

// Finish ends the answer as whole.
func (x *Response) Finish() { x.end(nil) }

// Fail ends the answer with a failure.
func (x *Response) Fail(f *Failure) { x.end(f) }

func (x *Response) end(f *Failure) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.done {
		return
	}
	x.done, x.failure, x.finished = true, f, time.Now()
	x.wake()
}

func (x *Response) wake() {
	close(x.changed)
	x.changed = make(chan struct{})
}

// State is a moment of an exchange.
type State struct {
	Head    Head
	HasHead bool
	Parts   [][]byte
	Done    bool
	Failure *Failure
	// Changed is closed when there is more.
	Changed <-chan struct{}
}

// StateFrom returns the present state with the parts from the nth on.
func (x *Response) StateFrom(n int) State {
	x.mu.Lock()
	defer x.mu.Unlock()
	return State{
		Head:    x.head,
		HasHead: x.headed,
		Parts:   x.parts[min(n, len(x.parts)):],
		Done:    x.done,
		Failure: x.failure,
		Changed: x.changed,
	}
}

// Wait returns once the answer has ended.
func (x *Response) Wait(ctx context.Context) (State, error) {
	for {
		s := x.StateFrom(0)
		if s.Done {
			return s, nil
		}
		select {
		case <-s.Changed:
		case <-ctx.Done():
			return s, ctx.Err()
		}
	}
}

// AddReader counts a reader in; the function it returns counts it out and tells
// whether it was the last.
func (x *Response) AddReader() (detach func() (last bool)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.readers++
	return func() bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.readers--
		return x.readers == 0
	}
}

func (x *Response) size() (bytes int64, finished time.Time, done bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.bytes + exchangeOverhead, x.finished, x.done
}

// exchangeOverhead estimates the memory of an exchange beside its parts.
const exchangeOverhead = 1 << 10

// Store keeps a node's exchanges by attempt. It is safe for concurrent use.
type Store struct {
	timers   *timer.Service
	life     time.Duration
	maxBytes int64

	mu        sync.Mutex
	exchanges map[string]*Response
	// order lists the attempts in the order of their start.
	order []string
	// ran remembers attempts that must not run again, until the time given.
	ran map[string]time.Time
}

// NewStore returns an empty store that keeps finished answers for life, and
// fewer if they exceed maxBytes.
func NewStore(timers *timer.Service, life time.Duration, maxBytes int64) *Store {
	return &Store{
		timers:    timers,
		life:      life,
		maxBytes:  maxBytes,
		exchanges: make(map[string]*Response),
		ran:       make(map[string]time.Time),
	}
}

// Open makes the exchange of a new attempt.
func (s *Store) Open(attempt string, cancel context.CancelFunc) *Response {
	x := NewResponse(attempt, cancel)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchanges[attempt] = x
	s.order = append(s.order, attempt)
	return x
}

// Remove removes an attempt that did not run.
func (s *Store) Remove(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanges, attempt)
	delete(s.ran, attempt)
}

// MarkRan keeps the knowledge that an attempt has run beyond its answer.
func (s *Store) MarkRan(attempt string, life time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[attempt] = s.timers.Now().Add(life)
}

// Find returns the exchange of an attempt, or nil. Ran reports whether an
// attempt without exchange is known to have run.
func (s *Store) Find(attempt string) (x *Response, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ran = s.ran[attempt]
	return s.exchanges[attempt], ran
}

// Running returns how many answers have not ended.
func (s *Store) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := 0
	for _, x := range s.exchanges {
		if _, _, done := x.size(); !done {
			running++
		}
	}
	return running
}

const sweepInterval = time.Second

// Run drops what is too old or too much until the context ends.
func (s *Store) Run(ctx context.Context) {
	s.timers.Every(ctx, sweepInterval, s.sweep)
}

func (s *Store) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timers.Now()
	for attempt, until := range s.ran {
		if now.After(until) {
			delete(s.ran, attempt)
		}
	}
	total := int64(0)
	for _, x := range s.exchanges {
		bytes, _, _ := x.size()
		total += bytes
	}
	kept := s.order[:0]
	for _, attempt := range s.order {
		x := s.exchanges[attempt]
		if x == nil {
			continue
		}
		bytes, finished, done := x.size()
		if done && (now.Sub(finished) > s.life || total > s.maxBytes) {
			delete(s.exchanges, attempt)
			total -= bytes
			continue
		}
		kept = append(kept, attempt)
	}
	s.order = kept
}
