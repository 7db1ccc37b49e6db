package peer

import (
	"context"
	"log/slog"
	"time"

	"github.com/joomcode/errorx"
	"storj.io/drpc"

	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/share"
)

// callExchange tells what a node has sent to servers, and asks the same.
const callExchange = "exchange"

// callFollow asks for what a node's copy of the store has beyond a revision.
const callFollow = "follow"

// followRequest asks for changes after a revision, and how long to wait for
// some.
type followRequest struct {
	After int64         `cbor:"1,keyasint"`
	Wait  time.Duration `cbor:"2,keyasint"`
	// AcceptCompressed says that the caller reads packed values; earlier versions do not.
	AcceptCompressed bool `cbor:"3,keyasint,omitempty"`
	// AcceptDeltas says that it knows the large values as they were at After, and
	// reads what has changed in them.
	AcceptDeltas bool `cbor:"4,keyasint,omitempty"`
}

// Gateway is what a gateway answers its peers with.
type Gateway interface {
	Await(ctx context.Context, revision int64, wait time.Duration) mirror.Batch
	Previous(key string) (mirror.Item, bool)
	Counts() (node string, counts rollout.Counts)
	Exchange(m share.Message) share.Reply
}

// NewGatewayServer returns a server that answers the calls between gateways, and
// none of those between the product's own nodes.
func NewGatewayServer(g Gateway) *Server {
	packer := newBatchEncoder(g.Previous)
	return &Server{handlers: map[string]func(drpc.Stream) error{
		callFollow: unaryHandler(func(ctx context.Context, r followRequest) (followReply, error) {
			return packer.encode(g.Await(ctx, r.After, r.Wait), r)
		}),
		callExchange: unaryHandler(func(_ context.Context, m share.Message) (share.Reply, error) {
			return g.Exchange(m), nil
		}),
		callCounts: countsHandler(g.Counts),
	}}
}

// countsHandler answers with what a node has counted of each version.
func countsHandler(counted func() (node string, counts rollout.Counts)) func(drpc.Stream) error {
	return unaryHandler(func(context.Context, empty) (countsReply, error) {
		node, counts := counted()
		return countsReply{Node: node, Counts: counts}, nil
	})
}

// Follow asks a gateway for what its copy has beyond a revision, and lets it
// wait for something to tell. Large values that this node knows come as
// differences from them. Its copy may have gone on meanwhile, by another peer's
// word; then the values are asked for as they are.
func (c *Client) Follow(ctx context.Context, address string, after int64, wait time.Duration) (mirror.Batch, error) {
	request := followRequest{After: after, Wait: wait, AcceptCompressed: true, AcceptDeltas: c.knownValue != nil}
	batch, err := c.follow(ctx, address, request)
	if errorx.IsOfType(err, UnknownBase) {
		slog.Info("difference from a value that is not known; asking for the value", "peer", address, "after", after, "error", err)
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

// Exchange tells a gateway what this node knows of sends to servers, and returns
// what the gateway knows.
func (c *Client) Exchange(ctx context.Context, address string, m share.Message) (share.Reply, error) {
	return invoke[share.Message, share.Reply](ctx, c, address, callExchange, m)
}
