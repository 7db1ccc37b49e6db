package hostport_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/hostport"
)

func TestValid(t *testing.T) {
	for _, address := range []string{"10.0.0.1:1", "10.0.0.1:65535", "[::1]:80"} {
		must.True(t, hostport.Valid(address), must.Sprint(address))
	}
	for _, address := range []string{"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "host:80", ":80"} {
		must.False(t, hostport.Valid(address), must.Sprint(address))
	}
}
