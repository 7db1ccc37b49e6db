package notice

import (
	"time"

	"github.com/violettally/violettally/internal/rendezvous"
	"github.com/violettally/violettally/registry"
)

// serviceEndTime is how long no server of a service may have named a rejection limit for an answer without
// one to end that of the service.
const serviceEndTime = 3 * time.Second

// serviceHash returns the hash by which nodes refer to a service in reports.
func serviceHash(service string) uint64 {
	return rendezvous.Score(rendezvous.Hash("service"), rendezvous.Hash(service))
}

// observeService records what an answer that names a rejection limit, or none, tells of the server's
// service: its servers name one at the same times, and those of which nothing else is known, as after a
// restart, count as naming it too.
func (b *Board) observeService(s registry.Server, n Notice, sentAgo time.Duration) {
	if n.Kind != KindRejectionLimit || s.Service == "" {
		return
	}
	b.observe(serviceHash(s.Service), s.Service, Notice{KindServiceRejectionLimit, n.Value}, sentAgo)
	if n.IsAbsent() {
		b.exempt(s, sentAgo)
	}
}

// exempt records that a server names no rejection limit although its service does.
func (b *Board) exempt(s registry.Server, sentAgo time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ofService := b.serviceLimit(s.Service)
	now := b.timers.Steady()
	if ofService == nil || now.Add(-sentAgo).Before(ofService.said.to) {
		return // the server may have answered before it began to name the limit, as others do
	}
	r := b.record(s.Hash())
	if f := &r.facts[KindRejectionLimit]; !f.present(KindRejectionLimit) {
		r.id, f.said = s.ID, newSpan(now, 0, sentAgo)
	}
}

// NamesRejectionLimits reports whether any server or service is known to name a rejection limit.
func (b *Board) NamesRejectionLimits() bool {
	return b.Count(KindRejectionLimit) > 0 || b.Count(KindServiceRejectionLimit) > 0
}

// serviceLimit returns the rejection limit that servers of a service name; nil for none. The caller holds
// mu.
func (b *Board) serviceLimit(service string) *fact {
	if b.counts[KindServiceRejectionLimit].Load() == 0 || service == "" {
		return nil
	}
	r := b.records[serviceHash(service)]
	if r == nil || !r.facts[KindServiceRejectionLimit].present(KindServiceRejectionLimit) {
		return nil
	}
	return &r.facts[KindServiceRejectionLimit]
}

// rejectionLimit returns the rejection limit of a server of which the given record is kept, nil for none,
// and since when it is known that the server or others of its service name one: zero for no limit. The
// caller holds mu.
func (b *Board) rejectionLimit(s *registry.Server, r *record) (perSecond float64, since time.Time) {
	ofService := b.serviceLimit(s.Service)
	if ofService == nil {
		ofService = &fact{value: Unlimited}
	}
	if r == nil {
		return ofService.value, ofService.since
	}
	switch own := &r.facts[KindRejectionLimit]; {
	case own.present(KindRejectionLimit) && (ofService.since.IsZero() || own.since.Before(ofService.since)):
		return own.value, own.since
	case own.present(KindRejectionLimit):
		return own.value, ofService.since
	case own.isKnown() && !own.said.from.Before(ofService.said.to):
		return Unlimited, time.Time{}
	default: // nothing is known of it, or it may have begun to name a limit with the others
		return ofService.value, ofService.since
	}
}
