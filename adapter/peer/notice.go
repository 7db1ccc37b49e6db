package peer

import (
	"context"
	"time"

	"storj.io/drpc"

	"github.com/violettally/violettally/notice"
)

// callNotice tells the node at the other end of a tunnel what a server has just said of itself
// (package notice).
const callNotice = "notice"

// tellTimeout bounds callNotice.
const tellTimeout = time.Second

// noticeHandler returns the handler of callNotice.
func noticeHandler(observe func(notice.Report)) func(drpc.Stream) error {
	return unaryHandler(func(_ context.Context, r notice.Report) (empty, error) {
		observe(r)
		return empty{}, nil
	})
}

// TellNotice tells the node at an address what a server has just said of itself.
func (c *Client) TellNotice(ctx context.Context, address string, r notice.Report) error {
	_, err := invoke[notice.Report, empty](ctx, c, address, callNotice, r)
	return err
}

// callKnownNotices fetches what a node knows that servers say of themselves.
const callKnownNotices = "known-notices"

// knownNoticesHandler returns the handler of callKnownNotices.
func knownNoticesHandler(known func() []notice.Report) func(drpc.Stream) error {
	return unaryHandler(func(context.Context, empty) ([]notice.Report, error) { return known(), nil })
}

// KnownNotices fetches what a gateway knows that servers say of themselves.
func (c *Client) KnownNotices(ctx context.Context, address string) ([]notice.Report, error) {
	return invoke[empty, []notice.Report](ctx, c, address, callKnownNotices, empty{})
}

// NoticeTunnels tells the nodes at the other ends of tunnels what servers say of themselves. It
// implements [notice.Tunnels].
type NoticeTunnels struct {
	client    *Client
	openers   func(server string) []string
	onFailure func(node string, r notice.Report, err error)
}

// NewNoticeTunnels returns the tunnels of a node that carries connections to a server for the nodes that
// openers returns. OnFailure is called if a node could not be told.
func NewNoticeTunnels(c *Client, openers func(server string) []string, onFailure func(node string, r notice.Report, err error)) *NoticeTunnels {
	return &NoticeTunnels{client: c, openers: openers, onFailure: onFailure}
}

// Openers returns the peer addresses of the nodes for which this one carries connections to a server.
func (t *NoticeTunnels) Openers(server string) []string { return t.openers(server) }

// Tell tells a node what a server has just said, without waiting for it.
func (t *NoticeTunnels) Tell(node string, r notice.Report) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		if err := t.client.TellNotice(ctx, node, r); err != nil {
			t.onFailure(node, r, err)
		}
	}()
}

// NotToldMessage is the message of log lines on nodes that could not be told.
const NotToldMessage = "notice not told"

// NotToldArgs returns what such a line tells.
func NotToldArgs(node string, r notice.Report, err error) []any {
	return []any{"peer", node, "kind", r.Kind.String(), "error", err.Error()}
}
