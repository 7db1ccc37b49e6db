package tunnel_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/tunnel"
	"github.com/violettally/violettally/view"
)

// reply is how a way to a server behaves: it opens a connection after a delay, or fails then.
type reply struct {
	after time.Duration
	err   error
}

// never is the delay of a way that does not answer before the caller gives up.
const never = time.Hour

func (r reply) open(ctx context.Context) (net.Conn, error) {
	select {
	case <-time.After(r.after):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if r.err != nil {
		return nil, r.err
	}
	conn, _ := net.Pipe()
	return conn, nil
}

// network is the ways to servers and the other nodes of a test.
type network struct {
	mu sync.Mutex
	// direct is how this node reaches servers, carriers how others do, by their peer address.
	direct   reply
	carriers map[string]reply
	nodes    []view.Member
	// dials and tunnels count the ways that were tried.
	dials   int
	tunnels []string
}

func (n *network) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	n.mu.Lock()
	n.dials++
	r := n.direct
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return r.open(ctx)
}

func (n *network) Others() []view.Member { return n.nodes }

func (n *network) OpenTunnel(ctx context.Context, carrier, _ string) (net.Conn, error) {
	n.mu.Lock()
	n.tunnels = append(n.tunnels, carrier)
	r := n.carriers[carrier]
	n.mu.Unlock()
	return r.open(ctx)
}

// set changes how this node reaches servers.
func (n *network) set(direct reply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.direct = direct
}

// counts returns how many direct connections and tunnels were tried so far.
func (n *network) counts() (dials, tunnels int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials, len(n.tunnels)
}

// node returns a node of a data hall with the given peer address.
func node(dataHall, address string) view.Member {
	return view.Member{VM: address, DataHall: dataHall, Peer: address}
}

// dialerOf returns a dialer of a node of hall-1.
func dialerOf(t *testing.T, n *network, options ...tunnel.Option) *tunnel.Dialer {
	timers := timer.New()
	t.Cleanup(func() {
		time.Sleep(2 * time.Second) // direct connections are still being opened
		timers.Close()
	})
	return tunnel.NewDialer(n.dial, timers, append(options, tunnel.WithPeers(node("hall-1", "self"), n))...)
}

// connect opens a connection and returns its carrier, and how long that took.
func connect(ctx context.Context, d *tunnel.Dialer, server string) (carrier string, took time.Duration, err error) {
	began := time.Now()
	conn, err := d.DialContext(ctx, "tcp", server)
	if err != nil {
		return "", time.Since(began), err
	}
	defer conn.Close()
	return conn.(*tunnel.Conn).Carrier(), time.Since(began), nil
}

var (
	refused     = reply{err: &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}}
	fast        = reply{after: time.Millisecond}
	silent      = reply{after: never}
	cutOff      = reply{after: time.Millisecond, err: errs.New(tunnel.CutOff, "carry", "test")}
	unreachable = reply{after: time.Millisecond, err: errs.New(tunnel.Unreachable, "carry", "test")}
)

// TestWays checks by which way a server is reached first, and how soon.
func TestWays(t *testing.T) {
	tests := []struct {
		name     string
		direct   reply
		carriers map[string]reply
		nodes    []view.Member
		carrier  string
		within   time.Duration
		reached  bool
	}{
		{"direct", fast, nil, nil, "", 10 * time.Millisecond, true},
		{"direct, after a lost packet and without peers", reply{after: 900 * time.Millisecond}, nil, nil, "", time.Second, true},
		{"refused", refused, map[string]reply{"a": fast}, []view.Member{node("hall-1", "a")}, "a", 10 * time.Millisecond, true},
		{"silent", silent, map[string]reply{"a": fast}, []view.Member{node("hall-1", "a")}, "a", 250 * time.Millisecond, true},
		{"own hall first", refused, map[string]reply{"a": fast, "b": fast}, []view.Member{node("hall-2", "b"), node("hall-1", "a")}, "a", 10 * time.Millisecond, true},
		{"own hall cut off as well", refused, map[string]reply{"a": cutOff, "b": fast},
			[]view.Member{node("hall-1", "a"), node("hall-2", "b")}, "b", 10 * time.Millisecond, true},
		{"carrier silent", refused, map[string]reply{"a": silent, "b": fast},
			[]view.Member{node("hall-1", "a"), node("hall-2", "b")}, "b", 250 * time.Millisecond, true},
		{"nobody reaches it", refused, map[string]reply{"a": unreachable, "b": unreachable},
			[]view.Member{node("hall-1", "a"), node("hall-2", "b")}, "", 20 * time.Millisecond, false},
		{"nobody answers", silent, map[string]reply{"a": silent, "b": silent},
			[]view.Member{node("hall-1", "a"), node("hall-2", "b")}, "", 1600 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &network{direct: tt.direct, carriers: tt.carriers, nodes: tt.nodes}
				carrier, took, err := connect(t.Context(), dialerOf(t, n), "server")
				must.Eq(t, tt.reached, err == nil, must.Sprint(err))
				must.Eq(t, tt.carrier, carrier)
				must.LessEq(t, tt.within, took)
				if err != nil {
					must.True(t, errorx.IsOfType(err, tunnel.NotReached))
				}
			})
		})
	}
}

