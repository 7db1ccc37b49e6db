// Package peer implements the calls between the system's nodes: drpc over TCP,
// with mutual TLS if certificates are set. Messages are in CBOR (RFC 8949) with
// integer keys, so that fields can be added later.
//
// A drpc connection carries one call at a time, so the client keeps a small pool
// of connections per peer. Existing connections may stop working for good while
// new ones work. So a call that times out closes its connection, and the other
// pooled connections to that peer are not used any more. Calls to the node itself
// don't go over the network.
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
	"errors"
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

	// Unreachable is the error type for a call that failed or got no reply.
	Unreachable = namespace.NewType("unreachable")
	// Unknown is the error type for a call that the server does not have, or that
	// is meant for another node.
	Unknown = namespace.NewType("unknown")
	// Malformed is the error type for a value in a reply that can't be decoded.
	Malformed = namespace.NewType("malformed")
	// UnknownBase is the error type for a delta whose base is not known.
	UnknownBase = namespace.NewType("no_base")
	// InvalidCredentials is the error type for unusable certificates.
	InvalidCredentials = namespace.NewType("credentials")
)

const (
	dialTimeout    = 300 * time.Millisecond
	idleTimeout    = 60 * time.Second
	maxIdlePerPeer = 8
)

// codec encodes messages in CBOR.
type codec struct{}

func (codec) Marshal(message drpc.Message) ([]byte, error)   { return cbor.Marshal(message) }
func (codec) Unmarshal(data []byte, into drpc.Message) error { return cbor.Unmarshal(data, into) }

