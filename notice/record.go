package notice

import "time"

const (
	// minTrust is how long a limit that nobody confirms holds at least; at most twice as long.
	minTrust = 30 * time.Second
	// endedTrust is how long it is known that a limit has ended, so that older reports of other
	// nodes don't renew it.
	endedTrust = 10 * time.Second
	// leavingTrust is how long it is known that a server leaves. The entry of one that has ended may
	// stay in this node's copy of the store for as long as the store is away.
	leavingTrust = time.Hour
	// restMemory is how long it is known that a server has wanted rest, if it gets no request after it.
	restMemory = 30 * time.Second
	// restSpread is the share of a rest by which the nodes' rests are longer at most, up to
	// maxRestSpread, so that those that were turned away together don't come back together.
	restSpread    = 0.25
	maxRestSpread = 5 * time.Second
)

// span is the time in which a server said something: not before from, and not after to. A request is
// sent, answered and read; only the first and the last of these times are known.
type span struct{ from, to time.Time }

// newSpan returns when a server said what was heard so long ago, or longer ago by the doubt at most.
func newSpan(now time.Time, age, doubt time.Duration) span {
	to := now.Add(-age)
	return span{from: to.Add(-doubt), to: to}
}

// doubt returns by how much it is not known when it was.
func (s span) doubt() time.Duration { return s.to.Sub(s.from) }

// record is what is known of one server.
type record struct {
	// id is the server's ID; "" if it is known from reports only.
	id string
	// position, from 0 to 1, spreads over the nodes what each of them does after a time, so that
	// the first one tells the others.
	position float64
	facts    [kindCount]fact
	// restUntil is until when the server wants rest; zero if it wants none, or has answered since.
	restUntil time.Time
}

// fact is what is known of one kind.
type fact struct {
	// value is that of the last notice; Kind.Absent if there was none or it has ended.
	value float64
	// said is when the server last said so, or first that it has ended; zero if nothing is known.
	said span
	// reportedAt is when a node last reported it.
	reportedAt time.Time
	// since is when what holds was first heard.
	since time.Time
}

func newRecord(position float64) *record {
	r := &record{position: position}
	for k := range r.facts {
		r.facts[k].value = Kind(k).Absent()
	}
	return r
}

// present reports whether a fact of the given kind holds.
func (f *fact) present(k Kind) bool { return f.value != k.Absent() }

// isKnown reports whether the server is known to have said something of the kind, or that it has ended.
func (f *fact) isKnown() bool { return !f.said.to.IsZero() }

// admits reports whether a notice, said at the given time, may be later news than what is known. What asks
// more of the nodes is taken unless it surely is older; what asks less only if it surely is later, since answers
// pass each other and are read late.
func (f *fact) admits(n Notice, said span) bool {
	switch {
	case !f.isKnown() || f.holds(n):
		return true
	case n.isStricter(f.value):
		return !said.to.Before(f.said.from)
	case n.Kind == KindLeaving:
		return said.from.After(f.said.to)
	default:
		return said.from.Sub(f.said.to) >= n.Kind.endTime()
	}
}

// admits reports whether a notice, said at the given time, may be later news than what is known of its kind.
func (r *record) admits(n Notice, said span) bool {
	if n.Kind == KindRest {
		return !n.IsAbsent() || r.endsRest(said.from)
	}
	return r.facts[n.Kind].admits(n, said)
}

// holds reports whether a notice says what is known. Reports are rounded. Of the servers of a service some may
// name more than others.
func (f *fact) holds(n Notice) bool {
	if n.Kind == KindServiceRejectionLimit && !n.IsAbsent() && n.Value > f.value {
		return true
	}
	return !differ(n.Value, f.value, sameFactor)
}

// confirm records that the server has said the same at another time.
func (f *fact) confirm(said span) {
	if said.from.After(f.said.from) {
		f.said.from = said.from
	}
	if said.to.After(f.said.to) {
		f.said.to = said.to
	}
}

// isEmpty reports whether nothing is known of the server.
func (r *record) isEmpty() bool {
	for _, f := range r.facts {
		if f.isKnown() {
			return false
		}
	}
	return true
}

// spread returns the time after which this node does what the nodes do one after the other, from
// least to twice as much.
func (r *record) spread(least time.Duration) time.Duration {
	return least + time.Duration(r.position*float64(least))
}

// trust returns how long what was heard holds if nobody confirms it.
func (r *record) trust(k Kind) time.Duration {
	switch {
	case !r.facts[k].present(k):
		return endedTrust
	case k == KindLeaving:
		return leavingTrust
	case k == KindRest:
		return r.restUntil.Sub(r.facts[k].said.to) + restMemory
	default:
		return r.spread(minTrust)
	}
}

// extendRest records that the server has wanted rest from the given time on, or, for an absent notice,
// that its rest has ended. It returns false, and records nothing, if it has wanted rest for longer
// before: each of its answers holds.
func (r *record) extendRest(n Notice, heardAt time.Time) bool {
	if n.IsAbsent() {
		r.restUntil = time.Time{}
		return true
	}
	rest := time.Duration(min(n.Value, maxRest.Seconds()) * float64(time.Second))
	rest += time.Duration(r.position * float64(min(maxRestSpread, time.Duration(restSpread*float64(rest)))))
	until := heardAt.Add(rest)
	if !until.After(r.restUntil) {
		return false
	}
	r.restUntil = until
	return true
}

// endsRest reports whether an answer that asks for no rest, to a request sent at the given time, ends what was
// asked for before.
func (r *record) endsRest(sentAt time.Time) bool { return !sentAt.Before(r.restUntil) }
