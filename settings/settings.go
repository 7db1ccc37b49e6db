// Package settings loads the settings of one process: its name, its listen
// addresses, its data hall, and the addresses of the platform's services.
// Configuration that all nodes share is in the operators' declarations instead
// (package config).
//
// # Usage
//
//	s, err := settings.Load("node.json")
//	if err != nil {
//		return err // every fault, each with file, line and column
//	}
//	g, err := settings.LoadGateway("gateway.json") // for package gateway
//
// Environment variables override the file of [Load], so that one file can serve
// all VMs of a data hall: VIOLETTALLY_NAME, VIOLETTALLY_DATA_HALL,
// VIOLETTALLY_CALLER_LISTEN and so on. Their names follow from the `env` tags
// below.
package settings

import (
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/caarlos0/env/v11"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/strictjson"
)

var (
	namespace = errs.Namespace("settings")

	// Unreadable means that the settings file cannot be read.
	Unreadable = namespace.NewType("unreadable")
	// Invalid means that the settings were read but are not valid.
	Invalid = namespace.NewType("invalid")
)

// Settings holds the settings of one node. The fields are exported for the
// codecs.
type Settings struct {
	// Name is the VM's name, unique among the running VMs.
	Name     string `json:"name" env:"NAME"`
	Region   string `json:"region" env:"REGION"`
	DataHall string `json:"data_hall" env:"DATA_HALL"`

	Caller   Listener     `json:"caller" envPrefix:"CALLER_"`
	Operator Listener     `json:"operator" envPrefix:"OPERATOR_"`
	Peer     PeerListener `json:"peer" envPrefix:"PEER_"`
	Platform Platform     `json:"platform" envPrefix:"PLATFORM_"`
	Bounds   Bounds       `json:"bounds"`
	Times    Times        `json:"times"`

	// BootstrapKey is the digest of the key that may apply the first
	// configuration, before any operator is declared.
	BootstrapKey string `json:"bootstrap_key" env:"BOOTSTRAP_KEY"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level" env:"LOG_LEVEL"`
}

// Listener is an address that the process listens on. Advertise is the address
// that is published to clients and peers; Listen if empty.
type Listener struct {
	Listen    string `json:"listen" env:"LISTEN"`
	Advertise string `json:"advertise" env:"ADVERTISE"`
}

// Address returns the advertised address.
func (l Listener) Address() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Listen
}

// PeerListener is the listener for other nodes. Without certificates it may only
// listen on a loopback address.
type PeerListener struct {
	Listener
	Certificate string `json:"certificate" env:"CERTIFICATE"`
	Key         string `json:"key" env:"KEY"`
	Authority   string `json:"authority" env:"AUTHORITY"`
}

// Encrypted reports whether peers use mutual TLS.
func (l PeerListener) Encrypted() bool { return l.Certificate != "" }

// Platform holds the URLs of the platform's services.
type Platform struct {
	KeyValue []string `json:"key_value" env:"KEY_VALUE"`
	VMList   string   `json:"vm_list" env:"VM_LIST"`
	Rating   string   `json:"rating" env:"RATING"`
	// Prefix starts all keys of this system in the key-value service.
	Prefix string `json:"prefix" env:"PREFIX"`
}

// Bounds limits the size of requests and responses, in bytes, and the number of
// connections. Zero means the default.
type Bounds struct {
	BodyBytes           int64 `json:"body_bytes"`
	HeaderBytes         int   `json:"header_bytes"`
	Connections         int   `json:"connections"`
	ResponseBytes       int64 `json:"answer_bytes"`
	ResponseMemoryBytes int64 `json:"answer_memory"`
	// RequestMemoryBytes bounds the memory of all requests that are read or served.
	RequestMemoryBytes int64 `json:"request_memory"`
}

// Times holds intervals, timeouts and TTLs in milliseconds. Zero means the
// default.
type Times struct {
	ProbeIntervalMillis  int `json:"probe_ms"`
	AddressTTLMillis     int `json:"address_ttl_ms"`
	RequestTimeoutMillis int `json:"request_ms"`
	ResponseTTLMillis    int `json:"answer_life_ms"`
	FoldMillis           int `json:"fold_ms"`
	VMListIntervalMillis int `json:"vm_list_ms"`
	LoadIntervalMillis   int `json:"load_ms"`
	LeaseTTLMillis       int `json:"lease_ms"`
}

// Defaults of [Bounds] and [Times].
const (
	defaultBodyBytes           = 1 << 20
	defaultHeaderBytes         = 16 << 10
	defaultConnections         = 4096
	defaultResponseBytes       = 1 << 20
	defaultResponseMemoryBytes = 32 << 20
	defaultRequestMemoryBytes  = 128 << 20

	defaultProbeIntervalMillis  = 500
	defaultAddressTTLMillis     = 5_000
	defaultRequestTimeoutMillis = 120_000
	defaultResponseTTLMillis    = 300_000
	defaultFoldMillis           = 5_000
	defaultVMListIntervalMillis = 2_000
	defaultLoadIntervalMillis   = 250
	defaultLeaseTTLMillis       = 5_000
)

