package route

import (
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/internal/rendezvous"
)

const (
	// subsetSize is how many servers of a pool a node uses on average.
	subsetSize = 20
	// minNodesPerServer is by how many nodes each server is used at least.
	minNodesPerServer = 3
)

// Nodes returns the nodes that share the servers, and a number that changes
// with them.
type Nodes func() (epoch int64, ids []string)

// subset is the part of a pool's servers that this node uses.
type subset struct {
	epoch   int64
	first   *config.Server
	length  int
	servers []config.Server
}

// Subset returns the servers of a pool that this node uses. Each server has a
// few nodes by rendezvous hashing, so none is left out, and the choice is
// stable while nodes and servers come and go.
func (c *Chooser) Subset(pool string, servers []config.Server) []config.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.subset(pool, servers)
}

func (c *Chooser) subset(pool string, servers []config.Server) []config.Server {
	if len(servers) <= subsetSize {
		return servers
	}
	epoch, ids := c.nodes()
	known := c.subsets[pool]
	if known == nil || known.epoch != epoch || known.first != &servers[0] || known.length != len(servers) {
		known = &subset{epoch: epoch, first: &servers[0], length: len(servers), servers: assignedServers(c.node, ids, servers)}
		c.subsets[pool] = known
	}
	return known.servers
}

// assignedServers returns the servers that have a node among their first few.
func assignedServers(node string, ids []string, servers []config.Server) []config.Server {
	users := max(minNodesPerServer, (subsetSize*len(ids)+len(servers)-1)/len(servers))
	own := rendezvous.Hash(node)
	hashes := make([]uint64, 0, len(ids))
	for _, id := range ids {
		if id != node {
			hashes = append(hashes, rendezvous.Hash(id))
		}
	}
	var mine []config.Server
	for _, s := range servers {
		key := rendezvous.Hash(s.Name)
		score, before := rendezvous.Score(key, own), 0
		for _, other := range hashes {
			if rendezvous.Score(key, other) > score {
				before++
			}
			if before == users {
				break
			}
		}
		if before < users {
			mine = append(mine, s)
		}
	}
	return mine
}
