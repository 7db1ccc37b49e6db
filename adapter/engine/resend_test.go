package engine_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/engine"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/dispatch"
)

// TestCallRanTwice lets a server read a call on a kept connection and close it without an answer: the
// transport must not send the call again, whatever its method and body.
func TestCallRanTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost, http.MethodPut, http.MethodDelete} {
		for _, body := range []string{"", "data"} {
			t.Run(method+body, func(t *testing.T) {
				var received atomic.Int32
				server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
					_, _ = io.Copy(io.Discard, q.Body)
					if received.Add(1) == 2 {
						panic(http.ErrAbortHandler)
					}
				}))
				defer server.Close()
				client := engine.New()
				call := func() error {
					_, err := client.Call(t.Context(), config.Server{Name: "s", URL: server.URL}, dispatch.ServiceCall{Method: method, Path: "/x", Body: []byte(body)})
					return err
				}
				must.NoError(t, call())
				must.Error(t, call())
				must.Eq(t, 2, received.Load())
			})
		}
	}
}
