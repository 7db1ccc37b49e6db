// Package decision keeps a record of how each request was handled, so that operators can look
// up every decision later.
//
// A record has one line for each step of the request. A node keeps its latest records in
// memory, limited by number. When a record ends, it is also written as one JSON log line, which
// outlives the VM.
//
// # Usage
//
//	r := log.Start(id, account)
//	r.AddStep("pin", "session keeps %s", version)
//	…
//	r.End("answered")
//
// A process that exits ends the records of the requests that are still running:
//
//	for _, r := range log.Unfinished() {
//		r.End("left under way")
//	}
package decision

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"
)

// Step is one line of a record. AtMillis is the time since the record's start, in milliseconds.
type Step struct {
	AtMillis float64 `json:"at_ms" cbor:"1,keyasint"`
	Name     string  `json:"step" cbor:"2,keyasint"`
	Detail   string  `json:"detail" cbor:"3,keyasint"`
}

// Summary is a snapshot of a record. Its fields are exported for the JSON and CBOR codecs.
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
	// Status is the HTTP status that the client got; zero if it got none or it is not known.
	Status int `json:"status,omitempty" cbor:"10,keyasint,omitempty"`
}

// Bounds of what a record keeps, in bytes: a request's ID, and the detail of a step. Clients choose some of their text.
const (
	maxIDBytes     = 128
	maxDetailBytes = 512
)

// cut returns the beginning of a text, in memory of its own.
func cut(text string, most int) string {
	if len(text) <= most {
		return text
	}
	return strings.ToValidUTF8(strings.Clone(text[:most]), "") + "…"
}

// Record collects the steps of one request. It is safe for concurrent use.
type Record struct {
	mu      sync.Mutex
	summary Summary
	ended   bool
}

// AddStep adds a step; the detail is formatted as by [fmt.Sprintf].
func (r *Record) AddStep(step, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Steps = append(r.summary.Steps, Step{
		AtMillis: float64(time.Since(r.summary.Started).Microseconds()) / 1000,
		Name:     step,
		Detail:   cut(fmt.Sprintf(format, args...), maxDetailBytes),
	})
}

// SetAccount sets the account's name if it becomes known only after the start.
func (r *Record) SetAccount(account string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Account = account
}

// Account returns the account's name, or "" if it is not known.
func (r *Record) Account() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.summary.Account
}

// SetServer records the model, version and backend server that handle the request.
func (r *Record) SetServer(model, version, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Model, r.summary.Version, r.summary.Server = model, version, server
}

// SetStatus records the HTTP status that the client gets.
func (r *Record) SetStatus(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Status = status
}

// End sets the outcome and writes the log line.
func (r *Record) End(outcome string) {
	r.mu.Lock()
	r.summary.Outcome = outcome
	r.ended = true
	s := r.summary
	r.mu.Unlock()
	slog.Info("decision",
		"request_id", s.RequestID, "account", s.Account, "model", s.Model, "version", s.Version,
		"server", s.Server, "outcome", s.Outcome, "status", s.Status, "ms", time.Since(s.Started).Milliseconds(), "steps", s.Steps)
}

// open reports whether the record has not ended yet.
func (r *Record) open() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended
}

// Summary returns the current state of the record.
func (r *Record) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.summary
	s.Steps = append([]Step(nil), s.Steps...)
	return s
}

// maxRecords is the number of records that a node keeps. At about 1 kB each they take 8 MB.
const maxRecords = 8192

// Log holds a node's latest records. It is safe for concurrent use.
type Log struct {
	node string
	mu   sync.Mutex
	ring []*Record
	next int
	byID map[string]*Record
}

// New returns an empty log for the named node.
func New(node string) *Log {
	return &Log{node: node, ring: make([]*Record, maxRecords), byID: make(map[string]*Record)}
}

// Start adds a record, which replaces the oldest one once the log is full.
func (l *Log) Start(requestID, account string) *Record {
	requestID = cut(requestID, maxIDBytes)
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

// Find returns the latest record of a request, if it is still kept.
func (l *Log) Find(requestID string) (Summary, bool) {
	l.mu.Lock()
	r := l.byID[cut(requestID, maxIDBytes)]
	l.mu.Unlock()
	if r == nil {
		return Summary{}, false
	}
	return r.Summary(), true
}

// Unfinished returns the kept records that have not ended.
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
