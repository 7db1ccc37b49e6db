package etcd_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/etcd"
	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/internal/standin/endless"
)

// TestServiceWithoutEnd checks that a call takes a bounded number of bytes if the response does not end.
func TestServiceWithoutEnd(t *testing.T) {
	// mostTaken is the largest number of bytes that a call may take, with those in buffers of the kernel.
	const mostTaken = 80 << 20
	calls := map[string]func(ctx context.Context, c *etcd.Client) error{
		"get": func(ctx context.Context, c *etcd.Client) error { _, _, err := c.Get(ctx, "k"); return err },
		"watch": func(ctx context.Context, c *etcd.Client) error {
			return c.WatchPrefix(ctx, "k", 1, func(string, document.Item) {})
		},
	}
	for _, kind := range []endless.Kind{endless.Head, endless.JSON} {
		for name, call := range calls {
			t.Run(kind.String()+", "+name, func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				must.NoError(t, err)
				defer listener.Close()
				server := endless.New(kind, 0)
				go server.Serve(listener)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				must.Error(t, call(ctx, etcd.New([]string{"http://" + listener.Addr().String()}, "p/")))
				must.NoError(t, ctx.Err())
				must.LessEq(t, mostTaken, server.Sent())
			})
		}
	}
}
