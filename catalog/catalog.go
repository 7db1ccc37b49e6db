// Package catalog holds the operators' declaration for requests that are
// forwarded unchanged to backend servers: routes, services, client accounts and
// limits.
//
// Package config, in contrast, declares models and versions for the product's
// own API. Where the platform keeps the operators' declarations, an adapter
// decodes them into a [Document]. [New] checks and indexes the whole document,
// or rejects it as a whole.
//
// # Usage
//
//	c, err := catalog.New(document)
//	if err != nil {
//		return err // the previous catalog stays in force
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

	// Invalid is the type of errors about documents that fail the checks.
	Invalid = namespace.NewType("invalid")
)

// Kind tells how often a request of a route may run.
type Kind int

// Kinds of routes.
const (
	// KindOnce may run at most once.
	KindOnce Kind = iota
	// KindRepeatable may run more than once.
	KindRepeatable
	// KindStream gets a stream of events as its response. It may run more than
	// once only if the route is resumable.
	KindStream
)

// Document is one complete declaration. Its fields are exported for the
// adapters that fill them.
type Document struct {
	// Version increases with each declaration.
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route defines where the requests of one host and path prefix are sent.
type Route struct {
	Name string
	// Host is compared without the request's port and regardless of case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request may take, counted from its arrival.
	Timeout time.Duration
	// Objective is the time within which a response, or the first event of a
	// stream, counts as in time.
	Objective time.Duration
	// MaxPause is the longest pause between two events of a stream that counts
	// as in time.
	MaxPause time.Duration
	// Attempts is the maximum number of servers that may run one request.
	Attempts int
	// Priority is the rank of the route; zero is the highest.
	Priority int
	// Anonymous means that requests need no key.
	Anonymous bool
	// Prompted means that requests carry the parts of a prompt, which servers
	// cache.
	Prompted bool
	// Resumable means that a stream can be continued on another server.
	Resumable bool
	// Models are the models that may answer, cheapest first; empty if the
	// client names the model.
	Models []string
	// Targets are the services among which the route's requests are divided.
	Targets []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeatable || (r.Kind == KindStream && r.Resumable)
}

// Target is a service and its share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one server accepts from
	// all nodes together.
	MaxConnections int
	// WarmUp is how long a server warms up after its start, and WarmUpRate the number of
	// requests a second that it bears meanwhile; zero for no limit.
	WarmUp     time.Duration
	WarmUpRate float64
	// Engine is set if the servers run models.
	Engine *Engine
	// Autoscale is set if this system orders the service's servers.
	Autoscale *Autoscale
}

// Autoscale declares how many servers of a service may be ordered, and their prices.
type Autoscale struct {
	// Min and Max bound the number of servers in each data hall.
	Min, Max int
	// StartUp is the time from an order until a new server serves.
	StartUp time.Duration
	// SpotPrice is the price of a spot server as a share of a reserved one's; zero if there
	// are none.
	SpotPrice float64
	// HallPrices is the price of a reserved server in each data hall.
	HallPrices map[string]float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheTokens is the size of an engine's memory for running requests and
	// cached prompts, in tokens.
	CacheTokens int
	// Costs are the costs of 1,000 generated tokens, by model. A prompt token
	// costs a quarter of a generated one.
	Costs map[string]float64
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if it is set.
	Priority *int
}

// Limits restrict what a client may send. Zero means no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime is the longest that sending a header may take, IdleTime how
	// long a connection may be idle between two requests.
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Catalog is a checked and indexed declaration. It is immutable.
type Catalog struct {
	document Document
	// byHost holds the routes of each host, longest prefix first.
	byHost   map[string][]*Route
	services map[string]*Service
	byKey    map[string]*Account
}

// Empty returns the catalog that is in force before any declaration. Its
// version is zero.
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
		s := &d.Services[i]
		if s.WarmUp < 0 || s.WarmUpRate < 0 {
			return nil, errs.New(Invalid, "new", "service %s: warm-up of %s at %g requests a second is negative", s.Name, s.WarmUp, s.WarmUpRate)
		}
		c.services[s.Name] = s
	}
	for i := range d.Routes {
		if err := c.addRoute(&d.Routes[i]); err != nil {
			return nil, err
		}
	}
	// Longest prefix first, so that Match can return the first match.
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

// addRoute checks a route and adds it to its host's routes.
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

// Limits returns the limits for clients.
func (c *Catalog) Limits() Limits { return c.document.Limits }

// Match returns the route of a host and path: the one with the longest prefix
// among the host's routes that match. The host may include a port.
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

// Account returns the account that a key belongs to.
func (c *Catalog) Account(key string) (*Account, bool) {
	a, ok := c.byKey[key]
	return a, ok
}

// Service returns a declared service, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Services returns all declared services.
func (c *Catalog) Services() []Service { return c.document.Services }
