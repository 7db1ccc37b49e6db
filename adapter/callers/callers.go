// Package callers is the door for client accounts: the OpenAI-compatible chat
// API, plain services under a path of their own, requests by id, and the
// addresses of the system's nodes. docs/INTERFACES.md lists the routes.
//
// A name that comes from outside is never used as a key without the account
// that its bearer key belongs to. Bodies, headers, times and connections are
// bounded.
//
// # Usage
//
//	door := callers.New(callers.Options{…})
//	go door.Serve(ctx, listener)
package callers

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"golang.org/x/net/netutil"

	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/dispatch"
	"github.com/violettally/violettally/settings"
)

// Dispatcher takes requests along their path.
type Dispatcher interface {
	Start(ctx context.Context, r *dispatch.Request) (*answer.Exchange, *dispatch.Refusal)
	Find(ctx context.Context, account *config.Account, id string) (*answer.Exchange, *dispatch.Refusal)
	Cancel(ctx context.Context, account *config.Account, id string) (bool, *dispatch.Refusal)
}

// Address is one node that callers may use.
type Address struct {
	Address  string `json:"address"`
	DataHall string `json:"data_hall"`
	Weight   int    `json:"weight"`
}

// Options is what a Door is made of.
type Options struct {
	Dispatcher Dispatcher
	Config     func() *config.Snapshot
	// Configured is closed once a configuration is in force.
	Configured <-chan struct{}
	// Addresses returns the nodes to use, those of the data hall first.
	Addresses  func(dataHall string) []Address
	AddressTTL time.Duration
	Bounds     settings.Bounds
	// RequestTimeout is the deadline of a request that brings none, and the
	// longest that a request may bring.
	RequestTimeout time.Duration
	NewID          func() string
	OnRefusal      func(reason dispatch.Reason, account string)
}

// Server serves callers.
type Server struct {
	Options
	server *http.Server
}

const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 90 * time.Second
	// asyncTimeout is the deadline of patient work that brings none.
	asyncTimeout = time.Hour
)

// New returns a door that is not open yet.
func New(parts Options) *Server {
	d := &Server{Options: parts}
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = d.handleError
	e.Use(middleware.Recover(), middleware.BodyLimit(byteLimit(parts.Bounds.BodyBytes)))
	v1 := e.Group("/v1", d.authenticate)
	v1.GET("/addresses", d.addresses)
	v1.GET("/models", d.models)
	v1.POST("/chat/completions", d.chat)
	v1.GET("/requests/:id", d.fetch)
	v1.DELETE("/requests/:id", d.cancel)
	v1.Any("/services/:service/*", d.service)
	d.server = &http.Server{
		Handler:           e,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    parts.Bounds.HeaderBytes,
	}
	return d
}

// Serve serves callers on a listener until Shutdown.
func (d *Server) Serve(listener net.Listener) error {
	err := d.server.Serve(netutil.LimitListener(listener, d.Bounds.Connections))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// DisableKeepAlives ends each connection after its next answer, so that callers ask
// for addresses again.
func (d *Server) DisableKeepAlives() { d.server.SetKeepAlivesEnabled(false) }

// Shutdown closes the door once every request has its answer.
func (d *Server) Shutdown(ctx context.Context) error { return d.server.Shutdown(ctx) }

const accountContextKey = "account"

// authenticate finds the account of the bearer key.
func (d *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		key := bearerKey(c.Request())
		if key == "" {
			return unauthorized("send the account's key as 'Authorization: Bearer KEY'")
		}
		if !d.awaitConfiguration(c.Request().Context()) {
			refusal := dispatch.NoConfiguration(ranWithoutAccount(c.Request()))
			d.OnRefusal(refusal.Reason(), "")
			return refusal
		}
		account := d.Config().AccountByKey(key)
		if account == nil {
			return unauthorized("no client account has this key")
		}
		c.Set(accountContextKey, account)
		return next(c)
	}
}

// configurationTimeout is how long a request waits for a node that has just started to
// know its accounts: some 70 ms, more where the platform is slow. Clients take a
// refusal of their key for final, and a refusal under an id that they chose
// cannot say whether it ran.
const configurationTimeout = time.Second

