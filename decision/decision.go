// Package decision keeps the record of how each request was decided, so that
// every decision can be asked about afterwards.
//
// A record is a few lines, one for each step of the request's path. The node
// that decided keeps its latest records in memory, bounded by number; each is
// also written as one JSON log line, which outlives the VM.
//
// # Usage
//
//	r := log.Start(id, account)
//	r.Note("pin", "session keeps %s", version)
//	…
//	r.End("answered")
//
// A process that ends tells what it leaves behind:
//
//	for _, r := range log.Open() {
//		r.End("left under way")
//	}
package decision

import (
	"fmt"
	"log/slog"
	"sync"
	"time"
)

// Step is one line of a record. AtMillis counts from the record's start.
type Step struct {
	AtMillis float64 `json:"at_ms" cbor:"1,keyasint"`
	Name     string  `json:"step" cbor:"2,keyasint"`
	Detail   string  `json:"detail" cbor:"3,keyasint"`
}

// Summary is a record as it is shown. The fields are exported for the codecs.
type Summary struct {
	RequestID string    `json:"request_id" cbor:"1,keyasint"`
	Account   string    `json:"account" cbor:"2,keyasint"`
	Node      string    `json:"node" cbor:"3,keyasint"`
	Started   time.Time `json:"started" cbor:"4,keyasint"`
	Model     string    `json:"model" cbor:"5,keyasint"`
	Version   string    `json:"version" cbor:"6,keyasint"`
	Server    string    `json:"server" cbor:"7,keyasint"`
	Outcome   string    `json:"outcome" cbor:"8,keyasint"`
	Steps     []Step    `json:"steps" cbor:"9,keyasint"`
}

// Record collects the steps of one request. It is safe for concurrent use.
type Record struct {
	mu      sync.Mutex
	summary Summary
	ended   bool
}

// AddStep adds a step.
func (r *Record) AddStep(step, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Steps = append(r.summary.Steps, Step{
		AtMillis: float64(time.Since(r.summary.Started).Microseconds()) / 1000,
		Name:     step,
		Detail:   fmt.Sprintf(format, args...),
	})
}

// SetAccount names the account where it is only known after the start.
func (r *Record) SetAccount(account string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Account = account
}

// Account returns the account's name; "" if none is known.
func (r *Record) Account() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.summary.Account
}

// SetServer notes which version and backend server do the work.
func (r *Record) SetServer(model, version, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Model, r.summary.Version, r.summary.Server = model, version, server
}

// End closes the record and writes its log line.
func (r *Record) End(outcome string) {
	r.mu.Lock()
	r.summary.Outcome = outcome
	r.ended = true
	s := r.summary
	r.mu.Unlock()
	slog.Info("decision",
		"request_id", s.RequestID, "account", s.Account, "model", s.Model, "version", s.Version,
		"server", s.Server, "outcome", s.Outcome, "ms", time.Since(s.Started).Milliseconds(), "steps", s.Steps)
}

// open reports whether the record has not ended yet.
func (r *Record) open() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended
}

// Summary returns the record as it is now.
func (r *Record) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.summary
	s.Steps = append([]Step(nil), s.Steps...)
	return s
}

// keptRecords is how many records a node keeps; at about a kilobyte each
// they take eight megabytes.
const keptRecords = 8192

// Log is a node's latest records. It is safe for concurrent use.
type Log struct {
	node string
	mu   sync.Mutex
	ring []*Record
	next int
	byID map[string]*Record
}

// New returns an empty log of the named node.
func New(node string) *Log {
	return &Log{node: node, ring: make([]*Record, keptRecords), byID: make(map[string]*Record)}
}

// Start opens a record. It takes the place of the oldest one.
func (l *Log) Start(requestID, account string) *Record {
	r := &Record{summary: Summary{RequestID: requestID, Account: account, Node: l.node, Started: time.Now()}}
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.ring[l.next]; old != nil && l.byID[old.summary.RequestID] == old {
		delete(l.byID, old.summary.RequestID)
	}
	l.ring[l.next] = r
	l.next = (l.next + 1) % len(l.ring)
	l.byID[requestID] = r
	return r
}

// Find returns the record of a request, if it is still kept.
func (l *Log) Find(requestID string) (Summary, bool) {
	l.mu.Lock()
	r := l.byID[requestID]
	l.mu.Unlock()
	if r == nil {
		return Summary{}, false
	}
	return r.Summary(), true
}

// Unfinished returns the kept records of requests that have not ended.
func (l *Log) Unfinished() []*Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var open []*Record
	for _, r := range l.ring {
		if r != nil && r.open() {
			open = append(open, r)
		}
	}
	return open
}
