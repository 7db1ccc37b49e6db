package gateway

import (
	"sync"
	"time"

	"github.com/violettally/violettally/registry"
)

// lossChecks holds the losses at servers to which the way is being checked. Its zero value is ready
// to use.
type lossChecks struct {
	mu      sync.Mutex
	pending map[registry.Incarnation][]pendingLoss
}

// pendingLoss is the loss of a request.
type pendingLoss struct {
	digest uint64
	at     time.Time
}

// add adds a loss. It returns true if the way to the server is to be checked.
func (c *lossChecks) add(server registry.Server, digest uint64, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = make(map[registry.Incarnation][]pendingLoss)
	}
	key := server.Incarnation()
	c.pending[key] = append(c.pending[key], pendingLoss{digest, at})
	return len(c.pending[key]) == 1
}

// take removes and returns the losses at a server.
func (c *lossChecks) take(server registry.Server) []pendingLoss {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := server.Incarnation()
	losses := c.pending[key]
	delete(c.pending, key)
	return losses
}
