package limit

import (
	"sync"
	"time"

	"github.com/violettally/violettally/timer"
)

// LimitFunc returns an account's limit in requests per second, or zero if it has
// none.
type LimitFunc func(account string) float64

// Grantor leases out shares of the limits of the accounts that the view assigns to
// this node. It is safe for concurrent use.
type Grantor struct {
	limits LimitFunc
	timers *timer.Service

	mu       sync.Mutex
	epoch    int64
	accounts map[string]*accountLeases
}

// accountLeases holds the leases of one account's limit, by node.
type accountLeases struct {
	// grantorSince is when this node became the account's grantor.
	grantorSince time.Time
	leases       map[string]*nodeLease
}

// nodeLease is one node's lease: the share that was granted last and the share
// that the node last reported to hold. If the response with the grant was lost,
// the node may hold either of them.
type nodeLease struct {
	granted float64
	held    float64
	demand  float64
	expires time.Time
}

func (l *nodeLease) maxHeld() float64 { return max(l.granted, l.held) }

// takeoverGracePeriod is how long a new grantor only renews leases. By its end,
// every node that the grantor can reach has reported its lease. A node that it
// cannot reach may hold an older lease for the rest of leaseTTL; the limit is
// exceeded by that lease at most.
const takeoverGracePeriod = 3 * time.Second

// NewGrantor returns a grantor without leases.
func NewGrantor(limits LimitFunc, timers *timer.Service) *Grantor {
	return &Grantor{limits: limits, timers: timers, accounts: make(map[string]*accountLeases)}
}

// SetEpoch sets the epoch of a new view and removes the leases of accounts that
// this node does not own any more.
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

// Grant responds to a lease request. It refuses requests of another epoch, since
// two views may assign an account to two grantors.
func (g *Grantor) Grant(request LeaseRequest) Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	if request.Epoch != g.epoch {
		return Grant{Refused: true}
	}
	now := g.timers.Now()
	o := g.leasesOf(request.Account, now)
	o.dropExpired(now)
	lease := o.leases[request.Node]
	if lease == nil {
		lease = &nodeLease{}
		o.leases[request.Node] = lease
	}
	lease.demand, lease.held = request.Demand, request.HeldShare
	pool := g.limits(request.Account) * (1 - unleasedFraction)
	share := min(o.fairShare(request.Node, pool), pool-o.heldByOthers(request.Node))
	if now.Sub(o.grantorSince) < takeoverGracePeriod {
		// Leases from the previous grantor may still be valid; only renew.
		share = min(share, request.HeldShare)
	}
	lease.granted = max(0, share)
	lease.expires = now.Add(max(leaseTTL, time.Duration(request.HeldTTLMillis)*time.Millisecond))
	return Grant{Share: lease.granted, TTLMillis: leaseTTL.Milliseconds()}
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

// heldByOthers returns the sum of the shares that all other nodes may hold.
func (o *accountLeases) heldByOthers(node string) float64 {
	sum := 0.0
	for other, l := range o.leases {
		if other != node {
			sum += l.maxHeld()
		}
	}
	return sum
}

// demandHeadroom is the ratio of a share to the demand, so that a rise in demand is
// not refused before the next renewal.
const demandHeadroom = 1.3

// fairShare returns a node's share of the pool by max-min fairness over the demands
// of all nodes. Capacity beyond all demands is divided evenly.
func (o *accountLeases) fairShare(node string, pool float64) float64 {
	wanted := make(map[string]float64, len(o.leases))
	for name, l := range o.leases {
		wanted[name] = l.demand * demandHeadroom
	}
	remaining, unsatisfied := pool, len(wanted)
	share := make(map[string]float64, len(wanted))
	for unsatisfied > 0 {
		equalShare := remaining / float64(unsatisfied)
		filled := false
		for name, w := range wanted {
			if w <= equalShare {
				share[name] = w
				remaining -= w
				unsatisfied--
				delete(wanted, name)
				filled = true
			}
		}
		if !filled {
			for name := range wanted {
				share[name] = equalShare
			}
			return share[node]
		}
	}
	return share[node] + remaining/float64(len(share))
}
