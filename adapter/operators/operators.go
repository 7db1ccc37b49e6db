// Package operators is the HTTP server for operators: health, metrics, applying
// and showing configurations, and explaining decisions. It has its own listener,
// apart from that for clients. docs/INTERFACES.md lists the routes.
//
// # Usage
//
//	server := operators.New(operators.Options{…})
//	go server.Serve(listener)
package operators

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/control"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/inbound"
	"github.com/violettally/violettally/ledger"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/view"
)

// Node is what the server needs of its node.
type Node interface {
	// NotReadyReason returns why the node is not ready, or "" if it is.
	NotReadyReason() string
	Config() *config.Snapshot
	Apply(ctx context.Context, c control.Change) (control.Result, error)
	Explain(ctx context.Context, account, requestID string) (decision.Summary, bool)
	View() *view.View
	MemberStatus(id string) string
	Rollouts() map[string]rollout.Progress
	Journals(ctx context.Context) ([]ledger.Snapshot, error)
	NewID() string
}

// Options configures a Server.
type Options struct {
	Node    Node
	Metrics http.Handler
	// BootstrapKey is the digest of the key that may apply the first
	// configuration, before any operator is declared.
	BootstrapKey string
	// HeaderBytes is the largest size of a request's headers.
	HeaderBytes int
	// Budget bounds the memory of requests.
	Budget *inbound.Budget
}

// Server is the HTTP server for operators.
type Server struct {
	Options
	server *http.Server
}

const (
	// maxConns is the largest number of connections.
	maxConns      = 256
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	idleTimeout   = 90 * time.Second
	// bodyBytesPerByte is what each byte of a body takes in memory while it is decoded and checked.
	bodyBytesPerByte   = 4
	operatorContextKey = "operator"
	bootstrapOperator  = "bootstrap"
)

// New returns a server; Serve starts it.
func New(options Options) *Server {
	s := &Server{Options: options}
	e := echo.New()
	e.HideBanner = true
	e.Use(middleware.Recover(), middleware.BodyLimit(strconv.Itoa(2*config.MaxFileBytes)+"B"))
	e.GET("/health", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/ready", s.ready)
	e.GET("/metrics", echo.WrapHandler(options.Metrics))
	v1 := e.Group("/v1", s.authenticate)
	v1.GET("/config", s.showConfig)
	v1.POST("/config", s.apply)
	v1.GET("/explain/:id", s.explain)
	v1.GET("/view", s.showView)
	v1.GET("/rollouts", func(c echo.Context) error { return c.JSON(http.StatusOK, options.Node.Rollouts()) })
	v1.GET("/ledger", s.showLedger)
	s.server = &http.Server{Handler: e, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
	return s
}

// Serve accepts connections on a listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	limits := inbound.Limits{HeadBytes: s.HeaderBytes + inbound.RequestLineBytes, HeadTime: headerTimeout, IdleTime: idleTimeout}
	bounded := s.Budget.Listen(listener, inbound.WithConns(maxConns), inbound.WithLimits(func() inbound.Limits { return limits }))
	err := bounded.Serve(s.server)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops accepting connections and waits until all responses are sent or
// the context ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

func (s *Server) ready(c echo.Context) error {
	if why := s.Node.NotReadyReason(); why != "" {
		return c.String(http.StatusServiceUnavailable, why+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// authenticate sets the operator that the bearer key belongs to. The bootstrap
// key from the settings is valid until there is a first configuration.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		key, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		snapshot := s.Node.Config()
		operator := snapshot.OperatorByKey(key)
		if operator == "" && snapshot.Revision() == 0 && s.BootstrapKey != "" && config.Digest(key) == s.BootstrapKey {
			operator = bootstrapOperator
		}
		if operator == "" {
			return echo.NewHTTPError(http.StatusUnauthorized, "send an operator's key as 'Authorization: Bearer KEY'")
		}
		c.Set(operatorContextKey, operator)
		return next(c)
	}
}

func (s *Server) showConfig(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Node.Config().Document())
}

// ApplyResponse is the response to applying a configuration.
type ApplyResponse struct {
	Revision int64          `json:"revision"`
	ChangeID string         `json:"change_id"`
	By       string         `json:"by"`
	Message  string         `json:"message,omitempty"`
	Faults   []config.Fault `json:"faults,omitempty"`
	Differs  []string       `json:"differs,omitempty"`
}

func (s *Server) apply(c echo.Context) error {
	source, err := io.ReadAll(inbound.ChargeBody(c.Request(), bodyBytesPerByte, 2*config.MaxFileBytes))
	if errorx.IsOfType(err, inbound.NoRoom) {
		c.Response().Header().Set("Retry-After", strconv.Itoa(int(inbound.RetryAfter.Seconds())))
		return c.JSON(http.StatusServiceUnavailable, ApplyResponse{Message: "this node has no room for the file now; nothing was applied"})
	}
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "the body cannot be read")
	}
	change := control.Change{
		ID:       c.QueryParam("change"),
		Operator: c.Get(operatorContextKey).(string),
		File:     c.QueryParam("file"),
		Source:   string(source),
		Expected: control.AnyRevision,
	}
	if change.ID == "" {
		change.ID = s.Node.NewID()
	}
	if expected := c.QueryParam("expect"); expected != "" {
		if change.Expected, err = strconv.ParseInt(expected, 10, 64); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "expect: want a revision, found "+expected)
		}
	}
	if _, faults := config.Parse(change.File, source); len(faults) > 0 {
		return c.JSON(http.StatusUnprocessableEntity, ApplyResponse{Message: "the file has faults; nothing was applied", Faults: faults})
	}
	result, err := s.Node.Apply(c.Request().Context(), change)
	response := ApplyResponse{Revision: result.InForce.Revision, ChangeID: result.InForce.ChangeID, By: result.InForce.By, Differs: result.Differs}
	switch {
	case err == nil:
		return c.JSON(http.StatusOK, response)
	case errorx.IsOfType(err, control.Raced):
		response.Message = err.Error()
		return c.JSON(http.StatusConflict, response)
	default:
		return c.JSON(http.StatusServiceUnavailable, ApplyResponse{ChangeID: change.ID, Message: err.Error()})
	}
}

func (s *Server) explain(c echo.Context) error {
	summary, ok := s.Node.Explain(c.Request().Context(), c.QueryParam("account"), c.Param("id"))
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "no node that answers remembers this request; look for its log line")
	}
	return c.JSON(http.StatusOK, summary)
}

// memberEntry is a member of the view with its status as this node sees it.
type memberEntry struct {
	view.Member
	Status string `json:"status"`
}

func (s *Server) showView(c echo.Context) error {
	v := s.Node.View()
	entries := make([]memberEntry, 0, len(v.Members()))
	for _, m := range v.Members() {
		entries = append(entries, memberEntry{Member: m, Status: s.Node.MemberStatus(m.ID)})
	}
	return c.JSON(http.StatusOK, struct {
		Epoch   int64         `json:"epoch"`
		Members []memberEntry `json:"members"`
	}{v.Epoch(), entries})
}

func (s *Server) showLedger(c echo.Context) error {
	journals, err := s.Node.Journals(c.Request().Context())
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "the platform does not answer")
	}
	return c.JSON(http.StatusOK, struct {
		Totals   map[string]ledger.Sum `json:"totals"`
		Journals []ledger.Snapshot     `json:"journals"`
	}{ledger.Total(journals), journals})
}
