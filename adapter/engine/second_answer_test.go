package engine_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/engine"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/dispatch"
	"github.com/violettally/violettally/internal/standin"
)

// TestSecondDeclineTakenForAnswer lets a server decline a call, and decline it a second time, late: the next call, which the
// server runs, must not look declined.
func TestSecondDeclineTakenForAnswer(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, body := range []string{"", "data"} {
			var ran atomic.Int32
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				if q.URL.Path == "/declined" {
					w.Header().Set("X-Not-Run", "true")
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				ran.Add(1)
			})}
			go func() { _ = server.Serve(standin.SecondAnswers{Listener: listener}) }()
			t.Cleanup(func() { _ = server.Close() })
			client := engine.New()
			call := func(path string) (dispatch.ServiceResponse, error) {
				return client.Call(t.Context(), config.Server{Name: "s", URL: "http://" + listener.Addr().String()},
					dispatch.ServiceCall{RequestID: "id of " + path, Method: method, Path: path, Body: []byte(body)})
			}
			_, err = call("/declined")
			must.True(t, errorx.IsOfType(err, dispatch.NotRun))
			response, err := call("/run")
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, response.Status)
			must.Eq(t, 1, ran.Load())
		}
	}
}
