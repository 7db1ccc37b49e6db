// Package cutoffrule is the agreed bound on how much worse callers may be served at nodes that
// are cut off from all servers, for tests.
//
// # Usage
//
//	if err := cutoffrule.Check(cutOff, others); err != nil {
//		t.Error(err)
//	}
package cutoffrule

import (
	"fmt"
	"time"
)

// AdaptTime is how long nodes may take to adapt after they were cut off.
const AdaptTime = 3 * time.Second

// Tries counts clients' first attempts.
type Tries struct{ Served, Sent int }

// share returns the share of the attempts that were served.
func (t Tries) share() float64 { return float64(t.Served) / float64(max(1, t.Sent)) }

// Check returns an error if the attempts at nodes that were cut off break the rule: less than two
// thirds as many are served as at the other nodes, and more than ten and one in fifty fail.
func Check(cutOff, others Tries) error {
	failed := cutOff.Sent - cutOff.Served
	if cutOff.share() >= others.share()*2/3 || float64(failed) <= 10+float64(cutOff.Sent)/50 {
		return nil
	}
	return fmt.Errorf("nodes without a way to the servers served %d of %d requests at the first attempt, the others %d of %d",
		cutOff.Served, cutOff.Sent, others.Served, others.Sent)
}
