// Package peer is the adapter between the system's own processes: drpc over
// TCP, under mutual TLS where certificates are set, with messages in CBOR
// (RFC 8949), whose integer keys let fields be added later.
//
// A drpc connection carries one call at a time, so the client keeps a small
// pool of connections per peer. Connections may go silent for good while new
// ones work, so a call that gets no answer in time ends its connection, and the
// others that were kept with it are not used any more. Calls to this node itself
// do not leave it.
//
// # Usage
//
//	client := peer.NewClient(tlsConfig)
//	reply, err := client.Claim(ctx, member, request)
//	go peer.NewServer(node, replica, client).Serve(ctx, listener, tlsConfig)
package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/billing"
	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/progress"
	"github.com/violettally/violettally/ledger"
	"github.com/violettally/violettally/limit"
	"github.com/violettally/violettally/member"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/settings"
	"github.com/violettally/violettally/view"
)

var (
	namespace = errs.Namespace("peer")

	// Unreachable says that a peer did not answer.
	Unreachable = namespace.NewType("unreachable")
	// Unknown says that a peer does not know a call.
	Unknown = namespace.NewType("unknown")
	// Malformed says that a peer's answer cannot be read.
	Malformed = namespace.NewType("malformed")
	// NoBase says that a value came as the difference from one that is not known.
	NoBase = namespace.NewType("no_base")
	// Credentials says that the certificates cannot be used.
	Credentials = namespace.NewType("credentials")
)

const (
	dialTimeout = 300 * time.Millisecond
	idleTimeout = 60 * time.Second
	perPeer     = 8
)

// codec is the encoding of all messages.
type codec struct{}

func (codec) Marshal(message drpc.Message) ([]byte, error)   { return cbor.Marshal(message) }
func (codec) Unmarshal(data []byte, into drpc.Message) error { return cbor.Unmarshal(data, into) }

// TLS returns the configuration for mutual TLS that the settings name, or nil
// if they name none.
func TLS(door settings.PeerDoor) (*tls.Config, error) {
	if !door.Encrypted() {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(door.Certificate, door.Key)
	if err != nil {
		return nil, errs.Wrap(Credentials, "load", err, "certificate %s", door.Certificate)
	}
	authority, err := os.ReadFile(door.Authority)
	if err != nil {
		return nil, errs.Wrap(Credentials, "load", err, "authority %s", door.Authority)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errs.New(Credentials, "load", "authority %s has no certificate", door.Authority)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		RootCAs:      pool,
	}, nil
}

// Client calls other nodes. It is safe for concurrent use.
type Client struct {
	tls   *tls.Config
	open  func(ctx context.Context, address string) (net.Conn, error)
	pool  *drpcpool.Pool[place, drpcpool.Conn]
	calls func(call string, sent int)
	known func(key string) (mirror.Item, bool)
	self  string

	mu sync.Mutex
	// epochs counts by address how often the kept connections were left.
	epochs map[string]uint64

	// address is this node's own peer address.
	address string
	node    Node
	local   *claim.Replica
}

// Option changes a Client as NewClient makes it.
type Option func(*Client)

// WithCallCounter calls count with each call's name and the size of what was
// sent, in bytes before framing.
func WithCallCounter(count func(call string, sent int)) Option {
	return func(c *Client) { c.calls = count }
}

// WithKnown names what this node knows of the platform's store, so that peers tell
// it only what has changed in large values.
func WithKnown(known func(key string) (mirror.Item, bool)) Option {
	return func(c *Client) { c.known = known }
}

// WithDialer opens connections in place of TCP's.
func WithDialer(open func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.open = open }
}

