// Package catalog holds what the operators declared for requests that are
// passed through to backend servers as they come: routes, services, client
// accounts and limits.
//
// It stands beside package config, which declares models and versions for the
// callers' API of the product's own. Where the platform keeps the operators'
// declarations, an adapter decodes them into a [Document]; New checks the
// whole and indexes it, or refuses it entirely.
//
// # Usage
//
//	c, err := catalog.New(document)
//	if err != nil {
//		return err // the catalog before stays in force
//	}
//	route, ok := c.Match(host, path)
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/violettally/violettally/internal/errs"
)

//go:generate go tool enumer -type=Kind -trimprefix=Kind -transform=snake -output=catalog_enumer.go

var (
	namespace = errs.Namespace("catalog")

	// Invalid says that a document contradicts itself.
	Invalid = namespace.NewType("invalid")
)

// Kind tells what may be done with a request of a route.
type Kind int

// The kinds.
const (
	// KindOnce may run at most once.
	KindOnce Kind = iota
	// KindRepeatable may run more than once.
	KindRepeatable
	// KindStream answers with a series of events. Only where the route is
	// resumable may it run more than once.
	KindStream
)

// Document is one whole declaration. Its fields are exported for the adapters
// that fill them.
type Document struct {
	// Version rises with each declaration.
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route says where requests of one host and path go.
type Route struct {
	Name string
	// Host is compared without its port, in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request may be held.
	Timeout time.Duration
	// Objective is the time within which an answer, or a stream's first
	// event, is in time.
	Objective time.Duration
	// MaxPause is the longest pause between events of a stream in time.
	MaxPause time.Duration
	// Attempts is the greatest number of servers that may run one request.
	Attempts int
	// Priority is the rank of the route, zero first.
	Priority int
	// Anonymous requests need no key.
	Anonymous bool
	// Prompted requests carry the parts of a prompt, which servers cache.
	Prompted bool
	// Resumable streams may be taken up at another server.
	Resumable bool
	// Models may answer, the cheapest first; empty where the caller names
	// the model.
	Models []string
	// Targets are the services that share the route's requests.
	Targets []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeatable || (r.Kind == KindStream && r.Resumable)
}

// Target is one service with its part of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name string
	// MaxConnections is what one server accepts from all nodes together.
	MaxConnections int
	// Engine is set where the servers run models.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheTokens is an engine's memory for running requests and prompts.
	CacheTokens int
	// Costs are by model, for 1,000 tokens made; read ones count a quarter.
	Costs map[string]float64
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority takes the place of the route's where it is set.
	Priority *int
}

// Limits bound what a client may send. Zero means no bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime bounds the sending of a header, IdleTime how long a
	// connection rests between two requests.
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Catalog is a declaration in force: immutable and indexed.
type Catalog struct {
	document Document
	// byHost holds the routes of each host, those with longer prefixes first.
	byHost   map[string][]*Route
	services map[string]*Service
	byKey    map[string]*Account
}

// Empty returns the catalog before any declaration; its version is zero.
func Empty() *Catalog { return &Catalog{} }

// New checks and indexes a document.
func New(d Document) (*Catalog, error) {
	c := &Catalog{
		document: d,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(d.Services)),
		byKey:    make(map[string]*Account),
	}
	if d.Version <= 0 {
		return nil, errs.New(Invalid, "new", "version %d is not above zero", d.Version)
	}
	for i := range d.Services {
		c.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		if err := c.addRoute(&d.Routes[i]); err != nil {
			return nil, err
		}
	}
	// The longest prefix comes first, so that the first match wins.
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range d.Accounts {
		for _, key := range d.Accounts[i].Keys {
			c.byKey[key] = &d.Accounts[i]
		}
	}
	return c, nil
}

// addRoute checks a route and indexes it by its host.
func (c *Catalog) addRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errs.New(Invalid, "new", "route %s: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Targets) == 0 {
		return errs.New(Invalid, "new", "route %s names no service", r.Name)
	}
	for _, t := range r.Targets {
		if c.services[t.Service] == nil {
			return errs.New(Invalid, "new", "route %s names service %q, which is not declared", r.Name, t.Service)
		}
	}
	host := strings.ToLower(r.Host)
	c.byHost[host] = append(c.byHost[host], r)
	return nil
}

// Version returns the declaration's version; zero for none.
func (c *Catalog) Version() int64 { return c.document.Version }

// Limits returns what bounds clients.
func (c *Catalog) Limits() Limits { return c.document.Limits }

// Match returns the route of a host and path: of the host's routes the one
// with the longest prefix.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range c.byHost[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HasAccounts reports whether any account is declared. Without accounts no
// request needs a key.
func (c *Catalog) HasAccounts() bool { return len(c.document.Accounts) > 0 }

// Account returns the account that holds a key.
func (c *Catalog) Account(key string) (*Account, bool) {
	a, ok := c.byKey[key]
	return a, ok
}

// Service returns a declared service, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Services returns all declared services.
func (c *Catalog) Services() []Service { return c.document.Services }
