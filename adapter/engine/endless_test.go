package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/engine"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/dispatch"
	"github.com/violettally/violettally/internal/standin/endless"
)

const (
	// requestTime is how long a request may take in these tests, and maxBytes how much a response may hold.
	requestTime = 20 * time.Second
	maxBytes    = 1 << 20
	// bufferBytes is what buffers may take beyond a bound; an event of a stream may be as large as a response.
	bufferBytes = maxBytes + 128<<10
)

// TestResponsesWithoutEnd checks that responses of servers which never end are bounded in memory, and end by
// themselves if they come at full speed, or with the time of the request.
func TestResponsesWithoutEnd(t *testing.T) {
	server := config.Server{Name: "s", URL: "http://server"}
	read := func(s dispatch.EngineStream, err error) error {
		if err != nil {
			return err
		}
		defer s.Close()
		for {
			if _, err := s.Next(); err != nil {
				return err
			}
		}
	}
	requests := map[string]func(ctx context.Context, c *engine.Client) error{
		"stream": func(ctx context.Context, c *engine.Client) error {
			return read(c.Complete(ctx, server, dispatch.EngineCall{Body: []byte(`{}`), Model: "m", Stream: true}))
		},
		"answer": func(ctx context.Context, c *engine.Client) error {
			return read(c.Complete(ctx, server, dispatch.EngineCall{Body: []byte(`{}`), Model: "m"}))
		},
		"resumed": func(ctx context.Context, c *engine.Client) error {
			return read(c.Resume(ctx, server, "id", 3, dispatch.EngineCall{Model: "m"}))
		},
		"call": func(ctx context.Context, c *engine.Client) error {
			_, err := c.Call(ctx, server, dispatch.ServiceCall{Method: "GET", Path: "/x"})
			return err
		},
		"load": func(ctx context.Context, c *engine.Client) error {
			_, err := c.LoadReport(ctx, server)
			return err
		},
	}
	for name, request := range requests {
		for _, kind := range append(endless.Heads, endless.Bodies...) {
			for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
				t.Run(fmt.Sprint(name, ", ", kind, ", pause ", pause), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := endless.New(kind, pause)
						c := engine.New(engine.WithMaxResponseBytes(maxBytes), engine.WithDialer(func(context.Context, string, string) (net.Conn, error) { return s.Dial(), nil }))
						ctx, cancel := context.WithTimeout(t.Context(), requestTime)
						defer cancel()
						err := request(ctx, c)
						must.Error(t, err)
						must.False(t, errors.Is(err, io.EOF))
						if pause == 0 {
							must.NoError(t, ctx.Err())
						}
						must.LessEq(t, maxBytes+bufferBytes, s.Sent())
						time.Sleep(2*pause + time.Millisecond)
						synctest.Wait()
						must.Zero(t, s.Open(), must.Sprint("open connections"))
					})
				})
			}
		}
	}
}
