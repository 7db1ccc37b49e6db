package gateway

import "github.com/violettally/violettally/tunnel"

// recordPath logs a change of what this gateway reaches.
func (g *Gateway) recordPath(e tunnel.Event) { g.pathLog.info(tunnel.LogMessage, e.LogArgs()...) }
