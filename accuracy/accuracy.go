// Package accuracy tells how good the estimates were by which a system placed
// its requests.
//
// Every decision of package relay says how long an answer was expected to take
// until it began, how much of that the request would wait, and when the answer
// came; and for each costlier model that was weighed, whether asking it paid.
// These steps are added up by model and by what waited, so that an operator
// sees where the estimates fail: the learned times, if requests that hardly
// wait come late, or what nodes know of each other's work, if those that wait
// do. Only sums are kept, so that a log of any length can be read.
//
// # Usage
//
//	t := accuracy.New()
//	if err := t.Read("gateway.log", log); err != nil { // once for each log
//		return err
//	}
//	err := t.Print(os.Stdout)
//
// A log is JSON lines. What stands before the first brace of a line is skipped,
// since journals and collectors put times and names there; other messages and
// lines without a brace are passed over. Broken counts the lines that were cut
// or are too long, Unread the steps in another form than the relay's.
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

	// Unreadable says that a log could not be read to its end.
	Unreadable = namespace.NewType("unreadable")
	// Unwritable says that the tables could not be written.
	Unwritable = namespace.NewType("unwritable")
)

const (
	// maxModels bounds the models that have lines of their own, whatever the
	// logs name.
	maxModels = 256
	// others is the name under which further models are added up.
	others = "(others)"
)

// Waiting says how much of the time that an answer was expected to take the
// request would wait at the server.
type Waiting int

//go:generate go tool enumer -type=Waiting -trimprefix=Waiting -transform=whitespace -output=accuracy_enumer.go

// The parts of an answer's expected time that wait.
const (
	WaitingNothing Waiting = iota
	WaitingUpToAQuarter
	WaitingMore
)

// Table is what the decisions of a system's logs add up to.
type Table struct {
	models    map[string]*ModelStats
	bands     []Band
	decisions int
	broken    int
	unread    int
}

// New returns a table of no decisions.
func New() *Table {
	return &Table{models: make(map[string]*ModelStats), bands: newBands()}
}

// Read adds the decisions of one log. The name is for errors.
func (t *Table) Read(name string, log io.Reader) error {
	broken, err := jsonlines.Read(name, log, t.take)
	t.broken += broken
	if err != nil {
		return errs.Wrap(Unreadable, "read", err, "log %s", name)
	}
	return nil
}

// take adds the decision of one line, if it holds one, and reports whether the line
// can be read.
func (t *Table) take(object []byte) bool {
	// The steps are decoded only once the message is known, since those of
	// other messages may be anything.
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
	// A request that was refused at its arrival may have no steps.
	var steps []decision.Step
	if len(entry.Steps) > 0 && json.Unmarshal(entry.Steps, &steps) != nil {
		return false
	}
	t.Add(steps)
	return true
}

// Add adds one decision by its steps.
func (t *Table) Add(steps []decision.Step) {
	t.decisions++
	before := ""
	for _, step := range steps {
		answer, offer, err := ParseStep(step)
		switch {
		case err != nil:
			t.unread++
		case answer != nil:
			t.model(answer.model).add(answer)
		case offer != nil:
			// An offer that does not follow an answer is made for a request
			// that has none, by a confidence that stands for it.
			t.band(offer.confidence, before == stepHead).add(offer.pays)
		}
		before = step.Name
	}
}

// model returns the sums of a model, those of all others once too many are
// named.
func (t *Table) model(name string) *ModelStats {
	if m := t.models[name]; m != nil {
		return m
	}
	if len(t.models) >= maxModels && name != "" && name != others {
		return t.model(others)
	}
	m := &ModelStats{name: name}
	t.models[name] = m
	return m
}

// Models returns the sums of each model by its name, those of requests for
// which the system chose none at the end.
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

// Escalations returns the offers of costlier models by bands of the confidence that
// they would replace.
func (t *Table) Escalations() []Band { return slices.Clone(t.bands) }

// Decisions returns how many decisions were read.
func (t *Table) Decisions() int { return t.decisions }

// BrokenLines returns how many lines held a brace and no JSON, or were too long.
func (t *Table) BrokenLines() int { return t.broken }

// UnknownSteps returns how many steps were not in the form that the relay writes.
func (t *Table) UnknownSteps() int { return t.unread }
