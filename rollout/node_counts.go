package rollout

// departedAfterSteps is in how many steps in a row a node has not answered when it is
// taken for gone.
const departedAfterSteps = 3

// nodeCounts is what the driver knows of the nodes' counts.
type nodeCounts struct {
	// reported are the last counts of each node that has answered and is not
	// gone, missed in how many steps in a row it has not answered since.
	reported    map[string]Counts
	missedSteps map[string]int
	// stored are the counts of nodes that were taken for gone; one that answers
	// again counts from there on.
	stored map[string]Counts
}

func newNodeCounts() *nodeCounts {
	return &nodeCounts{reported: make(map[string]Counts), missedSteps: make(map[string]int), stored: make(map[string]Counts)}
}

// update takes the counts of the nodes that answered in a step.
func (n *nodeCounts) update(latest map[string]Counts) {
	for node := range n.reported {
		n.missedSteps[node]++
	}
	for node, counts := range latest {
		n.reported[node] = counts.subtract(n.stored[node])
		delete(n.missedSteps, node)
	}
}

// totals sums up the counts of all nodes under the names of the candidate and
// of the version in service. What nodes that are gone had counted moves to the
// stored progress.
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

// running returns how many requests run under a name, as far as is known. A node
// that does not answer still has what it had: it may have been late once.
func (n *nodeCounts) running(name string) int64 {
	running := int64(0)
	for node, counts := range n.reported {
		if !n.departed(node) {
			running += counts[name].Running + counts[name].RunningBeforeOrder
		}
	}
	return running
}

// recentSessions returns the slots of the sessions that lately had a request under a
// name, as far as is known. To hold one that is over harms nothing.
func (n *nodeCounts) recentSessions(name string) map[uint32]bool {
	recent := make(map[uint32]bool)
	for node, counts := range n.reported {
		if n.departed(node) {
			continue
		}
		for _, slot := range counts[name].RecentSessions {
			recent[slot] = true
		}
	}
	return recent
}

// departed reports whether a node is taken for gone.
func (n *nodeCounts) departed(node string) bool { return n.missedSteps[node] >= departedAfterSteps }

// dropDeparted drops the nodes that are gone, once what they counted is stored.
func (n *nodeCounts) dropDeparted() {
	for node, counts := range n.reported {
		if n.departed(node) {
			n.stored[node] = counts
			delete(n.reported, node)
			delete(n.missedSteps, node)
		}
	}
}

// subtract returns what was counted after an earlier count of the same node.
func (c Counts) subtract(earlier Counts) Counts {
	if len(earlier) == 0 {
		return c
	}
	since := make(Counts, len(c))
	for name, count := range c {
		before := earlier[name]
		count.Answers -= before.Answers
		count.Bad -= before.Bad
		count.Slow -= before.Slow
		since[name] = count
	}
	return since
}

// add sums up two counts. Recent is left out: it is gathered by itself.
func (c Count) add(other Count) Count {
	return Count{Answers: c.Answers + other.Answers, Bad: c.Bad + other.Bad, Slow: c.Slow + other.Slow,
		Running: c.Running + other.Running, RunningBeforeOrder: c.RunningBeforeOrder + other.RunningBeforeOrder}
}
