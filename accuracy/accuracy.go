// Package accuracy computes from logs how accurate the estimates were by which a
// system routed its requests.
//
// Every decision of package relay logs how long a response was expected to take
// until it began, how much of that time the request was expected to wait in a
// queue, and when the response began. For each costlier model that was considered,
// it logs whether escalating to it was worthwhile. These steps are summed up by
// model and by the expected wait, so that an operator sees which estimates are
// wrong: the learned service times, if responses without a wait are late, or the
// load that nodes know of each other, if responses with a wait are. Only sums are
// kept, so that a log of any length can be read.
//
// # Usage
//
//	t := accuracy.New()
//	if err := t.Read("gateway.log", log); err != nil { // once for each log
//		return err
//	}
//	err := t.Print(os.Stdout)
//
// A log has one JSON object per line. Text before the first brace of a line is
// skipped, since journals and log collectors put times and names there; other
// messages and lines without a brace are ignored. BrokenLines counts the lines that
// are truncated or too long, UnknownSteps the steps that are not in the relay's
// format.
package accuracy

import (
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"

	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/jsonlines"
)

var (
	namespace = errs.Namespace("accuracy")

	// Unreadable means that a log could not be read to its end.
	Unreadable = namespace.NewType("unreadable")
	// Unwritable means that the tables could not be written.
	Unwritable = namespace.NewType("unwritable")
)

const (
	// maxModels bounds the models that have their own rows, so that memory is
	// bounded whatever the logs contain.
	maxModels = 256
	// otherModels is the name under which all further models are summed up.
	otherModels = "(others)"
)

// Waiting is which part of a response's expected time the request was expected to
// wait at the server.
type Waiting int

//go:generate go tool enumer -type=Waiting -trimprefix=Waiting -transform=whitespace -output=accuracy_enumer.go

// The parts of the expected time: none, up to a quarter, more than a quarter.
const (
	WaitingNothing Waiting = iota
	WaitingUpToAQuarter
	WaitingMore
)

// Table has the sums over all decisions in the logs.
type Table struct {
	models       map[string]*ModelStats
	bands        []Band
	decisions    int
	brokenLines  int
	unknownSteps int
}

// New returns an empty table.
func New() *Table {
	return &Table{models: make(map[string]*ModelStats), bands: newBands()}
}

// Read adds the decisions of one log. The name appears in errors.
func (t *Table) Read(name string, log io.Reader) error {
	broken, err := jsonlines.Read(name, log, t.addLine)
	t.brokenLines += broken
	if err != nil {
		return errs.Wrap(Unreadable, "read", err, "log %s", name)
	}
	return nil
}

// addLine adds the decision of one line, if it has one, and reports whether the line
// can be parsed.
func (t *Table) addLine(object []byte) bool {
	// The steps are decoded only once the message is known, since other
	// messages may have a field of this name and another type.
	var entry struct {
		Message string          `json:"msg"`
		Steps   json.RawMessage `json:"steps"`
	}
	var otherType *json.UnmarshalTypeError
	switch err := json.Unmarshal(object, &entry); {
	case errors.As(err, &otherType):
		return true
	case err != nil:
		return false
	}
	if entry.Message != "decision" {
		return true
	}
	// A request that was refused on arrival may have no steps.
	var steps []decision.Step
	if len(entry.Steps) > 0 && json.Unmarshal(entry.Steps, &steps) != nil {
		return false
	}
	t.Add(steps)
	return true
}

// Add adds one decision, given its steps.
func (t *Table) Add(steps []decision.Step) {
	t.decisions++
	previous := ""
	for _, step := range steps {
		response, escalation, err := ParseStep(step)
		switch {
		case err != nil:
			t.unknownSteps++
		case response != nil:
			t.statsFor(response.model).add(response)
		case escalation != nil:
			// An escalation that does not follow a response was considered
			// for a request without one; its confidence is an assumed one.
			t.bandFor(escalation.confidence, previous == stepHead).add(escalation.worthwhile)
		}
		previous = step.Name
	}
}

// statsFor returns the sums of a model. Once there are too many models, new ones
// share one.
func (t *Table) statsFor(name string) *ModelStats {
	if m := t.models[name]; m != nil {
		return m
	}
	if len(t.models) >= maxModels && name != "" && name != otherModels {
		return t.statsFor(otherModels)
	}
	m := &ModelStats{name: name}
	t.models[name] = m
	return m
}

// Models returns the sums of each model, sorted by name. Those of requests for which
// the system chose no model come last.
func (t *Table) Models() []*ModelStats {
	models := make([]*ModelStats, 0, len(t.models))
	for _, m := range t.models {
		models = append(models, m)
	}
	slices.SortFunc(models, func(a, b *ModelStats) int {
		if (a.name == "") != (b.name == "") {
			return strings.Compare(b.name, a.name)
		}
		return strings.Compare(a.name, b.name)
	})
	return models
}

// Escalations returns the considered escalations to costlier models, by bands of the
// confidence of the response that would be replaced.
func (t *Table) Escalations() []Band { return slices.Clone(t.bands) }

// Decisions returns the number of decisions that were read.
func (t *Table) Decisions() int { return t.decisions }

// BrokenLines returns the number of lines that have a brace but no valid JSON, or that
// are too long.
func (t *Table) BrokenLines() int { return t.brokenLines }

// UnknownSteps returns the number of steps that are not in the format that the relay
// writes.
func (t *Table) UnknownSteps() int { return t.unknownSteps }