// TestLostServerUsesTunnelsAtOnce checks that a server which is not reached is reached through
// another node without delay, that the direct way is tried once a second, and used when it works.
func TestLostServerUsesTunnelsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{direct: silent, carriers: map[string]reply{"a": fast}, nodes: []view.Member{node("hall-2", "a")}}
		d := dialerOf(t, n)
		_, _, err := connect(t.Context(), d, "server")
		must.NoError(t, err)
		must.Eq(t, 1, d.CountLost())
		for range 30 {
			carrier, took, err := connect(t.Context(), d, "server")
			must.NoError(t, err)
			must.Eq(t, "a", carrier)
			must.LessEq(t, 10*time.Millisecond, took)
			time.Sleep(100 * time.Millisecond)
		}
		dials, _ := n.counts()
		must.LessEq(t, 5, dials)
		n.set(fast)
		time.Sleep(1100 * time.Millisecond)
		_, _, err = connect(t.Context(), d, "server")
		must.NoError(t, err)
		time.Sleep(10 * time.Millisecond)
		must.Zero(t, d.CountLost())
		carrier, _, err := connect(t.Context(), d, "server")
		must.NoError(t, err)
		must.Eq(t, "", carrier)
	})
}

// TestCutOffNodeAsksForAllServers checks that a node which has lost two servers, and reached none
// since, does not wait at the others.
func TestCutOffNodeAsksForAllServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var changes []tunnel.Change
		n := &network{direct: silent, carriers: map[string]reply{"a": fast}, nodes: []view.Member{node("hall-1", "a")}}
		d := dialerOf(t, n, tunnel.WithPathObserver(func(e tunnel.Event) {
			mu.Lock()
			defer mu.Unlock()
			changes = append(changes, e.Change)
		}))
		for _, server := range []string{"one", "two"} {
			_, _, err := connect(t.Context(), d, server)
			must.NoError(t, err)
		}
		_, took, err := connect(t.Context(), d, "three")
		must.NoError(t, err)
		must.LessEq(t, 10*time.Millisecond, took)
		mu.Lock()
		defer mu.Unlock()
		must.Eq(t, []tunnel.Change{tunnel.ChangeLost, tunnel.ChangeLost, tunnel.ChangeCutOff}, changes)
	})
}

// TestCutOffNodeWithoutAnswers checks that a node which reaches no server does not take a failure for
// one of the server unless another node says so, and that one that did not answer is asked again at
// once if there is no other.
func TestCutOffNodeWithoutAnswers(t *testing.T) {
	tests := []struct {
		name              string
		carrier           reply
		noWay, askedAgain bool
	}{
		{"no answer", silent, true, true},
		{"broken", reply{err: errors.New("reset")}, true, true},
		{"cut off as well", cutOff, false, false},
		{"server not reached there", unreachable, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &network{direct: refused, carriers: map[string]reply{"a": tt.carrier}, nodes: []view.Member{node("hall-2", "a")}}
				d := dialerOf(t, n)
				for _, server := range []string{"one", "two"} {
					_, _, err := connect(t.Context(), d, server)
					must.Error(t, err)
				}
				_, _, err := connect(t.Context(), d, "one")
				must.True(t, errorx.IsOfType(err, tunnel.NotReached))
				must.Eq(t, tt.noWay, errs.IsOfType(fmt.Errorf("send: %w", err), tunnel.NoWay))
				n.mu.Lock()
				n.carriers["a"] = fast
				n.mu.Unlock()
				_, _, err = connect(t.Context(), d, "one")
				must.Eq(t, tt.askedAgain, err == nil, must.Sprint(err))
			})
		})
	}
}

