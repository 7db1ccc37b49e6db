package settings

import (
	"errors"
	"os"
	"time"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/strictjson"
)

// Gateway is what a process is told that passes requests through on a
// platform which keeps the declarations, the servers and the nodes' list
// (package gateway). The fields are exported for the codecs.
type Gateway struct {
	Name     string `json:"name"`
	Region   string `json:"region"`
	DataHall string `json:"data_hall"`
	// DataHallRegions maps each data hall to its region.
	DataHallRegions map[string]string `json:"halls"`

	Caller    Listener `json:"caller"`
	Ready     Listener `json:"ready"`
	Directory Listener `json:"directory"`
	Peer      Listener `json:"peer"`
	Metrics   Listener `json:"metrics"`
	// Seeds are peer addresses of a few nodes; some may be gone.
	Seeds []string `json:"seeds"`

	Store  GatewayStore  `json:"store"`
	Limits GatewayLimits `json:"limits"`
	Bounds GatewayBounds `json:"bounds"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
}

// GatewayStore says where the platform's store is.
type GatewayStore struct {
	Address string `json:"address"`
	// MinLeaseMillis is the shortest lease that the store grants.
	MinLeaseMillis int `json:"min_lease_ms"`
}

// GatewayLimits are what the VM gives the process.
type GatewayLimits struct {
	MemoryMB int `json:"memory_mb"`
	// FileDescriptors is the number of files and connections.
	FileDescriptors int `json:"descriptors"`
}

// GatewayBounds are the platform's agreed times and shares.
type GatewayBounds struct {
	// GraceSeconds lie between the signal to stop and the end by force.
	GraceSeconds float64 `json:"grace_s"`
	// DrainMillis after a server's leave is known it must get no requests.
	DrainMillis float64 `json:"drain_ms"`
	// AddressTTLMaxSeconds is the longest that clients keep addresses.
	AddressTTLMaxSeconds float64 `json:"address_ttl_max_s"`
	// SessionIdleSeconds without a request end a session.
	SessionIdleSeconds float64 `json:"session_s"`
	// CachedSeconds after its last use a prompt's part is worth keeping.
	CachedSeconds float64 `json:"cached_s"`
	// RetryRatio of the requests of a window, and RetrySlack more, may be
	// sent again, over all nodes.
	RetryRatio         float64 `json:"retry_ratio"`
	RetryWindowSeconds float64 `json:"retry_window_s"`
	RetrySlack         float64 `json:"retry_slack"`
	// CanaryShare of a service's requests, and CanarySlack more, may reach a
	// version that turns out to be bad.
	CanaryShare float64 `json:"canary_share"`
	CanarySlack float64 `json:"canary_slack"`
}

const (
	// defaultGraceSeconds in seconds is used where the platform names none.
	defaultGraceSeconds = 8.0
	// defaultMinLeaseMillis in milliseconds is the shortest lease asked for.
	defaultMinLeaseMillis = 1000
	// defaultRetryRatio is careful: a tenth more load in a failure.
	defaultRetryRatio = 0.1
	// defaultRetryWindowSeconds is the time in seconds over which repeats are counted.
	defaultRetryWindowSeconds = 10.0
	// defaultCanaryShare is the share of a first stage.
	defaultCanaryShare = 0.1
)

// Grace is the time between the signal to stop and the end by force.
func (g *Gateway) Grace() time.Duration {
	return time.Duration(g.Bounds.GraceSeconds * float64(time.Second))
}

// Drain is the agreed time after which a server that leaves gets no requests; zero if
// none is.
func (g *Gateway) Drain() time.Duration {
	return time.Duration(g.Bounds.DrainMillis * float64(time.Millisecond))
}

// setDefaults fills in what the file leaves out.
func (g *Gateway) setDefaults() {
	setDefault(&g.LogLevel, "info")
	setDefault(&g.Bounds.GraceSeconds, defaultGraceSeconds)
	setDefault(&g.Bounds.RetryRatio, defaultRetryRatio)
	setDefault(&g.Bounds.RetryWindowSeconds, defaultRetryWindowSeconds)
	setDefault(&g.Bounds.CanaryShare, defaultCanaryShare)
	setDefault(&g.Store.MinLeaseMillis, defaultMinLeaseMillis)
}

// check reports what a gateway cannot run with.
func (g *Gateway) check(fault strictjson.Report) {
	if g.Name == "" {
		fault("/name", "want the VM's name")
	}
	if g.DataHall == "" {
		fault("/data_hall", "want the data hall's name")
	}
	checkListener(fault, "/caller", g.Caller)
	checkListener(fault, "/ready", g.Ready)
	checkListener(fault, "/directory", g.Directory)
	checkListener(fault, "/peer", g.Peer)
	checkListener(fault, "/metrics", g.Metrics)
	checkAddress(fault, "/store/address", g.Store.Address)
	if g.Bounds.RetryRatio < 0 {
		fault("/bounds/retry_ratio", "want a share of zero or more, found %g", g.Bounds.RetryRatio)
	}
	if g.Bounds.CanaryShare <= 0 || g.Bounds.CanaryShare > 1 {
		fault("/bounds/canary_share", "want a share above 0 and up to 1, found %g", g.Bounds.CanaryShare)
	}
	checkLogLevel(fault, g.LogLevel)
}

// LoadGateway reads and checks a gateway's settings file.
func LoadGateway(file string) (*Gateway, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errs.Wrap(Unreadable, "load", err, "settings file %s", file)
	}
	g := new(Gateway)
	faults := strictjson.Decode(file, data, g, func(fault strictjson.Report) {
		g.setDefaults()
		g.check(fault)
	})
	if len(faults) > 0 {
		return nil, invalidError(file, faults)
	}
	return g, nil
}

// invalidError makes one error of all faults of a file, a line each.
func invalidError(file string, faults []strictjson.Fault) error {
	lines := make([]error, len(faults))
	for i, f := range faults {
		lines[i] = errors.New(f.String())
	}
	return errs.Wrap(Invalid, "load", errors.Join(lines...), "settings file %s has %d faults", file, len(faults))
}
