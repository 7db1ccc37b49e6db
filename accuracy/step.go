package accuracy

import (
	"regexp"
	"strconv"

	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/internal/errs"
)

// The names of the steps that have estimates.
const (
	stepHead       = "head"
	stepEscalation = "offer"
)

// Malformed means that a step's detail is not in the format that the relay writes.
var Malformed = namespace.NewType("malformed")

// The formats of the details that package relay writes. Fifteen digits are enough
// for any time, and the sums of such numbers stay finite.
var (
	headPattern       = regexp.MustCompile(`^after (\d{1,15}) ms, expected (\d{1,15}), of it (\d{1,15}) waiting; confidence (?:none|-?\d+) of (.*)$`)
	escalationPattern = regexp.MustCompile(`^(.*) for confidence (-?\d{1,15}): \d+ ms, of it \d+ waiting, -?\d+ left: (true|false)$`)
)

// Response is the content of a "head" step. Times are in milliseconds.
type Response struct {
	model                  string
	actual, expected, wait float64
}

// Model returns the model that the system chose, "" if it chose none.
func (r *Response) Model() string { return r.model }

// Actual returns the time until the response began, in milliseconds.
func (r *Response) Actual() float64 { return r.actual }

// Expected returns the expected time until the response began, in milliseconds.
func (r *Response) Expected() float64 { return r.expected }

// Waiting returns which part of the expected time is waiting.
func (r *Response) Waiting() Waiting {
	switch {
	case r.wait == 0:
		return WaitingNothing
	case 4*r.wait <= r.expected:
		return WaitingUpToAQuarter
	default:
		return WaitingMore
	}
}

// Escalation is the content of an "offer" step: a costlier model that was considered
// in place of a response.
type Escalation struct {
	model      string
	confidence float64
	worthwhile bool
}

// Model returns the costlier model.
func (e *Escalation) Model() string { return e.model }

// Confidence returns the confidence of the response that would be replaced.
func (e *Escalation) Confidence() float64 { return e.confidence }

// Worthwhile reports whether asking the model was expected to be worth its cost.
func (e *Escalation) Worthwhile() bool { return e.worthwhile }

// ParseStep parses a step that has the estimates of a response or of an escalation.
// Both are nil for other steps. The error is Malformed.
func ParseStep(step decision.Step) (*Response, *Escalation, error) {
	switch step.Name {
	case stepHead:
		m := headPattern.FindStringSubmatch(step.Detail)
		if m == nil {
			return nil, nil, malformed(step)
		}
		return &Response{model: m[4], actual: parseNumber(m[1]), expected: parseNumber(m[2]), wait: parseNumber(m[3])}, nil, nil
	case stepEscalation:
		m := escalationPattern.FindStringSubmatch(step.Detail)
		if m == nil {
			return nil, nil, malformed(step)
		}
		return nil, &Escalation{model: m[1], confidence: parseNumber(m[2]), worthwhile: m[3] == "true"}, nil
	default:
		return nil, nil, nil
	}
}

func malformed(step decision.Step) error {
	return errs.New(Malformed, "parse", "step %s: %q", step.Name, step.Detail)
}

// parseNumber parses digits that one of the patterns has matched, so it cannot fail.
func parseNumber(digits string) float64 {
	value, _ := strconv.ParseFloat(digits, 64)
	return value
}