// TestSilentIdleConnectionsAreClosed checks that idle connections which are silent are closed once
// the server is found to be reached by another way only, and not because a server is late.
func TestSilentIdleConnectionsAreClosed(t *testing.T) {
	for _, late := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var kept net.Conn
			var dropped atomic.Bool
			n := &network{direct: fast, carriers: map[string]reply{"a": fast}, nodes: []view.Member{node("hall-1", "a")}}
			d := dialerOf(t, n, tunnel.WithIdleCloser(func(drop func(net.Conn) bool) {
				if drop(kept) {
					dropped.Store(true)
				}
			}))
			go d.Run(t.Context())
			var err error
			kept, err = d.DialContext(t.Context(), "tcp", "server")
			must.NoError(t, err)
			waiting, err := d.DialContext(t.Context(), "tcp", "server")
			must.NoError(t, err)
			if !late {
				n.set(silent)
			}
			go func() { _, _ = waiting.Write([]byte("a request")) }()
			time.Sleep(1500 * time.Millisecond)
			must.Eq(t, !late, dropped.Load())
			_ = waiting.Close()
			_ = kept.Close()
		})
	}
}

// TestCanceledDial checks that a dial which is no longer needed ends at once and says nothing of
// the server.
func TestCanceledDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{direct: silent}
		d := dialerOf(t, n)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, took, err := connect(ctx, d, "server")
		must.Error(t, err)
		must.LessEq(t, 60*time.Millisecond, took)
		synctest.Wait()
		must.Zero(t, d.CountLost())
	})
}

// TestCarrier checks what a carrier opens and what it refuses.
func TestCarrier(t *testing.T) {
	tests := []struct {
		name    string
		direct  reply
		server  string
		leaving bool
		kind    *errorx.Type
	}{
		{"open", fast, "known", false, nil},
		{"leaving", fast, "known", true, tunnel.Busy},
		{"unknown server", fast, "other", false, tunnel.UnknownServer},
		{"not reached", refused, "known", false, tunnel.Unreachable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &network{direct: tt.direct}
				c := tunnel.NewCarrier(dialerOf(t, n), func(s string) bool { return s == "known" }, func() bool { return !tt.leaving })
				conn, err := c.Carry(t.Context(), tt.server, "n-2")
				_, tunnels := n.counts()
				must.Zero(t, tunnels, must.Sprint("tunnels are not chained"))
				if tt.kind != nil {
					must.True(t, errorx.IsOfType(err, tt.kind), must.Sprint(err))
					must.Zero(t, c.CountCarried())
					return
				}
				must.NoError(t, err)
				must.Eq(t, 1, c.CountCarried())
				must.NoError(t, conn.Close())
				must.NoError(t, conn.Close())
				must.Zero(t, c.CountCarried())
			})
		})
	}
}

// TestCarrierIsFull checks that a carrier bounds the number of its tunnels.
func TestCarrierIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{direct: fast}
		c := tunnel.NewCarrier(dialerOf(t, n), func(string) bool { return true }, func() bool { return true })
		var err error
		for open := 0; err == nil; open++ {
			must.Less(t, 2000, open)
			_, err = c.Carry(t.Context(), "server", "n-2")
		}
		must.True(t, errorx.IsOfType(err, tunnel.Busy))
	})
}

// TestRefusalError checks that each refusal of a carrier survives the wire.
func TestRefusalError(t *testing.T) {
	for _, kind := range []*errorx.Type{tunnel.CutOff, tunnel.Busy, tunnel.UnknownServer, tunnel.Unreachable} {
		err := tunnel.RefusalError(errs.Kind(errs.New(kind, "carry", "test")), "a")
		must.True(t, errorx.IsOfType(err, kind), must.Sprint(err))
	}
	must.True(t, errorx.IsOfType(tunnel.RefusalError("later", "a"), tunnel.Unreachable))
}