// dialTCP opens a connection.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// NewClient returns a client; config is nil for plain TCP.
func NewClient(config *tls.Config, options ...Option) *Client {
	c := &Client{
		tls:    config,
		open:   dialTCP,
		pool:   drpcpool.New[place, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: perPeer}),
		calls:  func(string, int) {},
		epochs: make(map[string]uint64),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// SetLocal names this node, whose own calls stay inside. It must be called
// before the first call.
func (c *Client) SetLocal(self, address string, node Node, replica *claim.Replica) {
	c.self, c.address, c.node, c.local = self, address, node, replica
}

// TLS returns the configuration of this node's peer door; nil for plain TCP.
func (c *Client) TLS() *tls.Config { return c.tls }

// Close closes all connections.
func (c *Client) Close() error { return c.pool.Close() }

// place names the connections to a peer that are used in place of each other.
// Those of an earlier epoch stay unused until their time in the pool is over.
type place struct {
	address string
	epoch   uint64
}

func (c *Client) place(address string) place {
	c.mu.Lock()
	defer c.mu.Unlock()
	return place{address, c.epochs[address]}
}

// leave lets later calls go on new connections. Several calls on old ones leave
// them once.
func (c *Client) leave(p place) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epochs[p.address] == p.epoch {
		c.epochs[p.address]++
	}
}

// conn is a connection that ends with a call that got no answer in time. The
// library would cancel that call by a message and keep the connection.
type conn struct {
	*drpcconn.Conn
	metered *metered
}

// Invoke makes a call.
func (c conn) Invoke(ctx context.Context, call string, encoding drpc.Encoding, in, out drpc.Message) error {
	c.metered.call.Store(&ctx)
	err := c.Conn.Invoke(ctx, call, encoding, in, out)
	if err != nil && progress.TimedOut(ctx) {
		_ = c.Close()
	}
	return err
}

// metered tells the call that is under way of each piece that comes: a large
// answer on a busy link is not to be given up while it comes.
type metered struct {
	net.Conn
	call atomic.Pointer[context.Context]
}

func (m *metered) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	if call := m.call.Load(); call != nil && n > 0 {
		progress.Report(*call)
	}
	return n, err
}

func (c *Client) dial(ctx context.Context, p place) (drpcpool.Conn, error) {
	raw, err := c.open(ctx, p.address)
	if err != nil {
		return nil, err
	}
	if c.tls != nil {
		host, _, _ := net.SplitHostPort(p.address)
		config := c.tls.Clone()
		config.ServerName = host
		raw = tls.Client(raw, config)
	}
	wire := &metered{Conn: raw}
	return conn{metered: wire, Conn: drpcconn.NewWithOptions(wire, drpcconn.Options{
		Manager: drpcmanager.Options{
			Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessage},
			SoftCancel: true,
		},
	})}, nil
}

// sized counts what a message takes on the wire.
type sized struct {
	codec
	sent int
}

func (s *sized) Marshal(message drpc.Message) ([]byte, error) {
	data, err := s.codec.Marshal(message)
	s.sent += len(data)
	return data, err
}

func invoke[Request, Reply any](ctx context.Context, c *Client, address, call string, in Request) (Reply, error) {
	var out Reply
	encoding := &sized{}
	p := c.place(address)
	err := c.pool.Get(ctx, p, c.dial).Invoke(ctx, call, encoding, &in, &out)
	c.calls(call, encoding.sent)
	if err != nil {
		if progress.TimedOut(ctx) {
			c.leave(p)
		}
		return out, errs.Wrap(Unreachable, call, err, "peer %s", address)
	}
	return out, nil
}

// Probe sends a heartbeat.
func (c *Client) Probe(ctx context.Context, address string, h member.Heartbeat) (member.Heartbeat, error) {
	return invoke[member.Heartbeat, member.Heartbeat](ctx, c, address, callProbe, h)
}

// ProbeVia asks a peer to reach another.
func (c *Client) ProbeVia(ctx context.Context, via, target string) error {
	_, err := invoke[probeVia, empty](ctx, c, via, callProbeVia, probeVia{Target: target})
	return err
}

