package lag

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/violettally/violettally/internal/errs"
)

// nodesShown is the number of nodes in the table of those with the largest lags.
const nodesShown = 10

// Print writes a table of lags by kind of change, and one of the nodes with the largest
// lags.
func (t *Table) Print(w io.Writer) error {
	all := t.Samples()
	byKind, byNode := make(map[string][]time.Duration), make(map[string][]time.Duration)
	for _, s := range all {
		byKind[s.kind.String()] = append(byKind[s.kind.String()], s.lag)
		byNode[s.node] = append(byNode[s.node], s.lag)
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "%d times learned; %d broken lines passed over\n\n", len(all), t.broken)
	fmt.Fprint(out, "news\tlearned\tp50 ms\tp90 ms\tp99 ms\tmost ms\n")
	for _, kind := range KindStrings() {
		printRow(out, kind, byKind[kind])
	}
	fmt.Fprint(out, "\nlatest nodes\tlearned\tp50 ms\tp90 ms\tp99 ms\tmost ms\n")
	for _, node := range slowestNodes(byNode) {
		printRow(out, node, byNode[node])
	}
	if err := out.Flush(); err != nil {
		return errs.Wrap(Unwritable, "print", err, "table")
	}
	return nil
}

// slowestNodes returns the nodes with the largest lags, in descending order. The lags
// of each node are in ascending order.
func slowestNodes(byNode map[string][]time.Duration) []string {
	nodes := make([]string, 0, len(byNode))
	for node := range byNode {
		nodes = append(nodes, node)
	}
	maxLag := func(node string) time.Duration { return byNode[node][len(byNode[node])-1] }
	slices.SortFunc(nodes, func(a, b string) int {
		return cmp.Or(cmp.Compare(maxLag(b), maxLag(a)), cmp.Compare(a, b))
	})
	return nodes[:min(nodesShown, len(nodes))]
}

// printRow writes one row of percentiles. The lags are in ascending order.
func printRow(w io.Writer, name string, lags []time.Duration) {
	if len(lags) == 0 {
		return
	}
	percentile := func(fraction float64) int64 { return lags[int(fraction*float64(len(lags)-1))].Milliseconds() }
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", name, len(lags), percentile(0.5), percentile(0.9), percentile(0.99), percentile(1))
}
