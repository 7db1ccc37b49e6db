// Package answer keeps the responses of the requests that a node runs or ran recently. A client
// that retries or reconnects, at any node, gets the running or the finished response.
//
// A [Response] is the response to one request while it is produced: the run appends parts, and
// any number of readers follow it from the start. The [Store] keeps the responses by attempt,
// bounded in total size and in age.
//
// # Usage
//
//	x := store.Open(attempt, cancel)
//	go run(x) // x.SetHead(head), x.Append(part) …, x.Finish()
//	for sent := 0; ; {
//		state := x.StateFrom(sent)
//		… // send state.Parts
//		sent += len(state.Parts)
//		if state.Done {
//			return
//		}
//		<-state.Changed
//	}
package answer

import (
	"context"
	"sync"
	"time"

	"github.com/violettally/violettally/timer"
)

// Head holds the metadata that precedes the parts of a response.
type Head struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Model       string `cbor:"3,keyasint"`
	Version     string `cbor:"4,keyasint"`
	// Streamed responses have one part per server-sent event; others have a single part.
	Streamed bool `cbor:"5,keyasint"`
}

// Failure states why a response ended before it was complete. It is the wire form of
// dispatch.Refusal.
type Failure struct {
	Reason      string `cbor:"1,keyasint"`
	Message     string `cbor:"2,keyasint"`
	Status      int    `cbor:"3,keyasint"`
	Ran         string `cbor:"4,keyasint"`
	RetryMillis int64  `cbor:"5,keyasint"`
}

// Error returns the reason and the message.
func (f *Failure) Error() string { return f.Reason + ": " + f.Message }

// Response is the response to one request. It is safe for concurrent use.
type Response struct {
	attempt string
	cancel  context.CancelFunc

	mu             sync.Mutex
	head           Head
	hasHead        bool
	parts          [][]byte
	bytes          int64
	done           bool
	failure        *Failure
	changed        chan struct{}
	readers        int
	cancelDisabled bool
	finished       time.Time
}

// NewResponse returns a response that no store keeps. The function cancel stops its run.
func NewResponse(attempt string, cancel context.CancelFunc) *Response {
	return &Response{attempt: attempt, cancel: cancel, changed: make(chan struct{})}
}

// Attempt returns the ID of the attempt.
func (x *Response) Attempt() string { return x.attempt }

// DisableCancel makes Cancel return false and leave the run alone. It is meant for calls that
// may not be repeated and so must not be interrupted.
func (x *Response) DisableCancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelDisabled = true
}

// Cancel stops the run on behalf of its clients. It returns false if cancelling is disabled or
// the response has ended.
func (x *Response) Cancel() bool {
	x.mu.Lock()
	stops := !x.cancelDisabled && !x.done
	x.mu.Unlock()
	if stops {
		x.cancel()
	}
	return stops
}

// Close releases the context of the run, once the run has ended.
func (x *Response) Close() { x.cancel() }

// SetHead sets the head. Only the first call has an effect.
func (x *Response) SetHead(h Head) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.hasHead {
		x.head, x.hasHead = h, true
		x.notifyReaders()
	}
}

// Append adds a part. Parts that come after the end are dropped.
func (x *Response) Append(part []byte) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.done {
		return
	}
	x.parts = append(x.parts, part)
	x.bytes += int64(len(part))
	x.notifyReaders()
}

// Finish marks the response as complete.
func (x *Response) Finish() { x.end(nil) }

// Fail ends the response with a failure.
func (x *Response) Fail(f *Failure) { x.end(f) }

func (x *Response) end(f *Failure) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.done {
		return
	}
	x.done, x.failure, x.finished = true, f, time.Now()
	x.notifyReaders()
}

func (x *Response) notifyReaders() {
	close(x.changed)
	x.changed = make(chan struct{})
}

// State is a snapshot of a response.
type State struct {
	Head    Head
	HasHead bool
	Parts   [][]byte
	Done    bool
	Failure *Failure
	// Changed is closed at the next change.
	Changed <-chan struct{}
}

// StateFrom returns the current state; Parts begins with the part of index n.
func (x *Response) StateFrom(n int) State {
	x.mu.Lock()
	defer x.mu.Unlock()
	return State{
		Head:    x.head,
		HasHead: x.hasHead,
		Parts:   x.parts[min(n, len(x.parts)):],
		Done:    x.done,
		Failure: x.failure,
		Changed: x.changed,
	}
}

// Wait returns once the response has ended, or with the context's error.
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

// AddReader counts one more reader. The returned function counts it off again and reports
// whether it was the last one.
func (x *Response) AddReader() (remove func() (last bool)) {
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
	return x.bytes + responseOverhead, x.finished, x.done
}

// responseOverhead estimates the memory of a response besides its parts, in bytes.
const responseOverhead = 1 << 10

// Store keeps a node's responses by attempt. It is safe for concurrent use.
type Store struct {
	timers   *timer.Service
	ttl      time.Duration
	maxBytes int64

	mu        sync.Mutex
	responses map[string]*Response
	// order lists the attempts in the order of their start.
	order []string
	// ran holds the attempts that must not run again, each with the time until which it is
	// kept.
	ran map[string]time.Time
}

// NewStore returns an empty store. It keeps a finished response for the given TTL, or for less,
// oldest first, while all responses together exceed maxBytes.
func NewStore(timers *timer.Service, ttl time.Duration, maxBytes int64) *Store {
	return &Store{
		timers:    timers,
		ttl:       ttl,
		maxBytes:  maxBytes,
		responses: make(map[string]*Response),
		ran:       make(map[string]time.Time),
	}
}

// Open adds the response of a new attempt. The function cancel stops its run.
func (s *Store) Open(attempt string, cancel context.CancelFunc) *Response {
	x := NewResponse(attempt, cancel)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses[attempt] = x
	s.order = append(s.order, attempt)
	return x
}

// Remove deletes an attempt that did not run.
func (s *Store) Remove(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.responses, attempt)
	delete(s.ran, attempt)
}

// MarkRan records for the given time that an attempt has run. The record may outlast the
// response.
func (s *Store) MarkRan(attempt string, ttl time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[attempt] = s.timers.Now().Add(ttl)
}

// Find returns the response of an attempt, or nil. The result ran reports whether the attempt
// is marked as having run.
func (s *Store) Find(attempt string) (x *Response, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ran = s.ran[attempt]
	return s.responses[attempt], ran
}

// Running returns the number of responses that have not ended.
func (s *Store) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := 0
	for _, x := range s.responses {
		if _, _, done := x.size(); !done {
			running++
		}
	}
	return running
}

const sweepInterval = time.Second

// Run deletes expired and excess responses until the context ends.
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
	for _, x := range s.responses {
		bytes, _, _ := x.size()
		total += bytes
	}
	kept := s.order[:0]
	for _, attempt := range s.order {
		x := s.responses[attempt]
		if x == nil {
			continue
		}
		bytes, finished, done := x.size()
		if done && (now.Sub(finished) > s.ttl || total > s.maxBytes) {
			delete(s.responses, attempt)
			total -= bytes
			continue
		}
		kept = append(kept, attempt)
	}
	s.order = kept
}
