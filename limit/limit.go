// Package limit enforces the request rate limit of each client account across all
// nodes.
//
// Requests are admitted locally, without a call to another node. Each node leases
// a share of the account's limit from the account's grantor, the node that the
// view assigns to the account, and renews the lease every second with its current
// demand. The grantor never leases out more than the limit: until a lease
// expires, it counts the larger of what it granted to the node and what the node
// reports to hold. A fifth of the limit is not leased but divided evenly among
// all nodes, so that a node without a lease can still serve requests.
//
// After a change of the grantor, the new one only renews the leases that nodes
// hold from the previous one, until every node that it can reach has reported its
// lease.
//
// # Usage
//
//	if wait, ok := limiter.Take(account); !ok {
//		return refuse("rate_limited", wait)
//	}
package limit

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/timer"
)

const (
	renewInterval = time.Second
	// leaseTTL is longer than the removal of a dead grantor from the view takes, so
	// that nodes keep their shares until there is a new one.
	leaseTTL = 15 * time.Second
	// unleasedFraction is the fraction of a limit that is divided evenly among all
	// nodes without leases.
	unleasedFraction = 0.2
	// demandSmoothing is the weight of the last second in the average demand.
	demandSmoothing = 0.5
	// idleDemand is the demand, in requests per second, up to which an account is
	// idle. The lease of an idle account is renewed only shortly before it
	// expires, and no longer than idleLeaseRetention after the last request, so
	// that the next burst still finds a lease.
	idleDemand         = 0.01
	idleLeaseRetention = 10 * time.Minute
	minBurst           = 1
)

// LeaseRequest is a node's request for a share of an account's limit. Demand and
// shares are in requests per second.
type LeaseRequest struct {
	Epoch   int64   `cbor:"1,keyasint"`
	Account string  `cbor:"2,keyasint"`
	Node    string  `cbor:"3,keyasint"`
	Demand  float64 `cbor:"4,keyasint"`
	// HeldShare is the share that the node holds now, for another HeldTTLMillis
	// milliseconds.
	HeldShare     float64 `cbor:"5,keyasint"`
	HeldTTLMillis int64   `cbor:"6,keyasint"`
}

// Grant is the response to a LeaseRequest. Share is in requests per second. After a
// refusal, the node keeps the lease that it holds.
type Grant struct {
	Refused   bool    `cbor:"1,keyasint"`
	Share     float64 `cbor:"2,keyasint"`
	TTLMillis int64   `cbor:"3,keyasint"`
}

// GrantorClient sends lease requests to the grantor of an account.
type GrantorClient interface {
	// RequestLease sends the request to the account's grantor in the current view.
	// It fills in the fields Epoch and Node.
	RequestLease(ctx context.Context, request LeaseRequest) (Grant, error)
	// Members returns the number of nodes in the current view.
	Members() int
}

// Limiter enforces this node's shares of the limits. It is safe for concurrent
// use.
type Limiter struct {
	grantor GrantorClient
	timers  *timer.Service

	mu       sync.Mutex
	accounts map[string]*accountShare
}

// accountShare is this node's share of one account's limit.
type accountShare struct {
	limit    float64
	burst    int
	bucket   *rate.Limiter
	granted  float64
	expires  time.Time
	arrivals int
	demand   float64
	usedAt   time.Time
}

// needsRenewal reports whether the lease must be renewed now.
func (s *accountShare) needsRenewal(now time.Time) bool {
	if s.demand > idleDemand {
		return true
	}
	return now.Sub(s.usedAt) < idleLeaseRetention && s.expires.Sub(now) < leaseTTL/2
}

// New returns a limiter without leases. Run must be called to obtain them.
func New(grantor GrantorClient, timers *timer.Service) *Limiter {
	return &Limiter{grantor: grantor, timers: timers, accounts: make(map[string]*accountShare)}
}

// Take takes a token for one request from the account's share. If there is none,
// it returns false and how long to wait before a retry. Accounts without a limit
// are always admitted.
func (l *Limiter) Take(account *config.Account) (wait time.Duration, ok bool) {
	limit := account.Limits.RequestsPerSecond
	if limit <= 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shareOf(account.Name, account.Limits)
	s.arrivals++
	s.usedAt = l.timers.Steady()
	l.updateBucket(s)
	reservation := s.bucket.Reserve()
	if wait := reservation.Delay(); wait > 0 {
		reservation.Cancel()
		return wait, false
	}
	return 0, true
}

func (l *Limiter) shareOf(account string, limits config.Limits) *accountShare {
	s := l.accounts[account]
	if s == nil {
		s = &accountShare{bucket: rate.NewLimiter(0, minBurst)}
		l.accounts[account] = s
	}
	s.limit, s.burst = limits.RequestsPerSecond, limits.Burst
	if s.burst == 0 {
		s.burst = int(s.limit)
	}
	return s
}

// updateBucket sets the rate and burst of the token bucket to the current share.
// The burst is divided in proportion to the rate, so that the buckets of all
// nodes together allow one burst.
func (l *Limiter) updateBucket(s *accountShare) {
	now := l.timers.Now()
	current := s.limit * unleasedFraction / float64(max(1, l.grantor.Members()))
	if l.timers.Steady().Before(s.expires) {
		current += s.granted
	}
	current = min(current, s.limit)
	if float64(s.bucket.Limit()) != current {
		s.bucket.SetLimitAt(now, rate.Limit(current))
	}
	burst := max(minBurst, int(float64(s.burst)*current/s.limit))
	if s.bucket.Burst() != burst {
		s.bucket.SetBurstAt(now, burst)
	}
}

// Run renews the leases every second until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	l.timers.Every(ctx, renewInterval, func() { l.renew(ctx) })
}

func (l *Limiter) renew(ctx context.Context) {
	var renewals sync.WaitGroup
	for _, request := range l.leaseRequests() {
		renewals.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, renewInterval)
			defer cancel()
			start := l.timers.Steady()
			grant, err := l.grantor.RequestLease(ctx, request)
			if err == nil && !grant.Refused {
				l.applyGrant(request.Account, grant, start)
			}
		})
	}
	renewals.Wait()
}

func (l *Limiter) leaseRequests() []LeaseRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Steady()
	var requests []LeaseRequest
	for name, s := range l.accounts {
		s.demand = s.demand*(1-demandSmoothing) + float64(s.arrivals)*demandSmoothing
		s.arrivals = 0
		l.updateBucket(s)
		request := LeaseRequest{Account: name, Demand: s.demand}
		if now.Before(s.expires) {
			request.HeldShare = s.granted
			request.HeldTTLMillis = s.expires.Sub(now).Milliseconds()
		}
		if s.needsRenewal(now) {
			requests = append(requests, request)
		}
	}
	return requests
}

// applyGrant stores a granted share. Its TTL counts from start, before the request
// was sent.
func (l *Limiter) applyGrant(account string, grant Grant, start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.accounts[account]
	s.granted = grant.Share
	s.expires = start.Add(time.Duration(grant.TTLMillis) * time.Millisecond)
}
