package route

import (
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/internal/rendezvous"
)

const (
	// subsetSize is the average number of a pool's servers that a node uses.
	subsetSize = 20
	// minNodesPerServer is the least number of nodes that use each server.
	minNodesPerServer = 3
)

// Nodes returns the IDs of the nodes that share the servers, and an epoch that
// changes whenever they do.
type Nodes func() (epoch int64, ids []string)

// subset caches the part of a pool's servers that this node uses, with what it was
// computed from.
type subset struct {
	epoch   int64
	first   *config.Server
	length  int
	servers []config.Server
}

// Subset returns the servers of a pool that this node uses. Rendezvous hashing
// assigns each server to a few nodes, so that no server is left out and few
// assignments change when nodes or servers join or leave.
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
	cached := c.subsets[pool]
	if cached == nil || cached.epoch != epoch || cached.first != &servers[0] || cached.length != len(servers) {
		cached = &subset{epoch: epoch, first: &servers[0], length: len(servers), servers: assignedServers(c.node, ids, servers)}
		c.subsets[pool] = cached
	}
	return cached.servers
}

// assignedServers returns the servers for which the node is among the few with the
// highest rendezvous score.
func assignedServers(node string, ids []string, servers []config.Server) []config.Server {
	nodesPerServer := max(minNodesPerServer, (subsetSize*len(ids)+len(servers)-1)/len(servers))
	nodeHash := rendezvous.Hash(node)
	hashes := make([]uint64, 0, len(ids))
	for _, id := range ids {
		if id != node {
			hashes = append(hashes, rendezvous.Hash(id))
		}
	}
	var assigned []config.Server
	for _, s := range servers {
		key := rendezvous.Hash(s.Name)
		score, higher := rendezvous.Score(key, nodeHash), 0
		for _, other := range hashes {
			if rendezvous.Score(key, other) > score {
				higher++
			}
			if higher == nodesPerServer {
				break
			}
		}
		if higher < nodesPerServer {
			assigned = append(assigned, s)
		}
	}
	return assigned
}
