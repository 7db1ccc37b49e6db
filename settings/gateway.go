package settings

import (
	"cmp"
	"errors"
	"os"
	"slices"
	"time"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/strictjson"
)

// Gateway holds the settings of a gateway process (package gateway). It runs on a
// platform whose store holds the declarations, the servers and the list of
// nodes. The fields are exported for the codecs.
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
	// Seeds are peer addresses of a few nodes; some may be unreachable.
	Seeds []string `json:"seeds"`

	Store  GatewayStore  `json:"store"`
	Cloud  GatewayCloud  `json:"cloud"`
	Limits GatewayLimits `json:"limits"`
	Bounds GatewayBounds `json:"bounds"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
}

// GatewayStore configures the connection to the platform's store.
type GatewayStore struct {
	Address string `json:"address"`
	// MinLeaseMillis is the shortest lease TTL that the store grants.
	MinLeaseMillis int `json:"min_lease_ms"`
}

// GatewayCloud configures the platform's interface for usage reports and for orders of
// backend servers. Only one node calls it at a time.
type GatewayCloud struct {
	// Address is empty if the platform has no such interface.
	Address string `json:"address"`
	// Duties are the calls that this system has to make: usage and scale.
	Duties []string `json:"duties"`
}

// The values of GatewayCloud.Duties.
const (
	DutyUsage = "usage"
	DutyScale = "scale"
)

// Has reports whether a duty is this system's.
func (c GatewayCloud) Has(duty string) bool {
	return c.Address != "" && slices.Contains(c.Duties, duty)
}

// GatewayLimits are the resource limits of the process on its VM.
type GatewayLimits struct {
	MemoryMB int `json:"memory_mb"`
	// FileDescriptors is the maximum number of open files and connections.
	FileDescriptors int `json:"descriptors"`
	// LinkMbps is the capacity of the VM's network link in Mbit/s.
	LinkMbps float64 `json:"link_mbps"`
}

// MemoryBytes returns the memory of the VM in bytes.
func (l GatewayLimits) MemoryBytes() int64 {
	return int64(cmp.Or(l.MemoryMB, defaultMemoryMB)) << 20
}

// Descriptors returns the maximum number of open files and connections.
func (l GatewayLimits) Descriptors() int { return cmp.Or(l.FileDescriptors, defaultDescriptors) }

// GatewayBounds are the times and ratios agreed with the platform.
type GatewayBounds struct {
	// GraceSeconds is the time between SIGTERM and the forced end of the process.
	GraceSeconds float64 `json:"grace_s"`
	// DrainMillis is the time from the announcement that a server is draining until
	// it must get no more requests.
	DrainMillis float64 `json:"drain_ms"`
	// EvacuationMillis is the time from an operator's order to evacuate a data hall until
	// its servers must get no more requests; zero for none.
	EvacuationMillis float64 `json:"evacuation_ms"`
	// AddressTTLMaxSeconds is the longest time that clients cache addresses.
	AddressTTLMaxSeconds float64 `json:"address_ttl_max_s"`
	// SessionIdleSeconds is the time without requests after which a session
	// ends.
	SessionIdleSeconds float64 `json:"session_s"`
	// CachedSeconds is how long after its last use a part of a prompt is worth
	// caching.
	CachedSeconds float64 `json:"cached_s"`
	// All nodes together may retry the fraction RetryRatio of the requests of a
	// window, plus RetrySlack requests.
	RetryRatio         float64 `json:"retry_ratio"`
	RetryWindowSeconds float64 `json:"retry_window_s"`
	RetrySlack         float64 `json:"retry_slack"`
	// The fraction CanaryShare of a service's requests, plus CanarySlack
	// requests, may reach a version that turns out to be bad.
	CanaryShare float64 `json:"canary_share"`
	CanarySlack float64 `json:"canary_slack"`
	// While a server warms up, all nodes together may send it WarmUpFactor times the
	// requests a second that its service declares, plus WarmUpSlack requests.
	WarmUpFactor float64 `json:"warm_up_factor"`
	WarmUpSlack  float64 `json:"warm_up_slack"`
	// HolderChangeMillis is the time within which no two nodes may make the calls of
	// GatewayCloud in turns.
	HolderChangeMillis float64 `json:"holder_change_ms"`
	// UsageWindowSeconds is the length of the windows whose usage is reported, and
	// UsageLateSeconds how long after the end of one its report is due.
	UsageWindowSeconds float64 `json:"usage_window_s"`
	UsageLateSeconds   float64 `json:"usage_late_s"`
}

const (
	// defaultMemoryMB and defaultDescriptors are assumed for a VM of which the settings say nothing.
	defaultMemoryMB    = 256
	defaultDescriptors = 4096

	defaultGraceSeconds = 8.0
	// defaultMinLeaseMillis is the shortest lease TTL that a gateway requests.
	defaultMinLeaseMillis = 1000
	// defaultRetryRatio limits the extra load during a failure to a tenth.
	defaultRetryRatio = 0.1
	// defaultRetryWindowSeconds is the window over which retries are counted.
	defaultRetryWindowSeconds = 10.0
	// defaultCanaryShare is the share of the first rollout stage.
	defaultCanaryShare = 0.1
	// defaultWarmUpFactor keeps a server that warms up at what its service declares.
	defaultWarmUpFactor = 1.0
	// minUsageWindow is the shortest window whose usage can be collected from all nodes.
	minUsageWindow = time.Second
)

// Grace returns the time between SIGTERM and the forced end of the process.
func (g *Gateway) Grace() time.Duration {
	return time.Duration(g.Bounds.GraceSeconds * float64(time.Second))
}

// Drain returns the time after which a draining server must get no more requests;
// zero if none is set.
func (g *Gateway) Drain() time.Duration {
	return time.Duration(g.Bounds.DrainMillis * float64(time.Millisecond))
}

// Evacuation returns the time after which the servers of an evacuated data hall must get
// no more requests; zero if none is set.
func (g *Gateway) Evacuation() time.Duration {
	return time.Duration(g.Bounds.EvacuationMillis * float64(time.Millisecond))
}

// HolderChange returns the time within which no two nodes may make the calls of GatewayCloud
// in turns.
func (g *Gateway) HolderChange() time.Duration {
	return time.Duration(g.Bounds.HolderChangeMillis * float64(time.Millisecond))
}

// UsageWindow returns the length of the windows whose usage is reported.
func (g *Gateway) UsageWindow() time.Duration {
	return time.Duration(g.Bounds.UsageWindowSeconds * float64(time.Second))
}

// UsageLate returns how long after the end of a window its usage report is due.
func (g *Gateway) UsageLate() time.Duration {
	return time.Duration(g.Bounds.UsageLateSeconds * float64(time.Second))
}

// setDefaults fills in the fields that the file leaves out.
func (g *Gateway) setDefaults() {
	setDefault(&g.LogLevel, "info")
	setDefault(&g.Bounds.GraceSeconds, defaultGraceSeconds)
	setDefault(&g.Bounds.RetryRatio, defaultRetryRatio)
	setDefault(&g.Bounds.RetryWindowSeconds, defaultRetryWindowSeconds)
	setDefault(&g.Bounds.CanaryShare, defaultCanaryShare)
	setDefault(&g.Bounds.WarmUpFactor, defaultWarmUpFactor)
	setDefault(&g.Store.MinLeaseMillis, defaultMinLeaseMillis)
}

// check reports settings that a gateway cannot run with.
func (g *Gateway) check(report strictjson.Report) {
	checkName(report, "/name", "the VM's name", g.Name)
	checkName(report, "/data_hall", "the data hall's name", g.DataHall)
	checkListener(report, "/caller", g.Caller)
	checkListener(report, "/ready", g.Ready)
	checkListener(report, "/directory", g.Directory)
	checkListener(report, "/peer", g.Peer)
	checkListener(report, "/metrics", g.Metrics)
	checkAddress(report, "/store/address", g.Store.Address)
	if g.Limits.MemoryMB < 0 || g.Limits.FileDescriptors < 0 {
		report("/limits", "want a memory and descriptors of zero or more, found %d and %d", g.Limits.MemoryMB, g.Limits.FileDescriptors)
	}
	if g.Bounds.RetryRatio < 0 {
		report("/bounds/retry_ratio", "want a share of zero or more, found %g", g.Bounds.RetryRatio)
	}
	if g.Bounds.WarmUpFactor < 0 || g.Bounds.WarmUpSlack < 0 {
		report("/bounds/warm_up_factor", "want a factor and a slack of zero or more, found %g and %g", g.Bounds.WarmUpFactor, g.Bounds.WarmUpSlack)
	}
	if g.Bounds.EvacuationMillis < 0 {
		report("/bounds/evacuation_ms", "want a time of zero or more, found %g", g.Bounds.EvacuationMillis)
	}
	if g.Cloud.Address != "" {
		checkAddress(report, "/cloud/address", g.Cloud.Address)
	}
	for _, duty := range g.Cloud.Duties {
		if duty != DutyUsage && duty != DutyScale {
			report("/cloud/duties", "want %s or %s, found %q", DutyUsage, DutyScale, duty)
		}
	}
	if g.Cloud.Has(DutyUsage) && (g.UsageWindow() < minUsageWindow || g.Bounds.UsageLateSeconds <= 0) {
		report("/bounds/usage_window_s", "want windows of %g s or more and a time above zero for their reports, found %g and %g",
			minUsageWindow.Seconds(), g.Bounds.UsageWindowSeconds, g.Bounds.UsageLateSeconds)
	}
	if g.Bounds.HolderChangeMillis < 0 {
		report("/bounds/holder_change_ms", "want a time of zero or more, found %g", g.Bounds.HolderChangeMillis)
	}
	if g.Bounds.CanaryShare <= 0 || g.Bounds.CanaryShare > 1 {
		report("/bounds/canary_share", "want a share above 0 and up to 1, found %g", g.Bounds.CanaryShare)
	}
	checkLogLevel(report, g.LogLevel)
}

// maxNameBytes bounds names of which keys in the platform's store contain two.
const maxNameBytes = 96

// checkName reports a name that is missing or too long.
func checkName(report strictjson.Report, path, what, name string) {
	if name == "" || len(name) > maxNameBytes {
		report(path, "want %s, of 1 to %d bytes, found %d", what, maxNameBytes, len(name))
	}
}

// LoadGateway reads and validates a gateway's settings file.
func LoadGateway(file string) (*Gateway, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errs.Wrap(Unreadable, "load", err, "settings file %s", file)
	}
	g := new(Gateway)
	faults := strictjson.Decode(file, data, g, func(report strictjson.Report) {
		g.setDefaults()
		g.check(report)
	})
	if len(faults) > 0 {
		return nil, invalidError(file, faults)
	}
	return g, nil
}

// invalidError returns one error that lists all faults of a file, one per line.
func invalidError(file string, faults []strictjson.Fault) error {
	lines := make([]error, len(faults))
	for i, f := range faults {
		lines[i] = errors.New(f.String())
	}
	return errs.Wrap(Invalid, "load", errors.Join(lines...), "settings file %s has %d faults", file, len(faults))
}
