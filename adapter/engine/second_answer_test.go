package engine_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/engine"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/dispatch"
	"github.com/violettally/violettally/internal/standin"
	"github.com/violettally/violettally/placement"
)

// TestSecondDeclineTakenForAnswer lets a server decline a call, and decline it a second time, late: the next call, which the
// server runs, must not look declined.
func TestSecondDeclineTakenForAnswer(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, body := range []string{"", "data"} {
			var ran atomic.Int32
			server := standin.NewSecondAnswerServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				if q.URL.Path == "/declined" {
					w.Header().Set("X-Not-Run", "true")
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				ran.Add(1)
			}))
			t.Cleanup(server.Close)
			client := engine.New()
			call := func(path string) (dispatch.ServiceResponse, error) {
				return client.Call(t.Context(), config.Server{Name: "s", URL: server.URL},
					dispatch.ServiceCall{RequestID: "id of " + path, Method: method, Path: path, Body: []byte(body)})
			}
			_, err := call("/declined")
			must.True(t, errorx.IsOfType(err, dispatch.NotRun))
			response, err := call("/run")
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, response.Status)
			must.Eq(t, 1, ran.Load())
		}
	}
}

// TestSecondAnswerTakenForOrder lets an engine refuse an order twice, the second time late: the next order, which it accepts,
// must not look refused.
func TestSecondAnswerTakenForOrder(t *testing.T) {
	var orders atomic.Int32
	server := standin.NewSecondAnswerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if orders.Add(1) == 1 {
			w.Header().Set("X-Not-Run", "true")
			w.WriteHeader(http.StatusConflict)
		}
	}))
	t.Cleanup(server.Close)
	client := engine.New()
	order := placement.Order{Server: config.Server{Name: "s", URL: server.URL}, Model: "m"}
	must.Error(t, client.Order(t.Context(), order, 1))
	must.NoError(t, client.Order(t.Context(), order, 2))
	must.Eq(t, 2, orders.Load())
}