// TLSConfig returns the configuration for mutual TLS with the certificates of the
// settings, or nil if there are none.
func TLSConfig(peer settings.PeerListener) (*tls.Config, error) {
	if !peer.Encrypted() {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(peer.Certificate, peer.Key)
	if err != nil {
		return nil, errs.Wrap(InvalidCredentials, "load", err, "certificate %s", peer.Certificate)
	}
	authority, err := os.ReadFile(peer.Authority)
	if err != nil {
		return nil, errs.Wrap(InvalidCredentials, "load", err, "authority %s", peer.Authority)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errs.New(InvalidCredentials, "load", "authority file %s contains no certificate", peer.Authority)
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
	tls        *tls.Config
	dialConn   func(ctx context.Context, address string) (net.Conn, error)
	pool       *drpcpool.Pool[connKey, drpcpool.Conn]
	countCall  func(call string, sent int)
	knownValue func(key string) (mirror.Item, bool)
	self       string

	mu sync.Mutex
	// generations counts by address how often the pooled connections were retired.
	generations map[string]uint64

	// address is this node's own peer address.
	address string
	node    Node
	replica *claim.Replica
}

// Option configures a Client in NewClient.
type Option func(*Client)

// WithCallCounter calls count for each call, with its name and the size of the
// request in bytes before framing.
func WithCallCounter(count func(call string, sent int)) Option {
	return func(c *Client) { c.countCall = count }
}

// WithKnownValues sets the function that returns this node's copy of a key in the
// platform's store, so that peers send only deltas of large values.
func WithKnownValues(known func(key string) (mirror.Item, bool)) Option {
	return func(c *Client) { c.knownValue = known }
}

// WithAddress sets this node's own address, which peers that pass on their copies are told.
func WithAddress(address string) Option { return func(c *Client) { c.address = address } }

// WithDialer sets the function that opens connections, in place of TCP.
func WithDialer(open func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.dialConn = open }
}

// dialTCP opens a TCP connection.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// NewClient returns a client. A nil config means plain TCP.
func NewClient(config *tls.Config, options ...Option) *Client {
	c := &Client{
		tls:         config,
		dialConn:    dialTCP,
		pool:        drpcpool.New[connKey, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdlePerPeer}),
		countCall:   func(string, int) {},
		generations: make(map[string]uint64),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// SetLocal sets this node's id, address, handlers and replica, to which calls to
// itself go directly. It must be called before the first call.
func (c *Client) SetLocal(self, address string, node Node, replica *claim.Replica) {
	c.self, c.address, c.node, c.replica = self, address, node, replica
}

// TLSConfig returns the client's TLS configuration, or nil for plain TCP.
func (c *Client) TLSConfig() *tls.Config { return c.tls }

// Close closes all connections.
func (c *Client) Close() error { return c.pool.Close() }

// connKey identifies the pooled connections to a peer that are interchangeable.
// Those of an earlier generation are not used again, and expire in the pool.
type connKey struct {
	address    string
	generation uint64
}

func (c *Client) connKey(address string) connKey {
	c.mu.Lock()
	defer c.mu.Unlock()
	return connKey{address, c.generations[address]}
}

// retireConns makes later calls use new connections. If several calls of one
// generation fail, only the first has an effect.
func (c *Client) retireConns(key connKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generations[key.address] == key.generation {
		c.generations[key.address]++
	}
}

// conn is a connection that is closed when a call on it times out. drpc itself
// would send a cancellation and keep the connection.
type conn struct {
	*drpcconn.Conn
	wire *progressConn
}

// Invoke implements drpc.Conn.
func (c conn) Invoke(ctx context.Context, call string, encoding drpc.Encoding, in, out drpc.Message) error {
	c.wire.callContext.Store(&ctx)
	err := c.Conn.Invoke(ctx, call, encoding, in, out)
	if err != nil && progress.TimedOut(ctx) {
		_ = c.Close()
	}
	return err
}

// progressConn reports received data as progress of the current call, so that a
// large reply over a busy link does not time out while it is arriving.
type progressConn struct {
	net.Conn
	callContext atomic.Pointer[context.Context]
}

func (c *progressConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if call := c.callContext.Load(); call != nil && n > 0 {
		progress.Report(*call)
	}
	return n, err
}

func (c *Client) dial(ctx context.Context, key connKey) (drpcpool.Conn, error) {
	raw, err := c.dialConn(ctx, key.address)
	if err != nil {
		return nil, err
	}
	if c.tls != nil {
		host, _, _ := net.SplitHostPort(key.address)
		config := c.tls.Clone()
		config.ServerName = host
		raw = tls.Client(raw, config)
	}
	wire := &progressConn{Conn: raw}
	return conn{wire: wire, Conn: drpcconn.NewWithOptions(wire, drpcconn.Options{
		Manager: drpcmanager.Options{
			Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
			SoftCancel: true,
		},
	})}, nil
}

// countingCodec counts the bytes of encoded messages.
type countingCodec struct {
	codec
	sentBytes int
}

func (c *countingCodec) Marshal(message drpc.Message) ([]byte, error) {
	data, err := c.codec.Marshal(message)
	c.sentBytes += len(data)
	return data, err
}

func invoke[Request, Reply any](ctx context.Context, c *Client, address, call string, in Request) (Reply, error) {
	var out Reply
	encoding := &countingCodec{}
	key := c.connKey(address)
	err := c.pool.Get(ctx, key, c.dial).Invoke(ctx, call, encoding, &in, &out)
	c.countCall(call, encoding.sentBytes)
	if err != nil {
		if progress.TimedOut(ctx) {
			c.retireConns(key)
		}
		return out, errs.Wrap(Unreachable, call, err, "peer %s", address)
	}
	return out, nil
}

// Probe sends a heartbeat and returns that of the peer.
func (c *Client) Probe(ctx context.Context, address string, h member.Heartbeat) (member.Heartbeat, error) {
	return invoke[member.Heartbeat, member.Heartbeat](ctx, c, address, callProbe, h)
}

// ProbeVia asks the peer at via to check that the one at target is reachable.
func (c *Client) ProbeVia(ctx context.Context, via, target string) error {
	_, err := invoke[probeViaRequest, empty](ctx, c, via, callProbeVia, probeViaRequest{Target: target})
	return err
}

// checkReachable makes an empty call on a new connection, since a pooled one may
// still work when new ones can't be opened.
func (c *Client) checkReachable(ctx context.Context, address string) error {
	conn, err := c.dial(ctx, connKey{address: address})
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

// Fetch asks a peer for the documents that are newer than the known revisions.
func (c *Client) Fetch(ctx context.Context, address string, known map[string]int64) (map[string]document.Item, error) {
	reply, err := invoke[fetchRequest, fetchReply](ctx, c, address, callFetch, fetchRequest{Known: known})
	return reply.Items, err
}

// Notify sends a peer the revisions of this node's documents.
func (c *Client) Notify(ctx context.Context, address string, revisions map[string]int64) error {
	_, err := invoke[notifyRequest, empty](ctx, c, address, callNotify, notifyRequest{From: c.address, Revisions: revisions})
	return err
}

// Claim requests a replica's vote for a claim.
func (c *Client) Claim(ctx context.Context, to view.Member, r claim.Request) (claim.Reply, error) {
	if to.ID == c.self {
		return c.replica.Claim(r), nil
	}
	return invoke[claim.Request, claim.Reply](ctx, c, to.Peer, callClaim, r)
}

// Lookup reads a key at a replica.
func (c *Client) Lookup(ctx context.Context, to view.Member, r claim.Request) (claim.Reply, error) {
	if to.ID == c.self {
		return c.replica.Lookup(r), nil
	}
	return invoke[claim.Request, claim.Reply](ctx, c, to.Peer, callLookup, r)
}

// Advance updates the state of a claim at a replica.
func (c *Client) Advance(ctx context.Context, to view.Member, e claim.Entry) error {
	if to.ID == c.self {
		c.replica.Advance(e)
		return nil
	}
	_, err := invoke[claim.Entry, empty](ctx, c, to.Peer, callAdvance, e)
	return err
}

// Release releases a claim at a replica, if its state is at most upTo.
func (c *Client) Release(ctx context.Context, to view.Member, key claim.Key, token string, upTo claim.State) error {
	if to.ID == c.self {
		c.replica.Release(key, token, upTo)
		return nil
	}
	_, err := invoke[releaseRequest, empty](ctx, c, to.Peer, callRelease, releaseRequest{Key: key, Token: token, UpTo: upTo})
	return err
}

// Transfer fetches a page of the claims that this node takes over from another.
func (c *Client) Transfer(ctx context.Context, to view.Member, r claim.TransferRequest) (claim.TransferReply, error) {
	return invoke[claim.TransferRequest, claim.TransferReply](ctx, c, to.Peer, callTransfer, r)
}

// RequestLimitLease requests a share of an account's limit from a grantor.
func (c *Client) RequestLimitLease(ctx context.Context, to view.Member, r limit.LeaseRequest) (limit.Grant, error) {
	if to.ID == c.self {
		return c.node.Grant(r), nil
	}
	return invoke[limit.LeaseRequest, limit.Grant](ctx, c, to.Peer, callLimit, r)
}

// Counts fetches a node's name and its counts of good and bad responses.
func (c *Client) Counts(ctx context.Context, to view.Member) (string, rollout.Counts, error) {
	if to.ID == c.self {
		name, counts := c.node.Counts()
		return name, counts, nil
	}
	reply, err := invoke[empty, countsReply](ctx, c, to.Peer, callCounts, empty{})
	return reply.Node, reply.Counts, err
}

// FetchRecords fetches a node's records of a journal.
func (c *Client) FetchRecords(ctx context.Context, to view.Member, journal string) (billing.JournalRecords, error) {
	if to.ID == c.self {
		return c.node.JournalRecords(journal), nil
	}
	return invoke[journalRecordsRequest, billing.JournalRecords](ctx, c, to.Peer, callJournalRecords, journalRecordsRequest{Journal: journal})
}

// Checkpoint stores the sums of a journal at a node.
func (c *Client) Checkpoint(ctx context.Context, to view.Member, s ledger.Snapshot) error {
	if to.ID == c.self {
		c.node.StoreCheckpoint(s)
		return nil
	}
	_, err := invoke[ledger.Snapshot, empty](ctx, c, to.Peer, callCheckpoint, s)
	return err
}

// Cancel cancels an attempt at its holder, and reports whether it was stopped.
func (c *Client) Cancel(ctx context.Context, h claim.Holder, attempt string) (bool, error) {
	if h.ID == c.self {
		return c.node.CancelAttempt(attempt), nil
	}
	reply, err := invoke[attemptRequest, cancelReply](ctx, c, h.Peer, callCancel, attemptRequest{Attempt: attempt, Holder: h.ID})
	return reply.Stopped, err
}

// Explain fetches a decision record from a node. It is empty if the node has none.
func (c *Client) Explain(ctx context.Context, h claim.Holder, requestID string) (decision.Summary, error) {
	if h.ID == c.self {
		summary, _ := c.node.Explain(requestID)
		return summary, nil
	}
	return invoke[explainRequest, decision.Summary](ctx, c, h.Peer, callExplain, explainRequest{RequestID: requestID})
}

// attachTimeout limits the wait for the first message of a followed response.
const attachTimeout = time.Second

// Attach follows an attempt's response at its holder. Found is false if the holder
// has no such response; ran then reports whether it has a record that the attempt ran.
func (c *Client) Attach(ctx context.Context, h claim.Holder, attempt string) (x *answer.Response, found, ran bool, err error) {
	if h.ID == c.self {
		x, ran := c.node.FindResponse(attempt)
		return x, x != nil, ran, nil
	}
	ctx, cancelOpen := context.WithTimeout(ctx, attachTimeout)
	defer cancelOpen()
	stream, first, cancel, err := openStream[attemptRequest, attachMessage](ctx, c, h.Peer, callAttach, attemptRequest{Attempt: attempt, Holder: h.ID})
	if err != nil {
		return nil, false, false, err
	}
	if !first.Found {
		cancel()
		stream.Close()
		return nil, false, first.Ran, nil
	}
	// The first message is applied before returning, so that a caller which only
	// checks whether the response is complete need not wait.
	x = answer.NewResponse(attempt, func() {})
	applyMessage(x, first)
	go func() {
		defer cancel()
		defer stream.Close()
		copyResponse(stream, x, first.Done)
	}()
	return x, true, true, nil
}

// openStream starts a call that goes on after its first reply, which it returns. The context
// bounds only the wait for that reply; cancel ends the call.
func openStream[Request, Reply any](ctx context.Context, c *Client, address, call string, in Request) (stream drpc.Stream, first Reply, cancel context.CancelFunc, err error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, cancel)
	key := c.connKey(address)
	stream, err = c.pool.Get(streamCtx, key, c.dial).NewStream(streamCtx, call, codec{})
	if err == nil {
		err = stream.MsgSend(&in, codec{})
	}
	if err == nil {
		err = stream.MsgRecv(&first, codec{})
	}
	if !detach() && err == nil {
		err = ctx.Err()
	}
	if err == nil {
		return stream, first, cancel, nil
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.retireConns(key)
	}
	cancel()
	if stream != nil {
		_ = stream.Close()
	}
	return nil, first, nil, errs.Wrap(Unreachable, call, err, "peer %s", address)
}

// copyResponse copies a response until it ends or the stream from its holder
// breaks.
func copyResponse(stream drpc.Stream, x *answer.Response, done bool) {
	for !done {
		var message attachMessage
		if err := stream.MsgRecv(&message, codec{}); err != nil {
			x.Fail(&answer.Failure{
				Reason:      "holder_unreachable",
				Message:     "the node that runs the request was lost; ask again with the same id",
				Status:      503,
				Ran:         "unknown",
				RetryMillis: time.Second.Milliseconds(),
			})
			return
		}
		applyMessage(x, message)
		done = message.Done
	}
}

func applyMessage(x *answer.Response, message attachMessage) {
	if message.HasHead {
		x.SetHead(message.Head)
	}
	for _, part := range message.Parts {
		x.Append(part)
	}
	if message.Done {
		finishResponse(x, message.Failure)
	}
}

func finishResponse(x *answer.Response, failure *answer.Failure) {
	if failure != nil {
		x.Fail(failure)
		return
	}
	x.Finish()
}
