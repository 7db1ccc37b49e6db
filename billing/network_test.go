package billing_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/violettally/violettally/billing"
	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/ledger"
	"github.com/violettally/violettally/view"
)

var (
	errUnreachable  = errors.New("peer unreachable")
	errPlatformDown = errors.New("platform unavailable")
)

// callTimeout bounds calls whose callers set no deadline of their own.
const callTimeout = time.Second

// drawDelay draws the random delay of a message to a node, and whether the message
// is lost.
func (p *process) drawDelay(to string) (time.Duration, bool) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	link := p.links[to]
	if link == nil {
		link = rand.New(rand.NewPCG(p.f.seed+hash(p.member.ID), hash(to)))
		p.links[to] = link
	}
	return time.Duration(link.Int64N(int64(p.f.maxDelay)) + 1), link.Float64() < p.f.lossRate
}

func (p *process) unreachable() bool {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	return p.dead || p.partitioned
}

// call delivers a call to another process and the response back. Each of the two
// messages can be delayed or lost.
func (p *process) call(ctx context.Context, m view.Member, handle func(to *process)) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.f.mu.Lock()
	to := p.f.nodes[m.ID]
	p.f.mu.Unlock()
	if to == nil || p.unreachable() && to != p {
		return errUnreachable
	}
	if to == p {
		handle(p)
		return nil
	}
	for leg := range 2 {
		delay, lost := p.drawDelay(m.ID)
		if lost {
			<-ctx.Done()
			return ctx.Err()
		}
		if !sleep(ctx, delay) {
			return ctx.Err()
		}
		p.waitUntilResumed(ctx)
		to.waitUntilResumed(ctx)
		if ctx.Err() != nil || p.unreachable() || to.unreachable() {
			return errUnreachable
		}
		if leg == 0 {
			handle(to)
		}
	}
	return nil
}

// sleep waits for a duration. It returns false if the context ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *process) Claim(ctx context.Context, to view.Member, r claim.Request) (reply claim.Reply, err error) {
	err = p.call(ctx, to, func(o *process) { reply = o.replica.Claim(r) })
	return reply, err
}

func (p *process) Lookup(ctx context.Context, to view.Member, r claim.Request) (reply claim.Reply, err error) {
	err = p.call(ctx, to, func(o *process) { reply = o.replica.Lookup(r) })
	return reply, err
}

func (p *process) Advance(ctx context.Context, to view.Member, e claim.Entry) error {
	return p.call(ctx, to, func(o *process) { o.replica.Advance(e) })
}

func (p *process) Release(ctx context.Context, to view.Member, key claim.Key, token string, upTo claim.State) error {
	return p.call(ctx, to, func(o *process) { o.replica.Release(key, token, upTo) })
}

func (p *process) Transfer(ctx context.Context, to view.Member, r claim.TransferRequest) (reply claim.TransferReply, err error) {
	err = p.call(ctx, to, func(o *process) { reply = o.replica.Transfer(r) })
	return reply, err
}

func (p *process) FetchRecords(ctx context.Context, to view.Member, journal string) (records billing.JournalRecords, err error) {
	err = p.call(ctx, to, func(o *process) { records = o.tracker.LocalRecords(journal) })
	return records, err
}

func (p *process) Checkpoint(ctx context.Context, to view.Member, a ledger.Snapshot) error {
	return p.call(ctx, to, func(o *process) { o.tracker.StoreCheckpoint(a) })
}

// claims is a process's claimer. It keeps the list of undecided bills, and reports
// a claim as lost once the process has ended, so that the biller stops retrying.
type claims struct {
	*claim.Claimer
	p *process
}

func (c claims) Settle(ctx context.Context, e claim.Entry) (claim.Outcome, error) {
	o, err := c.Claimer.Settle(ctx, e)
	c.p.f.withLock(func() {
		if err != nil && e.Holder.ID == c.p.member.ID {
			c.p.undecided[e.Key.ID] = true
		} else {
			delete(c.p.undecided, e.Key.ID)
		}
	})
	return c.unlessDead(o, err)
}

func (c claims) unlessDead(o claim.Outcome, err error) (claim.Outcome, error) {
	c.p.f.mu.Lock()
	defer c.p.f.mu.Unlock()
	if c.p.dead || c.p.f.ctx.Err() != nil {
		return claim.Outcome{Other: &claim.Entry{}, OtherWon: true}, nil
	}
	return o, err
}

// counters records which process committed which bill.
type counters struct{ p *process }

func (counters) Retried(string) {}

func (c counters) Billed(b ledger.Bill) {
	event := fmt.Sprintf("%s by %s", time.Now().Format("05.000"), c.p.member.ID)
	c.p.f.withLock(func() { c.p.f.committedBy[b.RequestID] = append(c.p.f.committedBy[b.RequestID], event) })
}

// store is one process's access to the platform.
type store struct{ p *process }

func (s store) access(ctx context.Context) error {
	if !sleep(ctx, time.Millisecond) {
		return ctx.Err()
	}
	s.p.waitUntilResumed(ctx)
	s.p.f.mu.Lock()
	defer s.p.f.mu.Unlock()
	if s.p.dead || s.p.platformUnreachable || s.p.f.platformDown {
		return errPlatformDown
	}
	return nil
}

func (s store) Get(ctx context.Context, key string) ([]byte, int64, error) {
	if err := s.access(ctx); err != nil {
		return nil, 0, err
	}
	s.p.f.mu.Lock()
	defer s.p.f.mu.Unlock()
	return s.p.f.data[key], s.p.f.revision[key], nil
}

func (s store) Swap(ctx context.Context, key string, data []byte, expected int64) (int64, bool, error) {
	if err := s.access(ctx); err != nil {
		return 0, false, err
	}
	s.p.f.mu.Lock()
	defer s.p.f.mu.Unlock()
	if s.p.f.revision[key] != expected {
		return 0, false, nil
	}
	s.p.f.data[key] = data
	s.p.f.revision[key]++
	if s.p.f.losingResponses {
		return 0, false, errPlatformDown
	}
	return s.p.f.revision[key], true, nil
}

func (s store) Delete(context.Context, string, int64) (bool, error) { return false, nil }

func (s store) Journals(ctx context.Context) ([]ledger.Snapshot, error) {
	if err := s.access(ctx); err != nil {
		return nil, err
	}
	return s.p.f.journals()
}

func (f *fleet) journals() ([]ledger.Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []ledger.Snapshot
	for key, data := range f.data {
		a, err := ledger.Decode(data, strings.TrimPrefix(key, ledger.KeyPrefix))
		if err != nil {
			return nil, err
		}
		all = append(all, a)
	}
	return all, nil
}
