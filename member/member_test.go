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

// fleet is probers that reach each other unless a link is cut or an end is
// frozen.
type fleet struct {
	mu      sync.Mutex
	probers map[string]*member.Prober
	cut     map[[2]string]bool
	frozen  map[string]bool
	probes  int
	changes map[member.Status]int
	view    *view.View
}

// from is one member's way to the others.
type from struct {
	f    *fleet
	name string
}

func (l from) passes(to string) bool {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	l.f.probes++
	return !l.f.cut[[2]string{l.name, to}] && !l.f.frozen[to] && !l.f.frozen[l.name]
}

func (l from) Probe(ctx context.Context, address string, h member.Heartbeat) (member.Heartbeat, error) {
	if !l.passes(address) {
		<-ctx.Done()
		return member.Heartbeat{}, errUnreachable
	}
	return l.f.probers[address].Receive(h), nil
}

func (l from) ProbeVia(ctx context.Context, via, target string) error {
	if !l.passes(via) || !(from{l.f, via}).passes(target) {
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
		p := member.New(m, from{f, m.ID}, timers, member.WithInterval(interval), member.WithCounter(func(s member.Status) {
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

func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// believers counts the members that hold an opinion of one. What a frozen one
// believes does not count.
func (f *fleet) believers(of string, status member.Status) int {
	n := 0
	for id, p := range f.probers {
		if got, _ := p.Status(of); id != of && got == status && !f.isFrozen(id) {
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

// TestOpinions lists faults of member 0 and what the others believe after a
// while.
func TestOpinions(t *testing.T) {
	const n = 7
	tests := []struct {
		name   string
		happen func(f *fleet)
		want   member.Status
	}{
		{"nothing", func(*fleet) {}, member.StatusAlive},
		{"dead", func(f *fleet) { f.set(func() { f.frozen["0"] = true }) }, member.StatusFaulty},
		{"frozen and back", func(f *fleet) {
			f.set(func() { f.frozen["0"] = true })
			time.Sleep(30 * time.Second)
			f.set(func() { f.frozen["0"] = false })
		}, member.StatusAlive},
		{"one link cut", func(f *fleet) { f.set(func() { f.cut[[2]string{"1", "0"}] = true }) }, member.StatusAlive},
		{"leaving", func(f *fleet) { f.probers["0"].Leave() }, member.StatusLeaving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, n)
				time.Sleep(5 * time.Second)
				tt.happen(f)
				time.Sleep(20 * time.Second)
				must.Eq(t, n-1, f.believers("0", tt.want))
				must.Zero(t, f.believers("3", member.StatusFaulty), must.Sprint("a bystander"))
			})
		})
	}
}

// TestDetection measures how soon all know of a death, and that a node's cost
// does not grow with the fleet.
func TestDetection(t *testing.T) {
	for _, n := range []int{6, 24, 96} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			time.Sleep(10 * time.Second)
			f.set(func() { f.probes = 0 })
			time.Sleep(10 * time.Second)
			perNode := 0.0
			f.set(func() { perNode = float64(f.probes) / float64(n) / 10 })
			f.set(func() { f.frozen["0"] = true })
			start := time.Now()
			for f.believers("0", member.StatusFaulty) < n-1 {
				time.Sleep(interval / 10)
			}
			t.Logf("%d nodes: %.2f probes/s each, a death known to all after %.1f s", n, perNode, time.Since(start).Seconds())
			must.Between(t, 1.8, perNode, 2.3)
			must.Less(t, 15*time.Second, time.Since(start))
			must.Zero(t, f.believers("1", member.StatusFaulty))
		})
	}
}
