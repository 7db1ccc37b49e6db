package accuracy

import "math"

// ModelStats has the sums of the estimates of one model's responses.
type ModelStats struct {
	name      string
	byWaiting [WaitingMore + 1]Sums
}

func (m *ModelStats) add(r *Response) { m.byWaiting[r.Waiting()].add(r) }

// Name returns the model's name, "" for requests for which the system chose no
// model.
func (m *ModelStats) Name() string { return m.name }

// ByWaiting returns the sums of the responses with that expected wait.
func (m *ModelStats) ByWaiting(w Waiting) Sums { return m.byWaiting[w] }

// Total returns the sums of all responses.
func (m *ModelStats) Total() Sums {
	var total Sums
	for _, s := range m.byWaiting {
		total.responses += s.responses
		total.late += s.late
		total.expected += s.expected
		total.actual += s.actual
		total.absError += s.absError
	}
	return total
}

// Sums has the sums of the expected and actual times of some responses, in
// milliseconds. Shares and means are NaN if the divisor is zero.
type Sums struct {
	responses, late            int
	expected, actual, absError float64
}

func (s *Sums) add(r *Response) {
	s.responses++
	s.expected += r.expected
	s.actual += r.actual
	s.absError += math.Abs(r.actual - r.expected)
	if r.actual > 2*r.expected {
		s.late++
	}
}

// Responses returns the number of responses.
func (s Sums) Responses() int { return s.responses }

// Expected returns the mean expected time until a response began, in milliseconds.
func (s Sums) Expected() float64 { return s.expected / float64(s.responses) }

// Actual returns the mean time until a response began, in milliseconds.
func (s Sums) Actual() float64 { return s.actual / float64(s.responses) }

// RelativeError returns the sum of |actual - expected| divided by the sum of actual.
func (s Sums) RelativeError() float64 { return s.absError / s.actual }

// Bias returns the sum of actual - expected divided by the sum of actual. It is
// positive if responses begin later than expected.
func (s Sums) Bias() float64 { return (s.actual - s.expected) / s.actual }

// LateShare returns the share of responses that took more than twice the expected
// time.
func (s Sums) LateShare() float64 { return float64(s.late) / float64(s.responses) }

// Band has the counts of escalations considered for responses whose confidence is in
// one range.
type Band struct {
	name                    string
	minConfidence           float64
	escalations, worthwhile int
}

// newBands returns empty bands in ascending order of their lower bounds; the last one
// is for requests without a response. Costlier models are considered only below a
// confidence of 65, but the logged confidence may be rounded up to it.
func newBands() []Band {
	return []Band{
		{name: "0 to 20"},
		{name: "20 to 35", minConfidence: 20},
		{name: "35 to 50", minConfidence: 35},
		{name: "50 to 65", minConfidence: 50},
		{name: "65 and more", minConfidence: 65},
		{name: "no answer yet", minConfidence: math.Inf(1)},
	}
}

// bandFor returns the band of a confidence.
func (t *Table) bandFor(confidence float64, hasResponse bool) *Band {
	if !hasResponse {
		confidence = math.Inf(1)
	}
	i := len(t.bands) - 1
	for i > 0 && confidence < t.bands[i].minConfidence {
		i--
	}
	return &t.bands[i]
}

func (b *Band) add(worthwhile bool) {
	b.escalations++
	if worthwhile {
		b.worthwhile++
	}
}

// Name returns the band's range of confidences as it is printed.
func (b Band) Name() string { return b.name }

// Escalations returns the number of escalations that were considered.
func (b Band) Escalations() int { return b.escalations }

// Worthwhile returns how many of them were worthwhile.
func (b Band) Worthwhile() int { return b.worthwhile }
