package accuracy

import (
	"regexp"
	"strconv"

	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/internal/errs"
)

// The steps that tell of estimates.
const (
	stepHead  = "head"
	stepOffer = "offer"
)

// Malformed says that a step's detail is not in the form that the relay writes.
var Malformed = namespace.NewType("malformed")

// The forms of the details, as package relay writes them. Fifteen digits are
// more than any time has, and their sums stay finite.
var (
	headForm  = regexp.MustCompile(`^after (\d{1,15}) ms, expected (\d{1,15}), of it (\d{1,15}) waiting; confidence (?:none|-?\d+) of (.*)$`)
	offerForm = regexp.MustCompile(`^(.*) for confidence (-?\d{1,15}): \d+ ms, of it \d+ waiting, -?\d+ left: (true|false)$`)
)

// Response is what a "head" step tells. Times are in milliseconds.
type Response struct {
	model                 string
	came, expected, waits float64
}

// Model returns the model that the system chose, "" if it chose none.
func (a *Response) Model() string { return a.model }

// Actual returns after how many milliseconds the answer began.
func (a *Response) Actual() float64 { return a.came }

// Expected returns after how many it was expected to.
func (a *Response) Expected() float64 { return a.expected }

// Waiting returns how much of that the request would wait.
func (a *Response) Waiting() Waiting {
	switch {
	case a.waits == 0:
		return WaitingNothing
	case 4*a.waits <= a.expected:
		return WaitingUpToAQuarter
	default:
		return WaitingMore
	}
}

// Escalation is what an "offer" step tells.
type Escalation struct {
	model      string
	confidence float64
	pays       bool
}

// Model returns the costlier model.
func (o *Escalation) Model() string { return o.model }

// Confidence returns that of the answer which would be replaced.
func (o *Escalation) Confidence() float64 { return o.confidence }

// Worthwhile reports whether asking the model paid.
func (o *Escalation) Worthwhile() bool { return o.pays }

// ParseStep reads what a step tells of an answer or of an offer. Both are nil
// for steps that tell of neither.
func ParseStep(step decision.Step) (*Response, *Escalation, error) {
	switch step.Name {
	case stepHead:
		m := headForm.FindStringSubmatch(step.Detail)
		if m == nil {
			return nil, nil, malformed(step)
		}
		return &Response{model: m[4], came: number(m[1]), expected: number(m[2]), waits: number(m[3])}, nil, nil
	case stepOffer:
		m := offerForm.FindStringSubmatch(step.Detail)
		if m == nil {
			return nil, nil, malformed(step)
		}
		return nil, &Escalation{model: m[1], confidence: number(m[2]), pays: m[3] == "true"}, nil
	default:
		return nil, nil, nil
	}
}

func malformed(step decision.Step) error {
	return errs.New(Malformed, "parse", "step %s: %q", step.Name, step.Detail)
}

// number reads what the forms let through, which is always a number.
func number(digits string) float64 {
	value, _ := strconv.ParseFloat(digits, 64)
	return value
}