// reach connects anew to a peer, since an old connection may still stand
// where a new one would not come through, and makes an empty call.
func (c *Client) reach(ctx context.Context, address string) error {
	conn, err := c.dial(ctx, place{address: address})
	if err != nil {
		return errs.Wrap(Unreachable, "reach", err, "peer %s", address)
	}
	defer conn.Close()
	var out empty
	if err := conn.Invoke(ctx, callNotify, codec{}, &notifyRequest{}, &out); err != nil {
		return errs.Wrap(Unreachable, "reach", err, "peer %s", address)
	}
	return nil
}

// Fetch asks a peer for newer documents.
func (c *Client) Fetch(ctx context.Context, address string, known map[string]int64) (map[string]document.Item, error) {
	reply, err := invoke[fetchRequest, fetchReply](ctx, c, address, callFetch, fetchRequest{Known: known})
	return reply.Items, err
}

// Notify tells a peer which revisions this node has.
func (c *Client) Notify(ctx context.Context, address string, revisions map[string]int64) error {
	_, err := invoke[notifyRequest, empty](ctx, c, address, callNotify, notifyRequest{From: c.address, Revisions: revisions})
	return err
}

// Claim asks a replica for its vote.
func (c *Client) Claim(ctx context.Context, to view.Member, r claim.Request) (claim.Reply, error) {
	if to.ID == c.self {
		return c.local.Claim(r), nil
	}
	return invoke[claim.Request, claim.Reply](ctx, c, to.Peer, callClaim, r)
}

// Lookup reads a key at a replica.
func (c *Client) Lookup(ctx context.Context, to view.Member, r claim.Request) (claim.Reply, error) {
	if to.ID == c.self {
		return c.local.Lookup(r), nil
	}
	return invoke[claim.Request, claim.Reply](ctx, c, to.Peer, callLookup, r)
}

// Advance moves a claim on at a replica.
func (c *Client) Advance(ctx context.Context, to view.Member, e claim.Entry) error {
	if to.ID == c.self {
		c.local.Advance(e)
		return nil
	}
	_, err := invoke[claim.Entry, empty](ctx, c, to.Peer, callAdvance, e)
	return err
}

// Release gives a claim up at a replica.
func (c *Client) Release(ctx context.Context, to view.Member, key claim.Key, token string, upTo claim.State) error {
	if to.ID == c.self {
		c.local.Release(key, token, upTo)
		return nil
	}
	_, err := invoke[releaseRequest, empty](ctx, c, to.Peer, callRelease, releaseRequest{Key: key, Token: token, UpTo: upTo})
	return err
}

// Transfer reads a page of the claims that this node takes over.
func (c *Client) Transfer(ctx context.Context, to view.Member, r claim.TransferRequest) (claim.TransferReply, error) {
	return invoke[claim.TransferRequest, claim.TransferReply](ctx, c, to.Peer, callTransfer, r)
}

// AskLimit asks a grantor for a share.
func (c *Client) AskLimit(ctx context.Context, to view.Member, ask limit.Ask) (limit.Grant, error) {
	if to.ID == c.self {
		return c.node.Grant(ask), nil
	}
	return invoke[limit.Ask, limit.Grant](ctx, c, to.Peer, callLimit, ask)
}

// Counts asks a node for its counts of good and bad answers.
func (c *Client) Counts(ctx context.Context, to view.Member) (string, rollout.Counts, error) {
	if to.ID == c.self {
		name, counts := c.node.Counts()
		return name, counts, nil
	}
	reply, err := invoke[empty, countsReply](ctx, c, to.Peer, callCounts, empty{})
	return reply.Node, reply.Counts, err
}

// Recall asks a node what it remembers of a journal.
func (c *Client) Recall(ctx context.Context, to view.Member, journal string) (billing.Recollection, error) {
	if to.ID == c.self {
		return c.node.Recall(journal), nil
	}
	return invoke[recallRequest, billing.Recollection](ctx, c, to.Peer, callRecall, recallRequest{Journal: journal})
}

