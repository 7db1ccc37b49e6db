// Package lag computes from the logs of a system's nodes how late each node received
// changes of the platform's store.
//
// Every node logs when a server is leaving, when its entry is removed and when there is
// a new declaration, with the revision of the change in the store. The node that logs a
// revision first receives it within milliseconds, so the lag of another node is the time
// from the first node's log line to its own, as far as the clocks of the nodes agree. A
// node that was started in between is not counted.
//
// # Usage
//
//	t := lag.New()
//	if err := t.Read("gateway.log", log); err != nil { // once for each log
//		return err
//	}
//	err := t.Print(os.Stdout)
//
// A log has one JSON object per line. Text before the first brace of a line is skipped,
// and other messages are ignored. BrokenLines counts the lines that cannot be parsed.
package lag

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/jsonlines"
)

var (
	namespace = errs.Namespace("lag")

	// Unreadable means that a log could not be read to its end.
	Unreadable = namespace.NewType("unreadable")
	// Unwritable means that the tables could not be written.
	Unwritable = namespace.NewType("unwritable")
)

// Kind is the kind of a change.
type Kind int

//go:generate go tool enumer -type=Kind -trimprefix=Kind -transform=snake -output=lag_enumer.go

// The kinds of changes.
const (
	// KindLeaving is a server's announcement that it will shut down.
	KindLeaving Kind = iota
	// KindGone is the removal of a server's entry.
	KindGone
	// KindDeclaration is a new declaration.
	KindDeclaration
)

// change identifies one change of the store.
type change struct {
	kind     Kind
	server   string
	revision int64
}

// Table holds when each node logged each change.
type Table struct {
	// firstSeen holds by change and node when the node first logged it.
	firstSeen map[change]map[string]time.Time
	// starts holds by node when its processes were started.
	starts map[string][]time.Time
	broken int
}

// New returns an empty table.
func New() *Table {
	return &Table{firstSeen: make(map[change]map[string]time.Time), starts: make(map[string][]time.Time)}
}

// line has the fields of a log line that the package uses.
type line struct {
	Time     time.Time `json:"time"`
	Node     string    `json:"vm"`
	Server   string    `json:"server"`
	Leaving  bool      `json:"leaving"`
	Revision int64     `json:"revision"`
}

// Read adds one log. The name appears in errors.
func (t *Table) Read(name string, log io.Reader) error {
	broken, err := jsonlines.Read(name, log, t.addLine)
	t.broken += broken
	if err != nil {
		return errs.Wrap(Unreadable, "read", err, "log %s", name)
	}
	return nil
}

// addLine adds one line and reports whether it can be parsed.
func (t *Table) addLine(object []byte) bool {
	var message struct {
		Message string `json:"msg"`
	}
	if err := json.Unmarshal(object, &message); err != nil {
		return false
	}
	kind, ok := kindOfMessage(message.Message)
	if !ok && message.Message != "starting" {
		return true // its other fields may be of any type
	}
	var l line
	if err := json.Unmarshal(object, &l); err != nil {
		return false
	}
	switch {
	case !ok:
		t.starts[l.Node] = append(t.starts[l.Node], l.Time)
	case kind != KindLeaving || l.Leaving:
		t.addChange(change{kind, l.Server, l.Revision}, l.Node, l.Time)
	}
	return true
}

// kindOfMessage returns the kind of change that a log message reports.
func kindOfMessage(message string) (Kind, bool) {
	switch message {
	case "server":
		return KindLeaving, true
	case "server is gone":
		return KindGone, true
	case "declaration in force":
		return KindDeclaration, true
	}
	return 0, false
}

// addChange records when a node first logged a change.
func (t *Table) addChange(c change, node string, at time.Time) {
	if t.firstSeen[c] == nil {
		t.firstSeen[c] = make(map[string]time.Time)
	}
	if before, ok := t.firstSeen[c][node]; !ok || at.Before(before) {
		t.firstSeen[c][node] = at
	}
}

// Sample is the lag of one node for one change.
type Sample struct {
	kind Kind
	node string
	lag  time.Duration
}

// Kind returns the kind of the change.
func (s Sample) Kind() Kind { return s.kind }

// Node returns the node's name.
func (s Sample) Node() string { return s.node }

// Lag returns the time from the first node's log line of the change to this node's.
func (s Sample) Lag() time.Duration { return s.lag }

// Samples returns the lags of all nodes that were running, in ascending order.
func (t *Table) Samples() []Sample {
	var all []Sample
	for c, nodes := range t.firstSeen {
		first := earliest(nodes)
		for node, at := range nodes {
			if !t.startedBetween(node, first, at) {
				all = append(all, Sample{c.kind, node, at.Sub(first)})
			}
		}
	}
	slices.SortFunc(all, func(a, b Sample) int { return cmp.Compare(a.lag, b.lag) })
	return all
}

func earliest(nodes map[string]time.Time) time.Time {
	var first time.Time
	for _, at := range nodes {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// startedBetween reports whether a node was started between two times.
func (t *Table) startedBetween(node string, from, to time.Time) bool {
	return slices.ContainsFunc(t.starts[node], func(at time.Time) bool { return at.After(from) && !at.After(to) })
}

// Changes returns the number of changes that were logged.
func (t *Table) Changes() int { return len(t.firstSeen) }

// BrokenLines returns the number of lines that have a brace but no valid JSON, or that
// are too long.
func (t *Table) BrokenLines() int { return t.broken }
