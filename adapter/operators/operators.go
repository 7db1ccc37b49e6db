// Package operators is the door for operators: health, metrics, applying and
// showing configurations, and asking about decisions. It listens apart from
// the callers' door. docs/INTERFACES.md lists the routes.
//
// # Usage
//
//	door := operators.New(operators.Parts{…})
//	go door.Serve(listener)
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
	"github.com/violettally/violettally/ledger"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/view"
)

// Node is what operators ask.
type Node interface {
	// Ready returns why the node is not ready, or "".
	Ready() string
	Config() *config.Snapshot
	Apply(ctx context.Context, c control.Change) (control.Result, error)
	Explain(ctx context.Context, account, requestID string) (decision.Summary, bool)
	View() *view.View
	Status(id string) string
	Rollouts() map[string]rollout.Progress
	Journals(ctx context.Context) ([]ledger.Account, error)
	NewID() string
}

// Parts is what a Door is made of.
type Parts struct {
	Node    Node
	Metrics http.Handler
	// BootstrapKey is the digest of a key that may apply the first
	// configuration, before any operator is declared.
	BootstrapKey string
	HeaderBytes  int
}

// Door serves operators.
type Door struct {
	Parts
	server *http.Server
}

const (
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	operatorKey   = "operator"
	bootstrap     = "bootstrap"
)

// New returns a door that is not open yet.
func New(parts Parts) *Door {
	d := &Door{Parts: parts}
	e := echo.New()
	e.HideBanner = true
	e.Use(middleware.Recover(), middleware.BodyLimit(strconv.Itoa(2*config.MaxFileBytes)+"B"))
	e.GET("/health", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/ready", d.ready)
	e.GET("/metrics", echo.WrapHandler(parts.Metrics))
	v1 := e.Group("/v1", d.authenticate)
	v1.GET("/config", d.showConfig)
	v1.POST("/config", d.apply)
	v1.GET("/explain/:id", d.explain)
	v1.GET("/view", d.showView)
	v1.GET("/rollouts", func(c echo.Context) error { return c.JSON(http.StatusOK, parts.Node.Rollouts()) })
	v1.GET("/ledger", d.showLedger)
	d.server = &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, MaxHeaderBytes: parts.HeaderBytes}
	return d
}

// Serve serves operators on a listener until Shutdown.
func (d *Door) Serve(listener net.Listener) error {
	err := d.server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown closes the door.
func (d *Door) Shutdown(ctx context.Context) error { return d.server.Shutdown(ctx) }

func (d *Door) ready(c echo.Context) error {
	if why := d.Node.Ready(); why != "" {
		return c.String(http.StatusServiceUnavailable, why+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// authenticate finds the operator of the bearer key. Until a configuration
// declares operators, the bootstrap key of the settings counts.
func (d *Door) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		key, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		snapshot := d.Node.Config()
		operator := snapshot.OperatorByKey(key)
		if operator == "" && snapshot.Revision() == 0 && d.BootstrapKey != "" && config.Digest(key) == d.BootstrapKey {
			operator = bootstrap
		}
		if operator == "" {
			return echo.NewHTTPError(http.StatusUnauthorized, "send an operator's key as 'Authorization: Bearer KEY'")
		}
		c.Set(operatorKey, operator)
		return next(c)
	}
}

func (d *Door) showConfig(c echo.Context) error {
	return c.JSON(http.StatusOK, d.Node.Config().Document())
}

// Applied is the answer to an apply.
type Applied struct {
	Revision int64          `json:"revision"`
	ChangeID string         `json:"change_id"`
	By       string         `json:"by"`
	Message  string         `json:"message,omitempty"`
	Faults   []config.Fault `json:"faults,omitempty"`
	Differs  []string       `json:"differs,omitempty"`
}

func (d *Door) apply(c echo.Context) error {
	source, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "the body cannot be read")
	}
	change := control.Change{
		ID:       c.QueryParam("change"),
		Operator: c.Get(operatorKey).(string),
		File:     c.QueryParam("file"),
		Source:   string(source),
		Expected: control.AnyRevision,
	}
	if change.ID == "" {
		change.ID = d.Node.NewID()
	}
	if expected := c.QueryParam("expect"); expected != "" {
		if change.Expected, err = strconv.ParseInt(expected, 10, 64); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "expect: want a revision, found "+expected)
		}
	}
	if _, faults := config.Parse(change.File, source); len(faults) > 0 {
		return c.JSON(http.StatusUnprocessableEntity, Applied{Message: "the file has faults; nothing was applied", Faults: faults})
	}
	result, err := d.Node.Apply(c.Request().Context(), change)
	answer := Applied{Revision: result.InForce.Revision, ChangeID: result.InForce.ChangeID, By: result.InForce.By, Differs: result.Differs}
	switch {
	case err == nil:
		return c.JSON(http.StatusOK, answer)
	case errorx.IsOfType(err, control.Raced):
		answer.Message = err.Error()
		return c.JSON(http.StatusConflict, answer)
	default:
		return c.JSON(http.StatusServiceUnavailable, Applied{ChangeID: change.ID, Message: err.Error()})
	}
}

func (d *Door) explain(c echo.Context) error {
	summary, ok := d.Node.Explain(c.Request().Context(), c.QueryParam("account"), c.Param("id"))
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "no node that answers remembers this request; look for its log line")
	}
	return c.JSON(http.StatusOK, summary)
}

// memberEntry is one member as operators see it.
type memberEntry struct {
	view.Member
	Status string `json:"status"`
}

func (d *Door) showView(c echo.Context) error {
	v := d.Node.View()
	entries := make([]memberEntry, 0, len(v.Members()))
	for _, m := range v.Members() {
		entries = append(entries, memberEntry{Member: m, Status: d.Node.Status(m.ID)})
	}
	return c.JSON(http.StatusOK, struct {
		Epoch   int64         `json:"epoch"`
		Members []memberEntry `json:"members"`
	}{v.Epoch(), entries})
}

func (d *Door) showLedger(c echo.Context) error {
	journals, err := d.Node.Journals(c.Request().Context())
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "the platform does not answer")
	}
	return c.JSON(http.StatusOK, struct {
		Totals   map[string]ledger.Sum `json:"totals"`
		Journals []ledger.Account      `json:"journals"`
	}{ledger.Total(journals), journals})
}
