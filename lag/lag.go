// Package lag tells from the logs of a system's nodes how late each node learned what
// the platform's store had taken.
//
// Every node logs a server's leaving, the end of its entry and a new declaration with
// the store's revision of it. The node that logged a revision first knew it within
// milliseconds, so what the others took longer is how late they were, as far as their
// clocks agree. A node that was started in between is not counted.
//
// # Usage
//
//	t := lag.New()
//	if err := t.Read("gateway.log", log); err != nil { // once for each log
//		return err
//	}
//	err := t.Print(os.Stdout)
//
// A log is JSON lines. What stands before the first brace of a line is skipped, and
// other messages are passed over. Broken counts the lines that cannot be read.
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

	// Unreadable says that a log could not be read to its end.
	Unreadable = namespace.NewType("unreadable")
	// Unwritable says that the tables could not be written.
	Unwritable = namespace.NewType("unwritable")
)

// Kind is what a node learns.
type Kind int

//go:generate go tool enumer -type=Kind -trimprefix=Kind -transform=snake -output=lag_enumer.go

// The kinds of news.
const (
	// KindLeaving is a server's word that it is about to end.
	KindLeaving Kind = iota
	// KindGone is the end of a server's entry.
	KindGone
	// KindDeclaration is a new declaration.
	KindDeclaration
)

// news is one change that the store took.
type news struct {
	kind     Kind
	server   string
	revision int64
}

// Table is when nodes learned what.
type Table struct {
	learned map[news]map[string]time.Time
	// started holds by node when its processes started.
	started map[string][]time.Time
	broken  int
}

// New returns an empty table.
func New() *Table {
	return &Table{learned: make(map[news]map[string]time.Time), started: make(map[string][]time.Time)}
}

// line is what the package reads of a log line.
type line struct {
	Time     time.Time `json:"time"`
	Node     string    `json:"vm"`
	Server   string    `json:"server"`
	Leaving  bool      `json:"leaving"`
	Revision int64     `json:"revision"`
}

// Read adds one log. The name is for errors.
func (t *Table) Read(name string, log io.Reader) error {
	broken, err := jsonlines.Read(name, log, t.take)
	t.broken += broken
	if err != nil {
		return errs.Wrap(Unreadable, "read", err, "log %s", name)
	}
	return nil
}

// take adds one line and reports whether it can be read.
func (t *Table) take(object []byte) bool {
	var message struct {
		Message string `json:"msg"`
	}
	if err := json.Unmarshal(object, &message); err != nil {
		return false
	}
	kind, ok := kindOf(message.Message)
	if !ok && message.Message != "starting" {
		return true // its other fields may be of any type
	}
	var l line
	if err := json.Unmarshal(object, &l); err != nil {
		return false
	}
	switch {
	case !ok:
		t.started[l.Node] = append(t.started[l.Node], l.Time)
	case kind != KindLeaving || l.Leaving:
		t.add(news{kind, l.Server, l.Revision}, l.Node, l.Time)
	}
	return true
}

// kindOf returns what a message tells.
func kindOf(message string) (Kind, bool) {
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

// add notes when a node first logged news.
func (t *Table) add(n news, node string, at time.Time) {
	if t.learned[n] == nil {
		t.learned[n] = make(map[string]time.Time)
	}
	if before, ok := t.learned[n][node]; !ok || at.Before(before) {
		t.learned[n][node] = at
	}
}

// Sample is how late one node was with one piece of news.
type Sample struct {
	kind Kind
	node string
	late time.Duration
}

// Kind is what it learned, Node which one it is, Late how long after the first node.
func (l Sample) Kind() Kind         { return l.kind }
func (l Sample) Node() string       { return l.node }
func (l Sample) Lag() time.Duration { return l.late }

// Samples returns what nodes learned while they ran, the latest last.
func (t *Table) Samples() []Sample {
	var all []Sample
	for n, nodes := range t.learned {
		first := earliest(nodes)
		for node, at := range nodes {
			if !t.startedBetween(node, first, at) {
				all = append(all, Sample{n.kind, node, at.Sub(first)})
			}
		}
	}
	slices.SortFunc(all, func(a, b Sample) int { return cmp.Compare(a.late, b.late) })
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
	return slices.ContainsFunc(t.started[node], func(at time.Time) bool { return at.After(from) && !at.After(to) })
}

// Changes returns how many changes of the store nodes learned of.
func (t *Table) Changes() int { return len(t.learned) }

// BrokenLines returns how many lines held a brace and no JSON, or were too long.
func (t *Table) BrokenLines() int { return t.broken }
