package engine_test

import (
	"net"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/engine"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/dispatch"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/tunnel"
)

// TestUnreachableServerHasNotRun checks that a request whose connection was never made counts as not
// run, whichever way it was to be made.
func TestUnreachableServerHasNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := l.Addr().String()
	must.NoError(t, l.Close())
	timers := timer.New()
	defer timers.Close()
	dialer := tunnel.NewDialer(engine.DialServer, timers)
	for _, client := range []*engine.Client{engine.New(), engine.New(engine.WithDialer(dialer.DialContext))} {
		_, err = client.Call(t.Context(), config.Server{Name: "s", URL: "http://" + address}, dispatch.ServiceCall{Method: "POST", Path: "/"})
		must.True(t, errorx.IsOfType(err, dispatch.NotRun), must.Sprint(err))
	}
}
