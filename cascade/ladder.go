package cascade

// Ladder decides between models by the confidence that a model tells of its
// own answer, where no rating service stands beside it. The cheapest model
// answers first; an answer that it has too little confidence in is dropped
// before the client has any of it, and the costliest one answers instead.
type Ladder struct{ bound float64 }

// defaultBound is the least confidence, of 0 to 100, that releases an answer:
// of 40, 50, 60, 70 and 80 the best on calm days of both deployments
// (docs/MEASUREMENTS.md).
const defaultBound = 50

// NewLadder returns a ladder with the default bound.
func NewLadder() *Ladder { return &Ladder{bound: defaultBound} }

// First returns the index of the model that answers first, of n: the cheapest.
func (l *Ladder) First(int) int { return 0 }

// Next returns the index of the model to ask in place of the one at step;
// false to release its answer.
func (l *Ladder) Next(n, step int, confidence float64) (int, bool) {
	if step >= n-1 || confidence >= l.bound {
		return 0, false
	}
	return n - 1, true
}
