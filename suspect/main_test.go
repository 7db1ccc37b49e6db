package suspect_test

import (
	"log/slog"
	"os"
	"testing"
)

// TestMain discards log lines.
func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}
