package notice

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/violettally/violettally/internal/rendezvous"
)

const (
	// reportInterval is the least time after which a notice is reported to the other nodes again,
	// and endedReportInterval that after which its end is: those that have missed it send the
	// server too little, which nothing else shows them.
	reportInterval      = 10 * time.Second
	endedReportInterval = 2 * time.Second
	// reportsPerSecond bounds the reports of all nodes together, and reportBurst those of one
	// node at once.
	reportsPerSecond = 10.0
	reportBurst      = 20
)

// position returns this node's place among all nodes, from 0 to 1, in what concerns a server.
func (b *Board) position(hash uint64) float64 {
	return rendezvous.Position(rendezvous.Score(hash, b.roster.NodeHash()))
}

// isReportDue reports whether what a server has just said is to be reported to the other nodes, and
// counts the report. The caller holds mu.
func (b *Board) isReportDue(hash uint64, k Kind, changed bool, now time.Time) bool {
	r := b.records[hash]
	if r == nil || !k.isShared() {
		return false
	}
	f := &r.facts[k]
	if k == KindLeaving && !f.present(k) {
		return false
	}
	if !f.isKnown() || (!changed && now.Sub(f.reportedAt) < r.reportInterval(k)) {
		return false
	}
	b.reports.SetLimitAt(now, rate.Limit(reportsPerSecond/float64(b.roster.Count())))
	if !b.reports.AllowN(now, 1) {
		return false
	}
	f.reportedAt = now
	return true
}

// reportInterval returns the time after which this node reports what it knows of a kind again.
func (r *record) reportInterval(k Kind) time.Duration {
	if !r.facts[k].present(k) {
		return r.spread(endedReportInterval)
	}
	return r.spread(reportInterval)
}
