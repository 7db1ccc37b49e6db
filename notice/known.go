package notice

import (
	"cmp"
	"slices"
	"time"
)

// maxKnown bounds what one node tells another that has just started, some 15 kB.
const maxKnown = 500

// Known returns what a node that has just started is to know: what concerns all nodes, that of services
// first, then the latest.
func (b *Board) Known() []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timers.Steady()
	var known []Report
	for hash, r := range b.records {
		for k := range r.facts {
			kind, f := Kind(k), &r.facts[k]
			if kind.isShared() && f.present(kind) {
				known = append(known, Report{Server: hash, Kind: kind, Value: f.value, Age: now.Sub(f.said.to), FirstAge: now.Sub(f.since), Doubt: f.said.doubt()})
			}
		}
	}
	slices.SortFunc(known, func(a, b Report) int {
		switch ofService := a.Kind == KindServiceRejectionLimit; {
		case ofService == (b.Kind == KindServiceRejectionLimit):
			return cmp.Compare(a.Age, b.Age)
		case ofService:
			return -1
		default:
			return 1
		}
	})
	return known[:min(len(known), maxKnown)]
}

// Learn records what another node knows, when this one has just started. To learn it took the given time.
func (b *Board) Learn(known []Report, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range known {
		if !r.Kind.isShared() || (Notice{r.Kind, r.Value}).IsAbsent() {
			continue
		}
		now := b.timers.Steady()
		b.set(r.Server, "", Notice{r.Kind, r.Value}, newSpan(now, r.Age, r.Doubt+took), SourceReport)
		if f := &b.record(r.Server).facts[r.Kind]; f.present(r.Kind) && now.Add(-r.FirstAge).Before(f.since) {
			f.since = now.Add(-r.FirstAge)
		}
	}
}
