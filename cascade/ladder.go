package cascade

// Ladder decides between models by the confidence that a model tells of its
// own answer, where no rating service stands beside it. The cheapest model
// answers first; an answer that it has too little confidence in is dropped
// before the client has any of it, and a costlier model answers instead: the
// next one where the confidence was nearly enough, or else the costliest.
type Ladder struct{ bound, near float64 }

const (
	// defaultBound is the least confidence, of 0 to 100, that releases an
	// answer: of 40, 50, 60, 70 and 80 the best on calm days of both
	// deployments (docs/MEASUREMENTS.md).
	defaultBound = 50
	// nearBound is the confidence from which the next model is tried in place
	// of the costliest: of 35, 40 and 43 the best over the standard days of
	// both deployments (docs/MEASUREMENTS.md).
	nearBound = 35
)

// NewLadder returns a ladder with the default bounds.
func NewLadder() *Ladder { return &Ladder{bound: defaultBound, near: nearBound} }

// First returns the index of the model that answers first, of n. It is the
// cheapest, unless its answer could not be dropped for a better one: then it is
// the costliest, since a poor answer is worth little.
func (l *Ladder) First(n int, mayEscalate bool) int {
	if mayEscalate {
		return 0
	}
	return n - 1
}

// Next returns the index of the model to ask in place of the one at step, whose
// answer has the given confidence; false to release its answer. Last says that
// nothing can follow the next answer.
func (l *Ladder) Next(n, step int, confidence float64, last bool) (int, bool) {
	switch {
	case step >= n-1 || confidence >= l.bound:
		return 0, false
	case confidence >= l.near && !last:
		return step + 1, true
	}
	return n - 1, true
}
