package accuracy

import "math"

// ModelStats is how good the estimates of one model's answers were.
type ModelStats struct {
	name  string
	parts [WaitingMore + 1]Sums
}

func (m *ModelStats) add(a *Response) { m.parts[a.Waiting()].add(a) }

// Name returns the model's name, "" for requests for which the system chose
// none.
func (m *ModelStats) Name() string { return m.name }

// ByWaiting returns the sums of the answers that were expected to wait so long.
func (m *ModelStats) ByWaiting(w Waiting) Sums { return m.parts[w] }

// Total returns the sums of all answers.
func (m *ModelStats) Total() Sums {
	var whole Sums
	for _, s := range m.parts {
		whole.answers += s.answers
		whole.late += s.late
		whole.expected += s.expected
		whole.came += s.came
		whole.off += s.off
	}
	return whole
}

// Sums are those of some answers' expected times and of the times that came
// true, in milliseconds. Shares and means are NaN where there is nothing to
// divide by.
type Sums struct {
	answers, late       int
	expected, came, off float64
}

func (s *Sums) add(a *Response) {
	s.answers++
	s.expected += a.expected
	s.came += a.came
	s.off += math.Abs(a.came - a.expected)
	if a.came > 2*a.expected {
		s.late++
	}
}

// Responses returns how many answers there are.
func (s Sums) Responses() int { return s.answers }

// Expected returns the mean time that was expected, in milliseconds.
func (s Sums) Expected() float64 { return s.expected / float64(s.answers) }

// Actual returns the mean time after which answers began, in milliseconds.
func (s Sums) Actual() float64 { return s.came / float64(s.answers) }

// RelativeError returns the sum of |came - expected| over the sum of came.
func (s Sums) RelativeError() float64 { return s.off / s.came }

// Bias returns the sum of came - expected over the sum of came: above zero if
// answers come later than expected.
func (s Sums) Bias() float64 { return (s.came - s.expected) / s.came }

// LateShare returns the share of the answers that came later than twice the expected.
func (s Sums) LateShare() float64 { return float64(s.late) / float64(s.answers) }

// Band is the offers of costlier models in place of answers of some confidence.
type Band struct {
	name         string
	from         float64
	offers, paid int
}

// newBands returns the bands without offers, by the confidence at which each
// begins; the last one is of requests that have no answer yet. Costlier models
// are weighed below a confidence of 65, to which details may round.
func newBands() []Band {
	return []Band{
		{name: "0 to 20"},
		{name: "20 to 35", from: 20},
		{name: "35 to 50", from: 35},
		{name: "50 to 65", from: 50},
		{name: "65 and more", from: 65},
		{name: "no answer yet", from: math.Inf(1)},
	}
}

// band returns that of a confidence.
func (t *Table) band(confidence float64, answered bool) *Band {
	if !answered {
		confidence = math.Inf(1)
	}
	i := len(t.bands) - 1
	for i > 0 && confidence < t.bands[i].from {
		i--
	}
	return &t.bands[i]
}

func (b *Band) add(pays bool) {
	b.offers++
	if pays {
		b.paid++
	}
}

// Name returns the band's confidences as they are shown.
func (b Band) Name() string { return b.name }

// Escalations returns how many offers were weighed.
func (b Band) Escalations() int { return b.offers }

// Worthwhile returns how many of them paid.
func (b Band) Worthwhile() int { return b.paid }
