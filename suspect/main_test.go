package suspect_test

import (
	"log/slog"
	"os"
	"testing"
)

// TestMain keeps log lines out of the tests' output.
func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}
