package registry

import "time"

// Selection is a list of servers without those that get no requests for a while. Lists are
// filtered several times for each request, and change a few times a second.
type Selection struct {
	// first and length identify the list that was filtered.
	first      **Server
	length     int
	generation uint64
	// validUntil is when a server that was left out may get requests again.
	validUntil time.Time
	servers    []*Server
	// restricted holds the indices of the servers that get requests only at times.
	restricted []int
}

// Use tells how a server is used.
type Use int

// The uses of a server.
const (
	// UseFree: it gets requests at any time.
	UseFree Use = iota
	// UseRestricted: it gets requests at times.
	UseRestricted
	// UseNone: it gets none until the time that is given with it.
	UseNone
)

// selectionValidity is the longest time for which a selection is used again: a new declaration
// may change how servers are used.
const selectionValidity = time.Second

// Selections holds the last selection of each service.
type Selections map[string]Selection

// Get returns the selection of a list that is not empty, the last one if it is of the same list and
// generation. For a server without use, use also returns until when it has none; zero if that is
// not known.
func (all Selections) Get(servers []*Server, generation uint64, now time.Time, use func(*Server) (Use, time.Time)) Selection {
	service := servers[0].Service
	selection := all[service]
	if !selection.isOf(servers, generation, now) {
		selection = newSelection(servers, generation, now.Add(selectionValidity), use)
		all[service] = selection
	}
	return selection
}

// newSelection returns the selection of a list.
func newSelection(servers []*Server, generation uint64, validUntil time.Time, use func(*Server) (Use, time.Time)) Selection {
	s := Selection{first: &servers[0], length: len(servers), generation: generation, validUntil: validUntil, servers: make([]*Server, 0, len(servers))}
	for _, server := range servers {
		switch u, until := use(server); u {
		case UseRestricted:
			s.restricted = append(s.restricted, len(s.servers))
		case UseNone:
			if !until.IsZero() && until.Before(s.validUntil) {
				s.validUntil = until
			}
			continue
		}
		s.servers = append(s.servers, server)
	}
	return s
}

// isOf reports whether the selection is of the given list, and valid.
func (s *Selection) isOf(servers []*Server, generation uint64, now time.Time) bool {
	return s.first == &servers[0] && s.length == len(servers) && s.generation == generation && now.Before(s.validUntil)
}

// Servers returns the servers that may get a request now: those that are not restricted, and
// those of the others that allows returns true for. The list must not be modified.
func (s *Selection) Servers(allows func(*Server) bool) []*Server {
	var allowed []*Server
	from := 0
	for _, i := range s.restricted {
		if allows(s.servers[i]) {
			continue
		}
		if allowed == nil {
			allowed = make([]*Server, 0, len(s.servers))
		}
		allowed = append(allowed, s.servers[from:i]...)
		from = i + 1
	}
	if allowed == nil {
		return s.servers
	}
	return append(allowed, s.servers[from:]...)
}
