package peer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"github.com/violettally/violettally/adapter/peer"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/share"
	"github.com/violettally/violettally/timer"
)

const (
	// followers is the number of followers of one node, as in the largest data hall
	// with links of 10 Mbit/s.
	followers = 30
	// linkBytesPerSecond is the capacity of such a link.
	linkBytesPerSecond = 1_250_000
	// maxPropagation is the longest allowed time until a change has reached all nodes.
	maxPropagation = 3 * time.Second
)

// TestLargeDeclaration checks that a declaration with 1,600 routes reaches all nodes
// of a data hall in time over the link of the one node that they follow.
func TestLargeDeclaration(t *testing.T) { checkPropagation(t, 20, 1600) }

// TestLargestDeclaration checks the same for a declaration that grows to the largest
// value that the store takes (1 MB).
//
// Uncompressed, the reply for 2,800 routes has 525 kB. Sending it to 30 followers took
// longer than a timeout of 0.8 s, so all of them cancelled and retried, the link
// stayed full, and one node lacked the newest declaration 4.9 s after it was
// acknowledged. Compressed, a reply takes a tenth of that, but still grows with the
// whole value: for 6,200 routes and all followers it exceeds a timeout of 2.5 s, also
// when they retry.
func TestLargestDeclaration(t *testing.T) { checkPropagation(t, 4800, 6200) }

// checkPropagation changes a declaration from before to after routes, and checks that
// all nodes of a data hall have the change within maxPropagation.
func checkPropagation(t *testing.T, before, after int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer drainLink()
		defer cancel()
		timers := timer.New()
		defer timers.Close()
		store := &singleKeyStore{}
		store.put(declaration(before))
		upstream := mirror.New(store, noPeers{}, timers)
		go upstream.Run(ctx)
		l := newLink(linkBytesPerSecond)
		defer l.Close()
		go func() { _ = peer.NewGatewayServer(mirrorGateway{m: upstream}).Serve(ctx, l, nil) }()
		var nodes []*mirror.Mirror
		for range followers {
			var m *mirror.Mirror
			client := peer.NewClient(nil, peer.WithDialer(l.dial), peer.WithKnownValues(func(key string) (mirror.Item, bool) { return m.Get(key) }))
			defer client.Close()
			m = mirror.New(&readOnceStore{singleKeyStore: store}, singlePeer{client}, timers)
			nodes = append(nodes, m)
			go m.Run(ctx)
		}
		time.Sleep(2 * time.Second)

		changed := declaration(after)
		store.put(changed)
		time.Sleep(maxPropagation)
		for i, m := range nodes {
			item, _ := m.Get(declarationKey)
			test.Eq(t, len(changed), len(item.Value), test.Sprintf("node %d of %d", i, followers))
		}
	})
}

// drainLink waits, in the bubble's fake time, until the link has sent all that was
// written and all goroutines have ended: none may be blocked when the bubble ends.
func drainLink() {
	time.Sleep(time.Minute)
	synctest.Wait()
}

const declarationKey = "declaration"

// declaration returns a declaration with a number of routes.
func declaration(routes int) []byte {
	type route struct {
		Name     string  `json:"name"`
		Host     string  `json:"host"`
		Prefix   string  `json:"path_prefix"`
		Kind     string  `json:"kind"`
		Timeout  float64 `json:"timeout_ms"`
		Attempts int     `json:"attempts"`
		Service  string  `json:"service"`
	}
	all := make([]route, routes)
	for i := range all {
		// Names are pseudo-random, so that they do not compress.
		name := fmt.Sprintf("%x", uint64(i+1)*0x9e3779b97f4a7c15)
		all[i] = route{"r-" + name, name + ".example", "/" + name + "/", "idempotent", 20000, 3, "pool"}
	}
	data, err := json.Marshal(all)
	if err != nil {
		panic(err)
	}
	return data
}

// singleKeyStore is a store with one key.
type singleKeyStore struct {
	mu       sync.Mutex
	item     mirror.Item
	revision int64
}

func (s *singleKeyStore) put(value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.item = mirror.Item{Key: declarationKey, Value: value, Revision: s.revision}
}

func (s *singleKeyStore) ReadAll(context.Context) (mirror.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return mirror.Batch{Items: []mirror.Item{s.item}, Revision: s.revision, Snapshot: true}, nil
}

func (s *singleKeyStore) ReadStart(ctx context.Context) (mirror.Batch, bool, error) {
	b, err := s.ReadAll(ctx)
	return b, false, err
}

func (s *singleKeyStore) ReadRest(_ context.Context, start mirror.Batch) (mirror.Batch, error) {
	return start, nil
}

