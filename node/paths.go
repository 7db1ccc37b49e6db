package node

import (
	"log/slog"

	"github.com/violettally/violettally/tunnel"
)

// recordPath logs a change of what this node reaches.
func recordPath(e tunnel.Event) { slog.Info(tunnel.LogMessage, e.LogArgs()...) }