// Checkpoint gives a node the sums of a journal to keep.
func (c *Client) Checkpoint(ctx context.Context, to view.Member, a ledger.Account) error {
	if to.ID == c.self {
		c.node.KeepCheckpoint(a)
		return nil
	}
	_, err := invoke[ledger.Account, empty](ctx, c, to.Peer, callCheckpoint, a)
	return err
}

// Cancel stops an attempt at its holder.
func (c *Client) Cancel(ctx context.Context, h claim.Holder, attempt string) (bool, error) {
	if h.ID == c.self {
		return c.node.CancelAnswer(attempt), nil
	}
	reply, err := invoke[attemptRequest, cancelReply](ctx, c, h.Peer, callCancel, attemptRequest{Attempt: attempt, Holder: h.ID})
	return reply.Stopped, err
}

// Explain asks a node for a decision record.
func (c *Client) Explain(ctx context.Context, h claim.Holder, requestID string) (decision.Summary, error) {
	if h.ID == c.self {
		summary, _ := c.node.Explain(requestID)
		return summary, nil
	}
	return invoke[explainRequest, decision.Summary](ctx, c, h.Peer, callExplain, explainRequest{RequestID: requestID})
}

// attachTimeout bounds the first message of an answer that is followed.
const attachTimeout = time.Second

// Attach follows an attempt's answer at its holder.
func (c *Client) Attach(ctx context.Context, h claim.Holder, attempt string) (x *answer.Exchange, found, ran bool, err error) {
	if h.ID == c.self {
		x, ran := c.node.FindAnswer(attempt)
		return x, x != nil, ran, nil
	}
	// The stream outlives this call, which only waits for its first message.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	timer := time.AfterFunc(attachTimeout, cancel)
	p := c.place(h.Peer)
	stream, err := c.pool.Get(streamCtx, p, c.dial).NewStream(streamCtx, callAttach, codec{})
	if err != nil {
		cancel()
		return nil, false, false, errs.Wrap(Unreachable, callAttach, err, "peer %s", h.Peer)
	}
	first, err := firstPart(stream, attemptRequest{Attempt: attempt, Holder: h.ID})
	if !timer.Stop() {
		c.leave(p)
		if err == nil {
			err = context.DeadlineExceeded
		}
	}
	if err != nil || !first.Found {
		cancel()
		stream.Close()
	}
	switch {
	case err != nil:
		return nil, false, false, errs.Wrap(Unreachable, callAttach, err, "peer %s", h.Peer)
	case !first.Found:
		return nil, false, first.Ran, nil
	}
	// What the holder has already is taken in here, so that who only asks
	// whether the answer is there sees it at once.
	x = answer.NewExchange(attempt, func() {})
	copyPart(x, first)
	go func() {
		defer cancel()
		defer stream.Close()
		follow(stream, x, first.Done)
	}()
	return x, true, true, nil
}

func firstPart(stream drpc.Stream, r attemptRequest) (attachPart, error) {
	var part attachPart
	if err := stream.MsgSend(&r, codec{}); err != nil {
		return part, err
	}
	err := stream.MsgRecv(&part, codec{})
	return part, err
}

// follow copies an answer until it ends or its holder is lost.
func follow(stream drpc.Stream, x *answer.Exchange, done bool) {
	for !done {
		var part attachPart
		if err := stream.MsgRecv(&part, codec{}); err != nil {
			x.Fail(&answer.Failure{
				Reason:      "holder_unreachable",
				Message:     "the node that runs the request was lost; ask again with the same id",
				Status:      503,
				Ran:         "unknown",
				RetryMillis: time.Second.Milliseconds(),
			})
			return
		}
		copyPart(x, part)
		done = part.Done
	}
}

func copyPart(x *answer.Exchange, part attachPart) {
	if part.Headed {
		x.Begin(part.Head)
	}
	for _, p := range part.Parts {
		x.Append(p)
	}
	if part.Done {
		finish(x, part.Failure)
	}
}

func finish(x *answer.Exchange, failure *answer.Failure) {
	if failure != nil {
		x.Fail(failure)
		return
	}
	x.Finish()
}
