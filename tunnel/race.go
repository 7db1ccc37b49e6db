package tunnel

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/joomcode/errorx"

	"github.com/violettally/violettally/view"
)

const (
	// nextWayDelay is how long one way to a server may take before the next is tried beside it. A
	// connection is established within some ms, and after a second if a packet was lost.
	nextWayDelay = 200 * time.Millisecond
	// maxTunnels is the number of carriers that are asked for one connection.
	maxTunnels = 3
	// maxUnreachable is the number of carriers that reach other servers and not this one, after
	// which no further one is asked: the server is down.
	maxUnreachable = 2
	// raceTimeout bounds opening a connection, by whatever ways.
	raceTimeout = 1500 * time.Millisecond
)

// errSlow means that a carrier reached a server before this node did.
var errSlow = errors.New("reached sooner through another node")

// race opens one connection to a server by the first way that works.
type race struct {
	dialer           *Dialer
	network, address string
	began            time.Time
	results          chan attempt
	pending          int

	// directLast means that the direct way is tried only after the others.
	directLast bool
	// directStarted means that the direct way is or was being tried, directFailed that it failed.
	directStarted, directFailed bool
	// asked holds the peer addresses of the carriers that were asked.
	asked       []string
	unreachable int
	// answered is the number of carriers that have answered.
	answered int
	errors   []error
}

// attempt is the result of one way.
type attempt struct {
	conn net.Conn
	// carrier is empty for the direct way.
	carrier view.Member
	err     error
}

func newRace(d *Dialer, network, address string) *race {
	return &race{dialer: d, network: network, address: address, began: time.Now(), results: make(chan attempt, 1+maxTunnels)}
}

// run returns the connection and the peer address of its carrier, "" for none.
func (r *race) run(ctx context.Context) (net.Conn, string, error) {
	ctx, cancel := context.WithTimeout(ctx, raceTimeout)
	defer cancel()
	// The direct connection is still opened after a tunnel, to learn whether the way works.
	directCtx, cancelDirect := context.WithCancel(context.WithoutCancel(ctx))
	state := r.dialer.paths.state(r.address)
	r.directLast = state.lost && !state.retry
	r.startNext(ctx, directCtx)
	if (state.lost || state.cutOff) && !r.directLast {
		r.startNext(ctx, directCtx) // the direct way is tried, and probably in vain
	}
	timer := time.NewTimer(nextWayDelay)
	defer timer.Stop()
	for r.pending > 0 {
		select {
		case a := <-r.results:
			r.pending--
			if a.err == nil {
				go r.finish(cancelDirect)
				return r.won(a)
			}
			r.recordFailure(a)
			r.startNext(ctx, directCtx)
		case <-timer.C:
			r.startNext(ctx, directCtx)
			timer.Reset(nextWayDelay)
		case <-ctx.Done():
			cancelDirect()
			go r.finish(cancelDirect)
			return nil, "", errors.Join(append(r.errors, ctx.Err())...)
		}
	}
	cancelDirect()
	return nil, "", errors.Join(r.errors...)
}

// startNext tries the next way, if there is one left.
func (r *race) startNext(ctx, directCtx context.Context) {
	if !r.directStarted && !r.directLast {
		r.startDirect(directCtx)
		return
	}
	if r.startTunnel(ctx) || r.directStarted {
		return
	}
	r.startDirect(directCtx)
}

// startDirect tries the direct way.
func (r *race) startDirect(ctx context.Context) {
	r.directStarted = true
	r.pending++
	go func() {
		conn, err := r.dialer.dialDirect(ctx, WayDirect, r.network, r.address)
		r.results <- attempt{conn: conn, err: err}
	}()
}

// startTunnel asks another carrier. It returns false if there is none.
func (r *race) startTunnel(ctx context.Context) bool {
	c := r.dialer.carriers
	if c == nil || len(r.asked) == maxTunnels || r.unreachable == maxUnreachable {
		return false
	}
	carrier, ok := c.choose(r.asked)
	if !ok {
		return false
	}
	r.asked = append(r.asked, carrier.Peer)
	r.pending++
	go func() {
		began := time.Now()
		conn, err := c.peers.OpenTunnel(ctx, carrier.Peer, r.address)
		outcome := outcomeOf(ctx, err)
		r.dialer.observe(WayTunnel, outcome)
		if outcome != OutcomeCanceled || time.Since(began) >= nextWayDelay {
			c.record(carrier, err)
		}
		r.results <- attempt{conn, carrier, err}
	}()
	return true
}

// recordFailure records a way that failed.
func (r *race) recordFailure(a attempt) {
	r.errors = append(r.errors, a.err)
	if a.carrier.Peer == "" {
		r.directFailed = true
	}
	if errorx.IsOfType(a.err, Unreachable) {
		r.unreachable++
	}
	if isRefusal(a.err) {
		r.answered++
	}
}

// unanswered reports whether a carrier that was asked has not answered, and none has said that the
// server is not reached.
func (r *race) unanswered() bool { return r.answered < len(r.asked) && r.unreachable == 0 }

// won returns the connection that was opened first. If it is a tunnel while the direct way has long
// been tried, the server counts as lost.
func (r *race) won(a attempt) (net.Conn, string, error) {
	if a.carrier.Peer != "" && r.directStarted && !r.directFailed && time.Since(r.began) >= nextWayDelay {
		r.dialer.recordSilent(r.address, r.began, errSlow)
	}
	return a.conn, a.carrier.Peer, nil
}

// finish closes the connections that are opened too late.
func (r *race) finish(cancelDirect context.CancelFunc) {
	defer cancelDirect()
	for ; r.pending > 0; r.pending-- {
		if late := <-r.results; late.err == nil {
			_ = late.conn.Close()
		}
	}
}
