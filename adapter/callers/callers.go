// Package callers is the HTTP server for client accounts. It serves the
// OpenAI-compatible chat API, plain services under their own path, requests by
// id, and the addresses of the system's nodes. docs/INTERFACES.md lists the
// routes.
//
// Names from clients are only used as keys together with the account that the
// bearer key belongs to. The sizes of bodies and headers, the time to read
// them, and the number of connections are limited.
//
// # Usage
//
//	server := callers.New(callers.Options{…})
//	go server.Serve(listener)
package callers

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/dispatch"
	"github.com/violettally/violettally/inbound"
	"github.com/violettally/violettally/settings"
)

// Dispatcher runs requests, finds their responses and cancels them.
type Dispatcher interface {
	Start(ctx context.Context, r *dispatch.Request) (*answer.Response, *dispatch.Refusal)
	Find(ctx context.Context, account *config.Account, id string) (*answer.Response, *dispatch.Refusal)
	Cancel(ctx context.Context, account *config.Account, id string) (bool, *dispatch.Refusal)
}

// Address is a node that clients may send requests to.
type Address struct {
	Address  string `json:"address"`
	DataHall string `json:"data_hall"`
	Weight   int    `json:"weight"`
}

// Options configures a Server.
type Options struct {
	Dispatcher Dispatcher
	Config     func() *config.Snapshot
	// Configured is closed once the node has a configuration.
	Configured <-chan struct{}
	// Addresses returns the nodes that clients may use, those in the given data
	// hall first.
	Addresses  func(dataHall string) []Address
	AddressTTL time.Duration
	Bounds     settings.Bounds
	// Budget bounds the memory of requests.
	Budget *inbound.Budget
	// RequestTimeout is the default timeout of a synchronous request, and the
	// longest that a client may ask for.
	RequestTimeout time.Duration
	// NewID returns an id for a request that the client gave none.
	NewID func() string
	// OnRefusal is called with each refusal but those of Dispatcher.Start, which
	// reports its own. The account is "" if it is not known.
	OnRefusal func(reason dispatch.Reason, account string)
}

// Server is the HTTP server for clients.
type Server struct {
	Options
	server *http.Server
}

const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 90 * time.Second
	// asyncTimeout is the default and longest timeout of an asynchronous request.
	asyncTimeout = time.Hour
)

// New returns a server; Serve starts it.
func New(options Options) *Server {
	s := &Server{Options: options}
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.handleError
	e.Use(middleware.Recover(), middleware.BodyLimit(byteLimit(options.Bounds.BodyBytes)))
	v1 := e.Group("/v1", s.authenticate)
	v1.GET("/addresses", s.addresses)
	v1.GET("/models", s.models)
	v1.POST("/chat/completions", s.chat)
	v1.GET("/requests/:id", s.fetch)
	v1.DELETE("/requests/:id", s.cancel)
	v1.Any("/services/:service/*", s.service)
	s.server = &http.Server{Handler: e}
	return s
}

// Serve accepts connections on a listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	bounded := s.Budget.Listen(listener, inbound.WithConns(s.Bounds.Connections), inbound.WithLimits(s.limits))
	err := bounded.Serve(s.server)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// limits returns the limits for heads and idle connections.
func (s *Server) limits() inbound.Limits {
	return inbound.Limits{HeadBytes: s.Bounds.HeaderBytes + inbound.RequestLineBytes, HeadTime: headerTimeout, IdleTime: idleTimeout}
}

// DisableKeepAlives closes each connection after its next response, so that
// clients ask for addresses again.
func (s *Server) DisableKeepAlives() { s.server.SetKeepAlivesEnabled(false) }

// Shutdown stops accepting connections and waits until all responses are sent or
// the context ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

const accountContextKey = "account"

// authenticate sets the account that the bearer key belongs to.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		key := bearerKey(c.Request())
		if key == "" {
			return unauthorized("send the account's key as 'Authorization: Bearer KEY'")
		}
		if !s.awaitConfiguration(c.Request().Context()) {
			refusal := dispatch.NoConfiguration(ranWithoutAccount(c.Request()))
			s.OnRefusal(refusal.Reason(), "")
			return refusal
		}
		account := s.Config().AccountByKey(key)
		if account == nil {
			return unauthorized("no client account has this key")
		}
		c.Set(accountContextKey, account)
		return next(c)
	}
}

