package engine_test

import (
	"context"
	"io"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/engine"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/dispatch"
	"github.com/violettally/violettally/internal/standin"
)

// TestBrokenHeadLooksWhole checks that a response whose head breaks off is no response, of a plain service or
// of an engine, wherever that is.
func TestBrokenHeadLooksWhole(t *testing.T) {
	server, err := standin.NewBrokenHeadServer("127.0.0.1:0")
	must.NoError(t, err)
	defer server.Close()
	for _, end := range []standin.HeadEnd{standin.HeadClosed, standin.HeadReset} {
		client := engine.New()
		for _, path := range standin.BrokenHeadPaths("/call/", end, 1) {
			_, err := client.Call(t.Context(), config.Server{Name: "s", URL: "http://" + server.Addresses()[0]}, dispatch.ServiceCall{Method: "POST", Path: path, Body: []byte("x")})
			must.Error(t, err, must.Sprint(path))
			must.Eq(t, 1, server.Received(path))
		}
		for kind, ask := range asks(client) {
			for _, path := range standin.BrokenHeadPaths("/"+kind+"/", end, 1) {
				stream, err := ask(t.Context(), config.Server{Name: "s", URL: "http://" + server.Addresses()[0] + path + "?"})
				if err == nil {
					_, err = stream.Next()
					stream.Close()
				}
				must.Error(t, err, must.Sprint(path))
				must.NotEq(t, io.EOF, err, must.Sprint(path))
				must.Eq(t, 1, server.Received(path))
			}
		}
	}
}

// asks returns ways to ask an engine for an answer.
func asks(client *engine.Client) map[string]func(context.Context, config.Server) (dispatch.EngineStream, error) {
	complete := func(streamed bool) func(context.Context, config.Server) (dispatch.EngineStream, error) {
		return func(ctx context.Context, s config.Server) (dispatch.EngineStream, error) {
			return client.Complete(ctx, s, dispatch.EngineCall{Model: "m", Body: []byte("{}"), Stream: streamed})
		}
	}
	return map[string]func(context.Context, config.Server) (dispatch.EngineStream, error){
		"whole": complete(false), "stream": complete(true),
		"resume": func(ctx context.Context, s config.Server) (dispatch.EngineStream, error) {
			return client.Resume(ctx, s, "id", 0, dispatch.EngineCall{Model: "m"})
		},
	}
}
