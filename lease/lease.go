// Package lease picks one node for work that needs a single actor, such as
// driving a roll-out or ordering model loads.
//
// A lease is a key at the platform that is bound to an etcd lease. The
// revision at which the key was written is the fencing token: it grows with
// every holder, and every effect carries it. A holder may be paused and
// unaware that its lease lapsed, so it trusts the lease only for as long as
// it surely lasts, counted from before the call that renewed it; what that
// cannot rule out, the token does.
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

// Prefix starts the keys of all leases at the platform.
const Prefix = "lease/"

// Store is what the package needs of the key-value service.
type Store interface {
	Get(ctx context.Context, key string) (data []byte, revision int64, err error)
	SwapLeased(ctx context.Context, key string, data []byte, expected, lease int64) (revision int64, won bool, err error)
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	KeepAlive(ctx context.Context, lease int64) (bool, error)
	Revoke(ctx context.Context, lease int64) error
}

// renewals is how often a lease is renewed within its life.
const renewals = 3

// Holder competes for one lease. It is safe for concurrent use.
type Holder struct {
	name   string
	self   string
	store  Store
	timers *timer.Service
	ttl    time.Duration
	wanted func() bool

	mu    sync.Mutex
	id    int64
	token int64
	until time.Time
	since time.Time
}

// Option changes a Holder as New makes it.
type Option func(*Holder)

// WithEligibility lets a node compete only while wanted reports true, so that
// not every node of a large fleet asks the platform.
func WithEligibility(wanted func() bool) Option { return func(h *Holder) { h.wanted = wanted } }

// New returns a holder that does not hold the lease yet.
func New(name, self string, store Store, timers *timer.Service, ttl time.Duration, options ...Option) *Holder {
	h := &Holder{
		name:   name,
		self:   self,
		store:  store,
		timers: timers,
		ttl:    ttl,
		wanted: func() bool { return true },
	}
	for _, option := range options {
		option(h)
	}
	return h
}

// Held returns the fencing token if the lease surely lasts for another d.
func (h *Holder) Held(d time.Duration) (token int64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.token, h.token != 0 && h.timers.Steady().Add(d).Before(h.until)
}

// HeldFor returns how long the lease has been held without a gap. A new
// holder waits this way for the last order of the one before.
func (h *Holder) HeldFor() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.token == 0 {
		return 0
	}
	return h.timers.Steady().Sub(h.since)
}

// Run competes for the lease and renews it until the context ends, then
// gives it up.
func (h *Holder) Run(ctx context.Context) {
	ticks := h.timers.Subscribe(h.ttl / renewals)
	defer ticks.Stop()
	for {
		h.step(ctx)
		select {
		case <-ctx.Done():
			h.giveUp()
			return
		case <-ticks.C():
		}
	}
}

func (h *Holder) step(ctx context.Context) {
	h.mu.Lock()
	id, token := h.id, h.token
	h.mu.Unlock()
	switch {
	case token != 0:
		h.renew(ctx, id)
	case h.wanted():
		h.acquire(ctx)
	}
}

// renew counts the lease's life from before the call, since the service may
// have renewed it at any moment of the call.
func (h *Holder) renew(ctx context.Context, id int64) {
	start := h.timers.Steady()
	alive, err := h.store.KeepAlive(ctx, id)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil && alive:
		h.until = start.Add(h.ttl)
	case err == nil:
		slog.Warn("lease lapsed", "lease", h.name)
		h.token, h.id = 0, 0
	case h.timers.Steady().After(h.until):
		h.token, h.id = 0, 0
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
		// After a lost answer the key may be ours; it goes with its lease,
		// which nobody renews.
		h.revoke(id)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.id, h.token, h.until, h.since = id, token, start.Add(h.ttl), h.timers.Steady()
	slog.Info("lease acquired", "lease", h.name, "token", token)
}

func (h *Holder) giveUp() {
	h.mu.Lock()
	id := h.id
	h.id, h.token = 0, 0
	h.mu.Unlock()
	if id != 0 {
		h.revoke(id)
	}
}

// revokeTimeout bounds a call that may be a node's last one.
const revokeTimeout = time.Second

// revoke ends a lease, also where the node stops: the context of Run is over then.
func (h *Holder) revoke(id int64) {
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	_ = h.store.Revoke(ctx, id)
}
