package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/engine"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/dispatch"
)

// TestBodyCutShortAfterWholeAnswer checks that a server which answers before it has read a long body, and reads on
// later, gets all of it.
func TestBodyCutShortAfterWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const readOnAfter = time.Second
		near, far := net.Pipe() // takes nothing that is not read
		got := make(chan []byte, 1)
		go func() {
			request, err := http.ReadRequest(bufio.NewReader(far))
			must.NoError(t, err)
			fmt.Fprint(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			time.Sleep(readOnAfter)
			body, _ := io.ReadAll(request.Body)
			got <- body
			_ = far.Close()
		}()
		client := engine.New(engine.WithDialer(func(context.Context, string, string) (net.Conn, error) { return near, nil }))
		ctx, cancel := context.WithTimeout(context.Background(), requestTime)
		body := bytes.Repeat([]byte("data"), 100<<10)
		response, err := client.Call(ctx, config.Server{Name: "s", URL: "http://server"}, dispatch.ServiceCall{Method: http.MethodPost, Path: "/x", Body: body})
		cancel()
		must.NoError(t, err)
		must.Eq(t, "ok", string(response.Body))
		must.Eq(t, len(body), len(<-got))
	})
}
