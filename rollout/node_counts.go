package rollout

// departedAfterSteps is the number of consecutive steps without a response after
// which a node counts as departed.
const departedAfterSteps = 3

// nodeCounts holds the counts that the driver has collected from the nodes.
type nodeCounts struct {
	// reported holds the last counts of each node that has not departed, and
	// missedSteps the number of consecutive steps in which it has not responded
	// since.
	reported    map[string]Counts
	missedSteps map[string]int
	// stored holds the counts of departed nodes that are part of the stored
	// progress. They are subtracted if such a node responds again.
	stored map[string]Counts
}

func newNodeCounts() *nodeCounts {
	return &nodeCounts{reported: make(map[string]Counts), missedSteps: make(map[string]int), stored: make(map[string]Counts)}
}

// update records the counts of the nodes that responded in a step.
func (n *nodeCounts) update(latest map[string]Counts) {
	for node := range n.reported {
		n.missedSteps[node]++
	}
	for node, counts := range latest {
		n.reported[node] = counts.subtract(n.stored[node])
		delete(n.missedSteps, node)
	}
}

// totals returns the sums over all nodes of the counts of the candidate and of
// the version in service. It adds the counts of newly departed nodes to p.
func (n *nodeCounts) totals(target, inService string, p *Progress) (candidate, baseline Count) {
	for node, counts := range n.reported {
		if n.departed(node) {
			p.DepartedCandidate, p.DepartedBaseline = p.DepartedCandidate.add(counts[target]), p.DepartedBaseline.add(counts[inService])
			continue
		}
		candidate = candidate.add(counts[target])
		baseline = baseline.add(counts[inService])
	}
	return candidate.add(p.DepartedCandidate.count()), baseline.add(p.DepartedBaseline.count())
}

// runningElsewhere returns the number of requests of a model that run on other versions than the candidate with
// the given count key, whatever order they began under. A node that did not respond is included with its last
// count, because it may only have been late.
func (n *nodeCounts) runningElsewhere(model, candidate string) int64 {
	running := int64(0)
	for node, counts := range n.reported {
		if n.departed(node) {
			continue
		}
		for key, c := range counts {
			if key != candidate && isKeyOf(model, key) {
				running += c.Running + c.RunningBeforeOrder
			}
		}
	}
	return running
}

// recentSessions returns the hashes of the recent sessions of a count key. It may
// include sessions that have ended, which does no harm.
func (n *nodeCounts) recentSessions(key string) map[uint32]bool {
	recent := make(map[uint32]bool)
	for node, counts := range n.reported {
		if n.departed(node) {
			continue
		}
		for _, hash := range counts[key].RecentSessions {
			recent[hash] = true
		}
	}
	return recent
}

// departed reports whether a node has missed so many steps that it counts as
// departed.
func (n *nodeCounts) departed(node string) bool { return n.missedSteps[node] >= departedAfterSteps }

// dropDeparted removes the departed nodes. It is called after their counts have
// been stored.
func (n *nodeCounts) dropDeparted() {
	for node, counts := range n.reported {
		if n.departed(node) {
			n.stored[node] = counts
			delete(n.reported, node)
			delete(n.missedSteps, node)
		}
	}
}

// subtract returns the counts minus earlier ones of the same node.
func (c Counts) subtract(earlier Counts) Counts {
	if len(earlier) == 0 {
		return c
	}
	difference := make(Counts, len(c))
	for name, count := range c {
		before := earlier[name]
		count.Answers -= before.Answers
		count.Bad -= before.Bad
		count.Slow -= before.Slow
		count.SlowFine -= before.SlowFine
		difference[name] = count
	}
	return difference
}

// add returns the sum of two counts without RecentSessions, which the driver
// gathers separately.
func (c Count) add(other Count) Count {
	return Count{Answers: c.Answers + other.Answers, Bad: c.Bad + other.Bad, Slow: c.Slow + other.Slow, SlowFine: c.SlowFine + other.SlowFine,
		Running: c.Running + other.Running, RunningBeforeOrder: c.RunningBeforeOrder + other.RunningBeforeOrder}
}
