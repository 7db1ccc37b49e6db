// Package limit holds each client account to its limit over all nodes.
//
// No request asks another node. Each node leases a share of the account's
// limit from the account's grantor, which is the node that the view names for
// it, and renews the lease every second with its demand. The grantor never
// has more outstanding than the limit: it counts what a node was granted or
// says that it holds, whichever is more, until that has expired. A small part
// of the limit is not leased but split evenly, so that a node without a lease
// can still answer.
//
// When the view names a new grantor, it renews only what nodes hold from the
// one before, until every node that it can reach has said what that is.
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
	// leaseTTL outlasts the removal of a dead grantor from the view, so that
	// nodes keep their shares until there is a new one.
	leaseTTL = 15 * time.Second
	// unleasedFraction is the part of a limit that is split evenly without leases.
	unleasedFraction = 0.2
	// demandSmoothing is the weight of the last second's demand in the average.
	demandSmoothing = 0.5
	// idleDemand, in requests a second, is no demand. An account without it
	// keeps a lease for idleLife, so that its next burst finds one, and renews
	// it only as it runs out.
	idleDemand         = 0.01
	idleLeaseRetention = 10 * time.Minute
	minBurst           = 1
)

// LeaseRequest is a node's request for a share, in requests a second.
type LeaseRequest struct {
	Epoch   int64   `cbor:"1,keyasint"`
	Account string  `cbor:"2,keyasint"`
	Node    string  `cbor:"3,keyasint"`
	Demand  float64 `cbor:"4,keyasint"`
	// HeldShare is the share that the node holds now, for HeldMillis longer.
	HeldShare     float64 `cbor:"5,keyasint"`
	HeldTTLMillis int64   `cbor:"6,keyasint"`
}

// Grant is the answer. A refused ask leaves the node what it holds.
type Grant struct {
	Refused   bool    `cbor:"1,keyasint"`
	Share     float64 `cbor:"2,keyasint"`
	TTLMillis int64   `cbor:"3,keyasint"`
}

// GrantorClient finds an account's grantor and asks it.
type GrantorClient interface {
	// RequestLease sends the ask to the grantor that the view in force names; it fills
	// in epoch and node.
	RequestLease(ctx context.Context, ask LeaseRequest) (Grant, error)
	// Members returns the number of nodes in the view.
	Members() int
}

// Limiter is one node's part of the limits. It is safe for concurrent use.
type Limiter struct {
	grantor GrantorClient
	timers  *timer.Service

	mu       sync.Mutex
	accounts map[string]*accountShare
}

// accountShare is what this node may use of one account's limit.
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

// needsRenewal reports whether the share is to be renewed now.
func (s *accountShare) needsRenewal(now time.Time) bool {
	if s.demand > idleDemand {
		return true
	}
	return now.Sub(s.usedAt) < idleLeaseRetention && s.expires.Sub(now) < leaseTTL/2
}

// New returns a limiter.
func New(grantors GrantorClient, timers *timer.Service) *Limiter {
	return &Limiter{grantor: grantors, timers: timers, accounts: make(map[string]*accountShare)}
}

// Take takes one request out of the account's share. If there is none left,
// it returns when to come back.
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

// updateBucket sets the bucket to the share that is in force now. The burst is
// split like the limit, so that all buckets together hold one burst.
func (l *Limiter) updateBucket(s *accountShare) {
	now := l.timers.Now()
	held := s.limit * unleasedFraction / float64(max(1, l.grantor.Members()))
	if l.timers.Steady().Before(s.expires) {
		held += s.granted
	}
	held = min(held, s.limit)
	if float64(s.bucket.Limit()) != held {
		s.bucket.SetLimitAt(now, rate.Limit(held))
	}
	own := max(minBurst, int(float64(s.burst)*held/s.limit))
	if s.bucket.Burst() != own {
		s.bucket.SetBurstAt(now, own)
	}
}

// Run renews the leases until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	l.timers.Every(ctx, renewInterval, func() { l.renew(ctx) })
}

func (l *Limiter) renew(ctx context.Context) {
	var renewals sync.WaitGroup
	for _, ask := range l.leaseRequests() {
		renewals.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, renewInterval)
			defer cancel()
			start := l.timers.Steady()
			grant, err := l.grantor.RequestLease(ctx, ask)
			if err == nil && !grant.Refused {
				l.applyGrant(ask.Account, grant, start)
			}
		})
	}
	renewals.Wait()
}

func (l *Limiter) leaseRequests() []LeaseRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Steady()
	var asks []LeaseRequest
	for name, s := range l.accounts {
		s.demand = s.demand*(1-demandSmoothing) + float64(s.arrivals)*demandSmoothing
		s.arrivals = 0
		l.updateBucket(s)
		ask := LeaseRequest{Account: name, Demand: s.demand}
		if now.Before(s.expires) {
			ask.HeldShare = s.granted
			ask.HeldTTLMillis = s.expires.Sub(now).Milliseconds()
		}
		if s.needsRenewal(now) {
			asks = append(asks, ask)
		}
	}
	return asks
}

// applyGrant puts a grant in force. Its life counts from before the ask was sent.
func (l *Limiter) applyGrant(account string, grant Grant, start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.accounts[account]
	s.granted = grant.Share
	s.expires = start.Add(time.Duration(grant.TTLMillis) * time.Millisecond)
}