// awaitConfiguration reports whether a configuration is in force, once it is or
// the patience is over.
func (d *Server) awaitConfiguration(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	select {
	case <-d.Configured:
		return true
	case <-ctx.Done():
		return false
	}
}

func account(c echo.Context) *config.Account { return c.Get(accountContextKey).(*config.Account) }

func (d *Server) addresses(c echo.Context) error {
	return c.JSON(http.StatusOK, struct {
		Addresses []Address `json:"addresses"`
		TTLMillis int64     `json:"ttl_ms"`
	}{d.Addresses(c.QueryParam("data_hall")), d.AddressTTL.Milliseconds()})
}

// modelEntry is one model as the OpenAI API lists it.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (d *Server) models(c echo.Context) error {
	s := d.Config()
	entries := []modelEntry{}
	for _, name := range dispatch.Models(s, account(c)) {
		entries = append(entries, modelEntry{ID: name, Object: "model", Created: s.Document().AppliedAt.Unix(), OwnedBy: "violettally"})
	}
	return c.JSON(http.StatusOK, struct {
		Object string       `json:"object"`
		Data   []modelEntry `json:"data"`
	}{"list", entries})
}

func (d *Server) chat(c echo.Context) error {
	r, wantsUsage, refusal := d.chatRequest(c)
	if refusal != nil {
		return d.recordRefusal(c, refusal)
	}
	return d.start(c, r, wantsUsage)
}

func (d *Server) service(c echo.Context) error {
	r, refusal := d.serviceRequest(c)
	if refusal != nil {
		return d.recordRefusal(c, refusal)
	}
	return d.start(c, r, false)
}

// start runs a request and gives its answer, or 202 for patient work.
func (d *Server) start(c echo.Context, r *dispatch.Request, wantsUsage bool) error {
	c.Response().Header().Set(requestIDHeader, r.ID)
	x, refusal := d.Dispatcher.Start(c.Request().Context(), r)
	if refusal != nil {
		// Start has counted it.
		return refusal
	}
	if r.Patient {
		return writeAccepted(c, r.ID)
	}
	detach := x.Attach()
	err := writeResponse(c, x, wantsUsage)
	// A caller that is gone and cannot come back needs no answer.
	if last := detach(); last && c.Request().Context().Err() != nil && !r.Given && r.Repeatable() {
		x.Cancel()
	}
	return err
}

// pollInterval is when to ask again for an answer that is not there yet.
const pollInterval = time.Second

func writeAccepted(c echo.Context, id string) error {
	setRetryAfter(c, pollInterval)
	return c.JSON(http.StatusAccepted, struct {
		ID     string `json:"id"`
		Status string `json:"status"`
	}{id, "pending"})
}

func (d *Server) fetch(c echo.Context) error {
	id, refusal := pathID(c)
	if refusal != nil {
		return d.recordRefusal(c, refusal)
	}
	c.Response().Header().Set(requestIDHeader, id)
	x, refusal := d.Dispatcher.Find(c.Request().Context(), account(c), id)
	if refusal != nil {
		return d.recordRefusal(c, refusal)
	}
	if !x.From(0).Done {
		return writeAccepted(c, id)
	}
	return writeResponse(c, x, true)
}

func (d *Server) cancel(c echo.Context) error {
	id, refusal := pathID(c)
	if refusal != nil {
		return d.recordRefusal(c, refusal)
	}
	stopped, refusal := d.Dispatcher.Cancel(c.Request().Context(), account(c), id)
	if refusal != nil {
		return d.recordRefusal(c, refusal)
	}
	return c.JSON(http.StatusOK, struct {
		ID      string `json:"id"`
		Stopped bool   `json:"stopped"`
	}{id, stopped})
}

// recordRefusal counts a refusal that did not come from Start.
func (d *Server) recordRefusal(c echo.Context, refusal *dispatch.Refusal) error {
	d.OnRefusal(refusal.Reason(), account(c).Name)
	return refusal
}