func (s *singleKeyStore) Follow(ctx context.Context, after int64, wait time.Duration) (mirror.Batch, error) {
	b, err := s.ReadAll(ctx)
	if b.Revision <= after {
		select {
		case <-time.After(min(wait, 100*time.Millisecond)):
		case <-ctx.Done():
			return mirror.Batch{}, ctx.Err()
		}
		b.Items = nil
	}
	b.Snapshot = false
	return b, err
}

// readOnceStore is a store that only the first ReadAll reaches, so that the node gets
// all later changes from its upstream.
type readOnceStore struct {
	*singleKeyStore
	read atomic.Bool
}

func (s *readOnceStore) ReadAll(ctx context.Context) (mirror.Batch, error) {
	if s.read.Swap(true) {
		return mirror.Batch{}, errStoreUnreachable
	}
	return s.singleKeyStore.ReadAll(ctx)
}

func (s *readOnceStore) ReadStart(ctx context.Context) (mirror.Batch, bool, error) {
	b, err := s.ReadAll(ctx)
	return b, false, err
}

func (*readOnceStore) Follow(context.Context, int64, time.Duration) (mirror.Batch, error) {
	return mirror.Batch{}, errStoreUnreachable
}

var errStoreUnreachable = errors.New("store unreachable")

// noPeers is the peer set of a node that follows the store.
type noPeers struct{}

func (noPeers) Addresses() []string              { return nil }
func (noPeers) Sources(context.Context) []string { return nil }

func (noPeers) Upstream() []string { return nil }
func (noPeers) Follow(context.Context, string, int64, time.Duration) (mirror.Batch, error) {
	return mirror.Batch{}, errors.New("no peer")
}

// singlePeer is the peer set of a node that has only one peer to follow.
type singlePeer struct{ client *peer.Client }

const upstreamAddress = "upstream"

func (singlePeer) Addresses() []string              { return []string{upstreamAddress} }
func (singlePeer) Sources(context.Context) []string { return nil }

func (singlePeer) Upstream() []string { return []string{upstreamAddress} }

func (p singlePeer) Follow(ctx context.Context, address string, after int64, wait time.Duration) (mirror.Batch, error) {
	return p.client.Follow(ctx, address, after, wait)
}

// mirrorGateway is a gateway that serves a mirror.
type mirrorGateway struct {
	noCarrier
	m *mirror.Mirror
}

func (g mirrorGateway) Respond(ctx context.Context, from string, after int64, wait time.Duration) (mirror.Batch, func(error)) {
	return g.m.Respond(ctx, from, after, wait)
}
func (g mirrorGateway) Previous(key string) (mirror.Item, bool) { return g.m.Previous(key) }
func (mirrorGateway) Counts() (string, rollout.Counts)          { return "node", rollout.Counts{} }
func (mirrorGateway) Exchange(share.Message) share.Reply        { return share.Reply{} }
func (mirrorGateway) Activity(int64) peer.Activity              { return peer.Activity{} }

// link simulates a node's network link: all its connections share one rate, and send
// in the order of writing.
type link struct {
	accepted chan net.Conn
	closed   chan struct{}
	close    sync.Once
	perByte  time.Duration

	mu sync.Mutex
	// idleAt is when all data written so far will have been sent.
	idleAt time.Time
	open   []net.Conn
}

func newLink(bytesPerSecond int) *link {
	return &link{accepted: make(chan net.Conn), closed: make(chan struct{}), perByte: time.Second / time.Duration(bytesPerSecond)}
}

func (l *link) dial(ctx context.Context, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	l.mu.Lock()
	l.open = append(l.open, near, far)
	l.mu.Unlock()
	select {
	case l.accepted <- throttledConn{far, l}:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *link) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *link) Close() error {
	l.close.Do(func() { close(l.closed) })
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.open {
		_ = c.Close()
	}
	return nil
}

func (l *link) Addr() net.Addr { return &net.TCPAddr{} }

// transmit blocks until n more bytes are sent.
func (l *link) transmit(n int) {
	l.mu.Lock()
	if now := time.Now(); l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(n) * l.perByte)
	wait := time.Until(l.idleAt)
	l.mu.Unlock()
	time.Sleep(wait)
}

// throttledConn is a connection whose writes go over a link.
type throttledConn struct {
	net.Conn
	link *link
}

// segmentBytes is the size in which writes are sent, so that connections share the
// link.
const segmentBytes = 1400

func (c throttledConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		piece := p[written:min(len(p), written+segmentBytes)]
		c.link.transmit(len(piece))
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
