package share

import (
	"math"
	"time"
)

const (
	// leastWork is the work in milliseconds from which a send is told: shorter
	// work is over before the others hear of it, and they wait little for it.
	leastWork = 20.0
	// newsWeight is how much more reading counts that others will be spared:
	// it draws their prompts to the server.
	newsWeight = 2.5
	// toldPerSecond bounds what all nodes tell together: at some 45 bytes each,
	// 36 kB a second reach a node, however many nodes there are, and eight times
	// that leaves one in the middle of a tree, a quarter of a link of 10 Mbit/s.
	// Where half of the sends were told in place of all, requests waited for
	// 160 ms in place of 80 (1,000 prompts a second, 105 servers).
	toldPerSecond = 800.0
	// budgetStep is by how much the work that is worth telling rises with each
	// send that is told.
	budgetStep = 0.05
)

// budget decides which sends are told: it raises the least work until a node
// tells no more than its part. Its zero value is ready. It is not safe for
// concurrent use.
type budget struct {
	least float64
	at    time.Time
}

// allows reports whether work of so many milliseconds is told by one of so many
// nodes, and counts it if so.
func (b *budget) allows(work float64, nodes int, now time.Time) bool {
	rate := toldPerSecond / float64(max(1, nodes))
	decay := math.Exp(-rate * math.Log1p(budgetStep) * now.Sub(b.at).Seconds())
	b.least, b.at = math.Max(leastWork, b.least*decay), now
	if work < b.least {
		return false
	}
	b.least *= 1 + budgetStep
	return true
}
