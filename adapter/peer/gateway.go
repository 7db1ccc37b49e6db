package peer

import (
	"context"

	"storj.io/drpc"

	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/rollout"
)

// callFollow asks for what a node's copy of the store has beyond a revision.
const callFollow = "follow"

type followRequest struct {
	After int64 `cbor:"1,keyasint"`
}

// Gateway is what a gateway answers its peers with.
type Gateway interface {
	After(revision int64) mirror.Batch
	Counts() (node string, counts rollout.Counts)
}

// NewGatewayServer returns a server of a gateway.
func NewGatewayServer(g Gateway) *Server {
	return &Server{calls: map[string]func(drpc.Stream) error{
		callFollow: handle(func(_ context.Context, r followRequest) (mirror.Batch, error) { return g.After(r.After), nil }),
		callCounts: handle(func(context.Context, empty) (countsReply, error) {
			name, counts := g.Counts()
			return countsReply{Node: name, Counts: counts}, nil
		}),
	}}
}

// Follow asks a gateway for what its copy has beyond a revision.
func (c *Client) Follow(ctx context.Context, address string, after int64) (mirror.Batch, error) {
	return invoke[followRequest, mirror.Batch](ctx, c, address, callFollow, followRequest{After: after})
}
