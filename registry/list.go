package registry

import (
	"cmp"
	"maps"
	"slices"
)

// list holds the servers of one service that may get new requests. A change costs no more
// than copying the list once, however many servers there are, and nothing until the list is
// read again.
type list struct {
	service string
	// servers is sorted by ID and never modified.
	servers []*Server
	// changed holds the IDs of the servers that may have changed since.
	changed map[string]bool
}

// update takes over the changes. Listed returns a server as it is to appear in the list;
// false if it does not.
func (l *list) update(listed func(id string) (*Server, bool)) {
	if len(l.changed) == 0 {
		return
	}
	updated := make([]*Server, 0, len(l.servers)+len(l.changed))
	rest := l.servers
	for _, id := range slices.Sorted(maps.Keys(l.changed)) {
		at, found := slices.BinarySearchFunc(rest, id, func(s *Server, id string) int { return cmp.Compare(s.ID, id) })
		updated = append(updated, rest[:at]...)
		rest = rest[at:]
		if found {
			rest = rest[1:]
		}
		if s, ok := listed(id); ok && s.Service == l.service {
			updated = append(updated, s)
		}
	}
	l.servers = append(updated, rest...)
	clear(l.changed)
}
