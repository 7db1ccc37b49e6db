package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Cloud is a stand-in for the platform's interface for usage reports and orders of servers.
// It checks the rules that hold for its callers itself. It is safe for concurrent use.
type Cloud struct {
	// gap is the time within which no two holders may call in turns.
	gap time.Duration

	mu         sync.Mutex
	reports    map[int64]map[string]uint64
	orders     map[CloudSubject]int
	calls      map[string][]cloudCall
	violations []string
	// spotUnavailable makes orders of spot servers be refused.
	spotUnavailable bool
}

// CloudSubject is what an order is about.
type CloudSubject struct {
	Service  string
	DataHall string
	Spot     bool
}

// cloudCall is one accepted call.
type cloudCall struct {
	holder string
	token  int64
	at     time.Time
}

// NewCloud returns a stand-in for which holders may not call in turns within gap.
func NewCloud(gap time.Duration) *Cloud {
	return &Cloud{
		gap:     gap,
		reports: make(map[int64]map[string]uint64),
		orders:  make(map[CloudSubject]int),
		calls:   make(map[string][]cloudCall),
	}
}

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	token, err := strconv.ParseInt(r.Header.Get("X-Fence-Token"), 10, 64)
	holder := r.Header.Get("X-Duty-Holder")
	if err != nil || holder == "" {
		c.violate("call without a holder or a token: %s", r.URL.Path)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var subject string
	status := http.StatusOK
	switch r.URL.Path {
	case "/usage":
		subject, status = c.usage(r)
	case "/scale":
		subject, status = c.scale(r)
	default:
		status = http.StatusNotFound
	}
	if status == http.StatusOK {
		c.record(subject, cloudCall{holder: holder, token: token, at: time.Now()})
	}
	w.WriteHeader(status)
}

func (c *Cloud) usage(r *http.Request) (subject string, status int) {
	var report struct {
		Window int64             `json:"window"`
		Counts map[string]uint64 `json:"replica_counts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&report); err != nil {
		return "", http.StatusBadRequest
	}
	if known, ok := c.reports[report.Window]; ok && !maps.Equal(known, report.Counts) {
		c.violate("window %d reported as %v and %v", report.Window, known, report.Counts)
	}
	c.reports[report.Window] = report.Counts
	return "usage", http.StatusOK
}

func (c *Cloud) scale(r *http.Request) (subject string, status int) {
	var order struct {
		Service string `json:"service"`
		Zone    string `json:"zone"`
		Desired int    `json:"desired"`
		Spot    bool   `json:"spot"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		return "", http.StatusBadRequest
	}
	if order.Spot && c.spotUnavailable {
		return "", http.StatusConflict
	}
	c.orders[CloudSubject{order.Service, order.Zone, order.Spot}] = order.Desired
	return "scale " + order.Service + " " + order.Zone, http.StatusOK
}

// record checks a call against those before it on the same subject. The caller holds mu.
func (c *Cloud) record(subject string, call cloudCall) {
	calls := c.calls[subject]
	other := false
	for i := len(calls) - 1; i >= 0; i-- {
		before := calls[i]
		if before.token > call.token || before.token == call.token && before.holder != call.holder {
			c.violate("%s: token %d of %s after %d of %s", subject, call.token, call.holder, before.token, before.holder)
		}
		if other && before.holder == call.holder && call.at.Sub(before.at) < c.gap {
			c.violate("%s: %s twice within %s, and another holder between", subject, call.holder, call.at.Sub(before.at))
		}
		other = other || before.holder != call.holder
	}
	c.calls[subject] = append(calls, call)
}

// violate records a broken rule. The caller holds mu.
func (c *Cloud) violate(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Reports returns the reported counts by window.
func (c *Cloud) Reports() map[int64]map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.reports)
}

// Orders returns the last orders.
func (c *Cloud) Orders() map[CloudSubject]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.orders)
}

// SetSpotUnavailable makes orders of spot servers be refused, or accepted again.
func (c *Cloud) SetSpotUnavailable(unavailable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spotUnavailable = unavailable
}

// Violations returns the broken rules.
func (c *Cloud) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations
}
