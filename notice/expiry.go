package notice

import (
	"time"

	"github.com/violettally/violettally/owner"
)

// cleanInterval is the time between two looks for what has expired.
const cleanInterval = owner.RefreshInterval

// Clean drops what nobody has confirmed for a while. What uses the board calls it from time to time.
func (b *Board) Clean() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timers.Steady()
	if now.Sub(b.cleanedAt) < cleanInterval {
		return
	}
	b.cleanedAt = now
	for hash, r := range b.records {
		b.expire(hash, r, now)
		if r.isEmpty() {
			delete(b.records, hash)
		}
	}
}

// expire forgets the facts of a record that have expired. The caller holds mu.
func (b *Board) expire(hash uint64, r *record, now time.Time) {
	for k := range r.facts {
		kind, f := Kind(k), &r.facts[k]
		if !f.isKnown() || now.Sub(f.said.to) < r.trust(kind) {
			continue
		}
		before := *f
		b.replace(f, kind, kind.Absent())
		f.said, f.reportedAt = span{}, time.Time{}
		if kind == KindRest {
			r.restUntil = time.Time{}
		}
		if before.present(kind) {
			b.onChange(Change{Server: r.id, Hash: hash, Kind: kind, Before: before.value, Value: kind.Absent(), Source: SourceExpiry, Age: now.Sub(before.said.to), Doubt: before.said.doubt()})
		}
	}
}
