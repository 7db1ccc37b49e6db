package gateway_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/gateway"
)

// TestLogOfManyChanges checks that a flood of changes writes a bounded number of lines, and that
// the lines left out are counted. A start with ten thousand servers wrote as many at each node.
func TestLogOfManyChanges(t *testing.T) {
	var out bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&out, nil)))
	defer slog.SetDefault(before)
	log := gateway.NewLimitedLog(10)
	for range 1000 {
		log.Info("change")
	}
	must.Eq(t, 10, strings.Count(out.String(), "msg=change"))
	log.Refill(5)
	log.Info("change")
	must.StrContains(t, out.String(), "lines_left_out=990")
	for range 1000 {
		log.Info("change")
	}
	must.Eq(t, 15, strings.Count(out.String(), "msg=change"))
}
