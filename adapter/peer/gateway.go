package peer

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/joomcode/errorx"
	"storj.io/drpc"

	"github.com/violettally/violettally/autoscale"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/rejection"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/share"
	"github.com/violettally/violettally/usage"
)

// callExchange sends a peer records of the requests that were sent to servers, and
// returns the peer's records (package share).
const callExchange = "exchange"

// callFollow fetches the changes after a revision from a node's copy of the store.
const callFollow = "follow"

// callActivity fetches what a node has sent to backend servers.
const callActivity = "activity"

// callPlace asks a node for places at a backend server (package rejection).
const callPlace = "place"

// placeHandler returns the handler of callPlace.
func placeHandler(ask func(rejection.Ask) rejection.Grant) func(drpc.Stream) error {
	return unaryHandler(func(_ context.Context, a rejection.Ask) (rejection.Grant, error) { return ask(a), nil })
}

// AskPlace asks a node for places at a backend server.
func (c *Client) AskPlace(ctx context.Context, address string, a rejection.Ask) (rejection.Grant, error) {
	return invoke[rejection.Ask, rejection.Grant](ctx, c, address, callPlace, a)
}

// activityRequest asks for the usage counts of the windows from FromWindow on.
type activityRequest struct {
	FromWindow int64 `cbor:"1,keyasint"`
}

// Activity is what a node has sent to backend servers.
type Activity struct {
	// Usage holds the requests that servers have begun to run, by client account.
	Usage usage.Snapshot `cbor:"1,keyasint"`
	// Work is by service.
	Work map[string]autoscale.Work `cbor:"2,keyasint,omitempty"`
}

// followRequest asks for the changes after a revision, waiting for some up to Wait.
type followRequest struct {
	After int64         `cbor:"1,keyasint"`
	Wait  time.Duration `cbor:"2,keyasint"`
	// AcceptCompressed means that the sender of the request decodes compressed
	// values; earlier versions do not.
	AcceptCompressed bool `cbor:"3,keyasint,omitempty"`
	// AcceptDeltas means that the sender of the request has the large values as of
	// After, and decodes deltas of them.
	AcceptDeltas bool `cbor:"4,keyasint,omitempty"`
	// AcceptPacked means that the sender of the request decodes packed items, and replies
	// that the peer is busy.
	AcceptPacked bool `cbor:"5,keyasint,omitempty"`
	// From is the address of the sender of the request; earlier versions do not send it.
	From string `cbor:"6,keyasint,omitempty"`
}

// Gateway handles the calls of other gateways.
type Gateway interface {
	// Respond returns the response to a peer that has all changes up to a revision. Sent is
	// called once it was sent.
	Respond(ctx context.Context, peer string, after int64, wait time.Duration) (b mirror.Batch, sent func(error))
	Previous(key string) (mirror.Item, bool)
	Counts() (node string, counts rollout.Counts)
	Exchange(m share.Message) share.Reply
	Activity(fromWindow int64) Activity
	// Carry opens a connection to a backend server for a peer.
	Carry(ctx context.Context, server, opener string) (net.Conn, error)
	// ObserveNotice records what a server has said of itself to the node at the other end of a tunnel.
	ObserveNotice(r notice.Report)
	// KnownNotices returns what this gateway knows that servers say of themselves.
	KnownNotices() []notice.Report
	// AskPlace gives a peer places at a server.
	AskPlace(a rejection.Ask) rejection.Grant
}

// NewGatewayServer returns a server for the calls between gateways. It does not serve
// the calls of [Node].
func NewGatewayServer(g Gateway, options ...ServerOption) *Server {
	follow := &followHandler{gateway: g, encoder: newBatchEncoder(g.Previous)}
	s := &Server{handlers: map[string]func(drpc.Stream) error{
		callFollow: follow.handle,
		callExchange: unaryHandler(func(_ context.Context, m share.Message) (share.Reply, error) {
			return g.Exchange(m), nil
		}),
		callCounts:       countsHandler(g.Counts),
		callTunnel:       tunnelHandler(g.Carry),
		callNotice:       noticeHandler(g.ObserveNotice),
		callPlace:        placeHandler(g.AskPlace),
		callKnownNotices: knownNoticesHandler(g.KnownNotices),
		callActivity: unaryHandler(func(_ context.Context, r activityRequest) (Activity, error) {
			return g.Activity(r.FromWindow), nil
		}),
	}}
	return s.applyOptions(options)
}

// followHandler handles callFollow.
type followHandler struct {
	gateway Gateway
	encoder *batchEncoder
}

// handle sends the changes that a peer lacks.
func (h *followHandler) handle(stream drpc.Stream) error {
	var r followRequest
	if err := stream.MsgRecv(&r, codec{}); err != nil {
		return err
	}
	b, sent := h.gateway.Respond(stream.Context(), r.From, r.After, r.Wait)
	if b.Busy && !r.AcceptPacked {
		return errs.New(Unknown, "serve", "busy")
	}
	reply, err := h.encoder.encode(b, r)
	if err == nil {
		err = stream.MsgSend(&reply, codec{})
	}
	sent(err)
	return err
}

// countsHandler returns the handler of callCounts.
func countsHandler(get func() (node string, counts rollout.Counts)) func(drpc.Stream) error {
	return unaryHandler(func(context.Context, empty) (countsReply, error) {
		node, counts := get()
		return countsReply{Node: node, Counts: counts}, nil
	})
}

// Follow fetches the changes after a revision from a gateway's copy of the store,
// waiting for some up to wait. Large values that this node has arrive as deltas. If
// this node's copy changed in the meantime, because another peer updated it, the base
// of a delta may be missing; then Follow fetches the whole values.
func (c *Client) Follow(ctx context.Context, address string, after int64, wait time.Duration) (mirror.Batch, error) {
	request := followRequest{After: after, Wait: wait, AcceptCompressed: true, AcceptDeltas: c.knownValue != nil, AcceptPacked: true, From: c.address}
	batch, err := c.follow(ctx, address, request)
	if errorx.IsOfType(err, UnknownBase) {
		slog.Info("delta with an unknown base; fetching the whole value", "peer", address, "after", after, "error", err)
		request.AcceptDeltas = false
		batch, err = c.follow(ctx, address, request)
	}
	return batch, err
}

func (c *Client) follow(ctx context.Context, address string, r followRequest) (mirror.Batch, error) {
	reply, err := invoke[followRequest, followReply](ctx, c, address, callFollow, r)
	if err != nil {
		return mirror.Batch{}, err
	}
	return reply.decode(c.knownValue)
}

// Exchange sends a gateway this node's records of requests sent to servers, and
// returns the gateway's records.
func (c *Client) Exchange(ctx context.Context, address string, m share.Message) (share.Reply, error) {
	return invoke[share.Message, share.Reply](ctx, c, address, callExchange, m)
}

// Activity fetches what a gateway has sent to backend servers, with the usage counts of the
// windows from the given one on.
func (c *Client) Activity(ctx context.Context, address string, fromWindow int64) (Activity, error) {
	return invoke[activityRequest, Activity](ctx, c, address, callActivity, activityRequest{FromWindow: fromWindow})
}
