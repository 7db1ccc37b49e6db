// Package lease elects one node for work that needs a single actor, such as
// driving a rollout or ordering model loads.
//
// A lease is a key in the platform's store that is bound to an etcd lease. The
// revision at which the key was written is the fencing token: it increases
// with every holder and is sent along with every operation. A paused holder
// may not notice that its lease expired, so a holder relies on the lease only
// for its TTL counted from before the call that renewed it. The fencing token
// covers the remaining cases.
//
// # Usage
//
//	h := lease.New("driver", self, store, timers, 5*time.Second)
//	go h.Run(ctx)
//	if token, ok := h.Held(2 * time.Second); ok {
//		order(token) // the call takes at most two seconds
//	}
package lease

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/violettally/violettally/timer"
)

// Prefix is the key prefix of all leases in the platform's store.
const Prefix = "lease/"

// Store is the part of the platform's store that the package uses.
type Store interface {
	Get(ctx context.Context, key string) (data []byte, revision int64, err error)
	SwapLeased(ctx context.Context, key string, data []byte, expected, lease int64) (revision int64, won bool, err error)
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	KeepAlive(ctx context.Context, lease int64) (bool, error)
	Revoke(ctx context.Context, lease int64) error
}

// renewalsPerTTL is how often a lease is renewed within its TTL.
const renewalsPerTTL = 3

// Holder competes for one lease. It is safe for concurrent use.
type Holder struct {
	name     string
	self     string
	store    Store
	timers   *timer.Service
	ttl      time.Duration
	eligible func() bool

	mu         sync.Mutex
	leaseID    int64
	token      int64
	validUntil time.Time
	acquiredAt time.Time
}

// Option configures a Holder in New.
type Option func(*Holder)

// WithEligibility lets a node compete only while eligible reports true, so that
// not every node of a large fleet polls the platform.
func WithEligibility(eligible func() bool) Option {
	return func(h *Holder) { h.eligible = eligible }
}

// New returns a holder that does not hold the lease yet. The name identifies the
// lease, self the node.
func New(name, self string, store Store, timers *timer.Service, ttl time.Duration, options ...Option) *Holder {
	h := &Holder{
		name:     name,
		self:     self,
		store:    store,
		timers:   timers,
		ttl:      ttl,
		eligible: func() bool { return true },
	}
	for _, option := range options {
		option(h)
	}
	return h
}

// Held returns the fencing token, and whether the lease is certain to remain
// valid for another d.
func (h *Holder) Held(d time.Duration) (token int64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.token, h.token != 0 && h.timers.Steady().Add(d).Before(h.validUntil)
}

// HeldFor returns how long the lease has been held without interruption, or
// zero if it is not held. A new holder uses it to wait until the last operation
// of the previous holder is over.
func (h *Holder) HeldFor() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.token == 0 {
		return 0
	}
	return h.timers.Steady().Sub(h.acquiredAt)
}

// Run competes for the lease and renews it until the context ends, then
// revokes it.
func (h *Holder) Run(ctx context.Context) {
	ticks := h.timers.Subscribe(h.ttl / renewalsPerTTL)
	defer ticks.Stop()
	for {
		h.step(ctx)
		select {
		case <-ctx.Done():
			h.release()
			return
		case <-ticks.C():
		}
	}
}

func (h *Holder) step(ctx context.Context) {
	h.mu.Lock()
	id, token := h.leaseID, h.token
	h.mu.Unlock()
	switch {
	case token != 0:
		h.renew(ctx, id)
	case h.eligible():
		h.acquire(ctx)
	}
}

// renew counts the TTL from before the call, since the store may have renewed
// the lease at any moment during the call.
func (h *Holder) renew(ctx context.Context, id int64) {
	start := h.timers.Steady()
	alive, err := h.store.KeepAlive(ctx, id)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil && alive:
		h.validUntil = start.Add(h.ttl)
	case err == nil:
		slog.Warn("lease expired", "lease", h.name)
		h.token, h.leaseID = 0, 0
	case h.timers.Steady().After(h.validUntil):
		h.token, h.leaseID = 0, 0
	}
}

func (h *Holder) acquire(ctx context.Context) {
	_, revision, err := h.store.Get(ctx, Prefix+h.name)
	if err != nil || revision != 0 {
		return
	}
	start := h.timers.Steady()
	id, err := h.store.Grant(ctx, h.ttl)
	if err != nil {
		return
	}
	token, won, err := h.store.SwapLeased(ctx, Prefix+h.name, []byte(h.self), 0, id)
	if err != nil || !won {
		// The response may have been lost after the key was written. Revoking
		// the etcd lease deletes the key.
		h.revoke(id)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaseID, h.token, h.validUntil, h.acquiredAt = id, token, start.Add(h.ttl), h.timers.Steady()
	slog.Info("lease acquired", "lease", h.name, "token", token)
}

func (h *Holder) release() {
	h.mu.Lock()
	id := h.leaseID
	h.leaseID, h.token = 0, 0
	h.mu.Unlock()
	if id != 0 {
		h.revoke(id)
	}
}

// revokeTimeout bounds a call that is also made during the node's shutdown.
const revokeTimeout = time.Second

// revoke ends a lease. It uses its own context, since that of Run is canceled
// while the node shuts down.
func (h *Holder) revoke(id int64) {
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	_ = h.store.Revoke(ctx, id)
}
