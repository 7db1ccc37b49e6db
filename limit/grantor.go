package limit

import (
	"sync"
	"time"

	"github.com/violettally/violettally/timer"
)

// LimitFunc returns an account's limit in requests a second, zero for none.
type LimitFunc func(account string) float64

// Grantor leases out shares of the accounts that the view gives to this node.
// It is safe for concurrent use.
type Grantor struct {
	limits LimitFunc
	timers *timer.Service

	mu       sync.Mutex
	epoch    int64
	accounts map[string]*accountLeases
}

// accountLeases is what has been leased of one account's limit.
type accountLeases struct {
	// grantorSince is when this node became the account's grantor.
	grantorSince time.Time
	leases       map[string]*nodeLease
}

// nodeLease is one node's lease: what it was granted last, and what it last said
// to hold. It may hold either, if the grant's answer was lost.
type nodeLease struct {
	granted float64
	held    float64
	demand  float64
	expires time.Time
}

func (l *nodeLease) maxHeld() float64 { return max(l.granted, l.held) }

// takeoverGracePeriod is how long a new grantor only renews. Every node that it can
// reach has told it by then what it holds; a node that it cannot reach may
// hold an older lease for the rest of leaseLife, and the limit is exceeded by
// that lease at most.
const takeoverGracePeriod = 3 * time.Second

// NewGrantor returns a grantor without leases.
func NewGrantor(limits LimitFunc, timers *timer.Service) *Grantor {
	return &Grantor{limits: limits, timers: timers, accounts: make(map[string]*accountLeases)}
}

// SetEpoch tells the grantor that the view changed and which accounts are its
// own now. What it knew of the others is out of date and forgotten.
func (g *Grantor) SetEpoch(epoch int64, own func(account string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch = epoch
	for account := range g.accounts {
		if !own(account) {
			delete(g.accounts, account)
		}
	}
}

// Grant answers an ask. It refuses asks of another epoch, since two views may
// name two grantors.
func (g *Grantor) Grant(ask LeaseRequest) Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ask.Epoch != g.epoch {
		return Grant{Refused: true}
	}
	now := g.timers.Now()
	o := g.leasesOf(ask.Account, now)
	o.dropExpired(now)
	mine := o.leases[ask.Node]
	if mine == nil {
		mine = &nodeLease{}
		o.leases[ask.Node] = mine
	}
	mine.demand, mine.held = ask.Demand, ask.HeldShare
	pool := g.limits(ask.Account) * (1 - unleasedFraction)
	share := min(o.fairShare(ask.Node, pool), pool-o.heldByOthers(ask.Node))
	if now.Sub(o.grantorSince) < takeoverGracePeriod {
		// Leases of the grantor before may still be out: renew, no more.
		share = min(share, ask.HeldShare)
	}
	mine.granted = max(0, share)
	mine.expires = now.Add(max(leaseTTL, time.Duration(ask.HeldTTLMillis)*time.Millisecond))
	return Grant{Share: mine.granted, TTLMillis: leaseTTL.Milliseconds()}
}

func (g *Grantor) leasesOf(account string, now time.Time) *accountLeases {
	o := g.accounts[account]
	if o == nil {
		o = &accountLeases{grantorSince: now, leases: make(map[string]*nodeLease)}
		g.accounts[account] = o
	}
	return o
}

func (o *accountLeases) dropExpired(now time.Time) {
	for node, l := range o.leases {
		if now.After(l.expires) {
			delete(o.leases, node)
		}
	}
}

// heldByOthers returns what all other nodes may hold.
func (o *accountLeases) heldByOthers(node string) float64 {
	sum := 0.0
	for other, l := range o.leases {
		if other != node {
			sum += l.maxHeld()
		}
	}
	return sum
}

// demandHeadroom lets a share exceed the demand, so that a rise is not refused
// before the next renewal.
const demandHeadroom = 1.3

// fairShare fills the pool evenly up to each node's demand (max-min
// fairness); what is left over is split evenly.
func (o *accountLeases) fairShare(node string, pool float64) float64 {
	want := make(map[string]float64, len(o.leases))
	for name, l := range o.leases {
		want[name] = l.demand * demandHeadroom
	}
	left, open := pool, len(want)
	share := make(map[string]float64, len(want))
	for open > 0 {
		even := left / float64(open)
		filled := false
		for name, w := range want {
			if w <= even {
				share[name] = w
				left -= w
				open--
				delete(want, name)
				filled = true
			}
		}
		if !filled {
			for name := range want {
				share[name] = even
			}
			return share[node]
		}
	}
	return share[node] + left/float64(len(share))
}
