package route

import (
	"cmp"

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

// NodesPerServer returns how many of the nodes use each server of a pool: those with the highest
// rendezvous scores of their IDs for the ServerKey.
func NodesPerServer(nodes, servers int) int {
	if servers <= subsetSize {
		return nodes
	}
	return max(minNodesPerServer, (subsetSize*nodes+servers-1)/servers)
}

// ServerKey returns what names a server in all pools that it is part of.
func ServerKey(s config.Server) string { return cmp.Or(s.URL, s.Name) }

// assignedServers returns the servers for which the node is among the few with the
// highest rendezvous score.
func assignedServers(node string, ids []string, servers []config.Server) []config.Server {
	nodesPerServer := NodesPerServer(len(ids), len(servers))
	nodeHash := rendezvous.Hash(node)
	hashes := make([]uint64, 0, len(ids))
	for _, id := range ids {
		if id != node {
			hashes = append(hashes, rendezvous.Hash(id))
		}
	}
	var assigned []config.Server
	for _, s := range servers {
		key := rendezvous.Hash(ServerKey(s))
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
