package member_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/member"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

const interval = 500 * time.Millisecond

var errUnreachable = errors.New("unreachable")

// fleet is a set of probers that reach each other unless a link is cut or an
// endpoint is frozen.
type fleet struct {
	mu      sync.Mutex
	probers map[string]*member.Prober
	cut     map[[2]string]bool
	frozen  map[string]bool
	probes  int
	changes map[member.Status]int
	view    *view.View
}

// endpoint is the transport of one member.
type endpoint struct {
	f    *fleet
	name string
}

func (e endpoint) deliver(to string) bool {
	e.f.mu.Lock()
	defer e.f.mu.Unlock()
	e.f.probes++
	return !e.f.cut[[2]string{e.name, to}] && !e.f.frozen[to] && !e.f.frozen[e.name]
}

func (e endpoint) Probe(ctx context.Context, address string, h member.Heartbeat) (member.Heartbeat, error) {
	if !e.deliver(address) {
		<-ctx.Done()
		return member.Heartbeat{}, errUnreachable
	}
	return e.f.probers[address].Receive(h), nil
}

func (e endpoint) ProbeVia(ctx context.Context, via, target string) error {
	if !e.deliver(via) || !(endpoint{e.f, via}).deliver(target) {
		<-ctx.Done()
		return errUnreachable
	}
	return nil
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{probers: make(map[string]*member.Prober), cut: make(map[[2]string]bool), frozen: make(map[string]bool), changes: make(map[member.Status]int)}
	var members []view.Member
	for i := range n {
		name := fmt.Sprint(i)
		members = append(members, view.Member{ID: name, VM: name, Region: "home", DataHall: fmt.Sprint(i % 3), Peer: name})
	}
	f.view = view.Empty().Change(members, nil)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for _, m := range members {
		timers := timer.New()
		t.Cleanup(timers.Close)
		p := member.New(m, endpoint{f, m.ID}, timers, member.WithInterval(interval), member.WithCounter(func(s member.Status) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.changes[s]++
		}))
		p.SetView(f.view)
		f.probers[m.ID] = p
	}
	for _, p := range f.probers {
		go p.Run(ctx)
	}
	return f
}

func (f *fleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// observers counts the members that see a member in the given status, without
// that member itself and frozen ones.
func (f *fleet) observers(id string, status member.Status) int {
	n := 0
	for observer, p := range f.probers {
		if got, _ := p.Status(id); observer != id && got == status && !f.isFrozen(observer) {
			n++
		}
	}
	return n
}

func (f *fleet) isFrozen(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.frozen[id]
}

// TestStatusAfterFault lists faults of member 0 and the status that the others see
// 20 seconds later.
func TestStatusAfterFault(t *testing.T) {
	const n = 7
	tests := []struct {
		name  string
		fault func(f *fleet)
		want  member.Status
	}{
		{"no fault", func(*fleet) {}, member.StatusAlive},
		{"dead", func(f *fleet) { f.update(func() { f.frozen["0"] = true }) }, member.StatusFaulty},
		{"frozen and resumed", func(f *fleet) {
			f.update(func() { f.frozen["0"] = true })
			time.Sleep(30 * time.Second)
			f.update(func() { f.frozen["0"] = false })
		}, member.StatusAlive},
		{"one link cut", func(f *fleet) { f.update(func() { f.cut[[2]string{"1", "0"}] = true }) }, member.StatusAlive},
		{"leaving", func(f *fleet) { f.probers["0"].Leave() }, member.StatusLeaving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, n)
				time.Sleep(5 * time.Second)
				tt.fault(f)
				time.Sleep(20 * time.Second)
				must.Eq(t, n-1, f.observers("0", tt.want))
				must.Zero(t, f.observers("3", member.StatusFaulty), must.Sprint("member 3 has no fault"))
			})
		})
	}
}

// TestDetectionTime measures how soon all members detect a failed one, and checks
// that the number of probes per node does not grow with the fleet.
func TestDetectionTime(t *testing.T) {
	for _, n := range []int{6, 24, 96} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			time.Sleep(10 * time.Second)
			f.update(func() { f.probes = 0 })
			time.Sleep(10 * time.Second)
			perNode := 0.0
			f.update(func() { perNode = float64(f.probes) / float64(n) / 10 })
			f.update(func() { f.frozen["0"] = true })
			start := time.Now()
			for f.observers("0", member.StatusFaulty) < n-1 {
				time.Sleep(interval / 10)
			}
			t.Logf("%d nodes: %.2f probes/s each, a failure detected by all after %.1f s", n, perNode, time.Since(start).Seconds())
			must.Between(t, 1.8, perNode, 2.3)
			must.Less(t, 15*time.Second, time.Since(start))
			must.Zero(t, f.observers("1", member.StatusFaulty))
		})
	}
}
