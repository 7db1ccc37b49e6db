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

// nodesShown is how many nodes have a line of their own, those that were latest.
const nodesShown = 10

// Print writes how late nodes were by kind of news, and the nodes that were latest.
func (t *Table) Print(w io.Writer) error {
	all := t.Samples()
	byKind, byNode := make(map[string][]time.Duration), make(map[string][]time.Duration)
	for _, l := range all {
		byKind[l.kind.String()] = append(byKind[l.kind.String()], l.late)
		byNode[l.node] = append(byNode[l.node], l.late)
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "%d times learned; %d broken lines passed over\n\n", len(all), t.broken)
	fmt.Fprint(out, "news\tlearned\tp50 ms\tp90 ms\tp99 ms\tmost ms\n")
	for _, kind := range KindStrings() {
		printRow(out, kind, byKind[kind])
	}
	fmt.Fprint(out, "\nlatest nodes\tlearned\tp50 ms\tp90 ms\tp99 ms\tmost ms\n")
	for _, node := range latest(byNode) {
		printRow(out, node, byNode[node])
	}
	if err := out.Flush(); err != nil {
		return errs.Wrap(Unwritable, "print", err, "table")
	}
	return nil
}

// latest returns the nodes that were latest, the worst one first.
func latest(byNode map[string][]time.Duration) []string {
	nodes := make([]string, 0, len(byNode))
	for node := range byNode {
		nodes = append(nodes, node)
	}
	most := func(node string) time.Duration { return byNode[node][len(byNode[node])-1] }
	slices.SortFunc(nodes, func(a, b string) int {
		return cmp.Or(cmp.Compare(most(b), most(a)), cmp.Compare(a, b))
	})
	return nodes[:min(nodesShown, len(nodes))]
}

// printRow writes a line on times in ascending order.
func printRow(w io.Writer, name string, late []time.Duration) {
	if len(late) == 0 {
		return
	}
	at := func(share float64) int64 { return late[int(share*float64(len(late)-1))].Milliseconds() }
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", name, len(late), at(0.5), at(0.9), at(0.99), at(1))
}