// configurationTimeout is how long a request waits for the first configuration
// of a node that has just started. It arrives after about 70 ms, later if the
// platform is slow. Requests wait because clients don't retry a rejected key,
// and a refusal can't say whether a request with the client's own id ran.
const configurationTimeout = time.Second

// awaitConfiguration waits for a configuration, up to configurationTimeout, and
// reports whether there is one.
func (s *Server) awaitConfiguration(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	select {
	case <-s.Configured:
		return true
	case <-ctx.Done():
		return false
	}
}

func account(c echo.Context) *config.Account { return c.Get(accountContextKey).(*config.Account) }

func (s *Server) addresses(c echo.Context) error {
	return c.JSON(http.StatusOK, struct {
		Addresses []Address `json:"addresses"`
		TTLMillis int64     `json:"ttl_ms"`
	}{s.Addresses(c.QueryParam("data_hall")), s.AddressTTL.Milliseconds()})
}

// modelEntry is a model in the format of the OpenAI API.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) models(c echo.Context) error {
	snapshot := s.Config()
	entries := []modelEntry{}
	for _, name := range dispatch.AllowedModels(snapshot, account(c)) {
		entries = append(entries, modelEntry{ID: name, Object: "model", Created: snapshot.Document().AppliedAt.Unix(), OwnedBy: "violettally"})
	}
	return c.JSON(http.StatusOK, struct {
		Object string       `json:"object"`
		Data   []modelEntry `json:"data"`
	}{"list", entries})
}

func (s *Server) chat(c echo.Context) error {
	r, wantsUsage, refusal := s.chatRequest(c)
	if refusal != nil {
		return s.recordRefusal(c, refusal)
	}
	return s.start(c, r, wantsUsage)
}

func (s *Server) service(c echo.Context) error {
	r, refusal := s.serviceRequest(c)
	if refusal != nil {
		return s.recordRefusal(c, refusal)
	}
	return s.start(c, r, false)
}

// start runs a request and writes its response, or 202 for an asynchronous one.
func (s *Server) start(c echo.Context, r *dispatch.Request, wantsUsage bool) error {
	c.Response().Header().Set(requestIDHeader, r.ID)
	x, refusal := s.Dispatcher.Start(c.Request().Context(), r)
	if refusal != nil {
		// Start has already counted this refusal.
		return refusal
	}
	if r.Async {
		return writeAccepted(c, r.ID)
	}
	detach := x.AddReader()
	err := writeResponse(c, x, wantsUsage)
	// The client has disconnected and has no id with which to fetch the response
	// later, so the run is of no use unless another reader follows it.
	if last := detach(); last && c.Request().Context().Err() != nil && !r.IDFromClient && r.Repeatable() {
		x.Cancel()
	}
	return err
}

// pollInterval is the Retry-After of a response that is not complete yet.
const pollInterval = time.Second

func writeAccepted(c echo.Context, id string) error {
	setRetryAfter(c, pollInterval)
	return c.JSON(http.StatusAccepted, struct {
		ID     string `json:"id"`
		Status string `json:"status"`
	}{id, "pending"})
}

func (s *Server) fetch(c echo.Context) error {
	id, refusal := pathID(c)
	if refusal != nil {
		return s.recordRefusal(c, refusal)
	}
	c.Response().Header().Set(requestIDHeader, id)
	x, refusal := s.Dispatcher.Find(c.Request().Context(), account(c), id)
	if refusal != nil {
		return s.recordRefusal(c, refusal)
	}
	if !x.StateFrom(0).Done {
		return writeAccepted(c, id)
	}
	return writeResponse(c, x, true)
}

func (s *Server) cancel(c echo.Context) error {
	id, refusal := pathID(c)
	if refusal != nil {
		return s.recordRefusal(c, refusal)
	}
	stopped, refusal := s.Dispatcher.Cancel(c.Request().Context(), account(c), id)
	if refusal != nil {
		return s.recordRefusal(c, refusal)
	}
	return c.JSON(http.StatusOK, struct {
		ID      string `json:"id"`
		Stopped bool   `json:"stopped"`
	}{id, stopped})
}

// recordRefusal reports a refusal that did not come from Dispatcher.Start, and
// returns it.
func (s *Server) recordRefusal(c echo.Context, refusal *dispatch.Refusal) error {
	s.OnRefusal(refusal.Reason(), account(c).Name)
	return refusal
}