func (s *Settings) setDefaults() {
	setDefault(&s.Region, config.DefaultRegion)
	setDefault(&s.LogLevel, "info")
	setDefault(&s.Platform.Prefix, "violettally/")
	setDefault(&s.Bounds.BodyBytes, defaultBodyBytes)
	setDefault(&s.Bounds.HeaderBytes, defaultHeaderBytes)
	setDefault(&s.Bounds.Connections, defaultConnections)
	setDefault(&s.Bounds.ResponseBytes, defaultResponseBytes)
	setDefault(&s.Bounds.ResponseMemoryBytes, defaultResponseMemoryBytes)
	setDefault(&s.Bounds.RequestMemoryBytes, defaultRequestMemoryBytes)
	setDefault(&s.Times.ProbeIntervalMillis, defaultProbeIntervalMillis)
	setDefault(&s.Times.AddressTTLMillis, defaultAddressTTLMillis)
	setDefault(&s.Times.RequestTimeoutMillis, defaultRequestTimeoutMillis)
	setDefault(&s.Times.ResponseTTLMillis, defaultResponseTTLMillis)
	setDefault(&s.Times.FoldMillis, defaultFoldMillis)
	setDefault(&s.Times.VMListIntervalMillis, defaultVMListIntervalMillis)
	setDefault(&s.Times.LoadIntervalMillis, defaultLoadIntervalMillis)
	setDefault(&s.Times.LeaseTTLMillis, defaultLeaseTTLMillis)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Millis converts milliseconds to a duration.
func Millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Load reads a settings file, applies overrides from environment variables and
// validates the result.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errs.Wrap(Unreadable, "load", err, "settings file %s", file)
	}
	return Parse(file, data, readEnvironment())
}

// environmentPrefix starts the names of the environment variables that override
// settings.
const environmentPrefix = "VIOLETTALLY_"

func readEnvironment() map[string]string {
	variables := make(map[string]string)
	for _, pair := range os.Environ() {
		name, value, _ := strings.Cut(pair, "=")
		if strings.HasPrefix(name, environmentPrefix) {
			variables[name] = value
		}
	}
	return variables
}

// Parse is Load with the file's content and environment variables given. The
// file name is used in errors only.
func Parse(file string, data []byte, environment map[string]string) (*Settings, error) {
	s := new(Settings)
	var overrideErr error
	faults := strictjson.Decode(file, data, s, func(report strictjson.Report) {
		overrideErr = env.ParseWithOptions(s, env.Options{Prefix: environmentPrefix, Environment: environment})
		s.setDefaults()
		s.check(report)
	})
	if overrideErr != nil {
		return nil, errs.Wrap(Invalid, "load", overrideErr, "environment variables")
	}
	if len(faults) > 0 {
		return nil, invalidError(file, faults)
	}
	return s, nil
}

func (s *Settings) check(report strictjson.Report) {
	if s.Name == "" {
		report("/name", "want the VM's name, here or in %sNAME", environmentPrefix)
	}
	if s.DataHall == "" {
		report("/data_hall", "want the data hall's name, here or in %sDATA_HALL", environmentPrefix)
	}
	checkListener(report, "/caller", s.Caller)
	checkListener(report, "/operator", s.Operator)
	checkListener(report, "/peer", s.Peer.Listener)
	s.checkPeerListener(report)
	if len(s.Platform.KeyValue) == 0 {
		report("/platform/key_value", "want the URL of the key-value service")
	}
	for _, u := range s.Platform.KeyValue {
		checkURL(report, "/platform/key_value", u)
	}
	checkURL(report, "/platform/vm_list", s.Platform.VMList)
	if s.Platform.Rating != "" {
		checkURL(report, "/platform/rating", s.Platform.Rating)
	}
	if s.BootstrapKey != "" && !config.ValidDigest(s.BootstrapKey) {
		report("/bootstrap_key", "want a digest as printed by `violettally digest`")
	}
	checkLogLevel(report, s.LogLevel)
}

// checkLogLevel reports an unknown log level.
func checkLogLevel(report strictjson.Report, level string) {
	switch level {
	case "debug", "info", "warn", "error":
	default:
		report("/log_level", "want debug, info, warn or error, found %q", level)
	}
}

func (s *Settings) checkPeerListener(report strictjson.Report) {
	l := s.Peer
	allSet := l.Certificate != "" && l.Key != "" && l.Authority != ""
	anySet := l.Certificate != "" || l.Key != "" || l.Authority != ""
	switch {
	case anySet && !allSet:
		report("/peer", "mutual TLS needs certificate, key and authority together")
	case !anySet && !isLoopbackAddress(l.Listen):
		report("/peer/listen", "want a loopback address, since no certificates are set, found %q", l.Listen)
	}
}

func checkListener(report strictjson.Report, path string, l Listener) {
	checkAddress(report, path+"/listen", l.Listen)
	if l.Advertise != "" {
		checkAddress(report, path+"/advertise", l.Advertise)
	}
}

// checkAddress requires an IP address, since the VMs have no DNS names.
func checkAddress(report strictjson.Report, path, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		report(path, "want IP:PORT, found %q", address)
	}
}

func checkURL(report strictjson.Report, path, raw string) {
	u, err := url.Parse(raw)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		report(path, "want an http or https URL, found %q", raw)
	}
}

func isLoopbackAddress(address string) bool {
	host, _, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
