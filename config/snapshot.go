package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/violettally/violettally/internal/strictjson"
)

// Document is a configuration as stored in the platform's key-value service.
// ChangeID is unique to each apply, so that an operator who got no response can
// read the document back and see whether the write took effect.
type Document struct {
	Revision  int64     `json:"revision"`
	ChangeID  string    `json:"change_id"`
	By        string    `json:"by"`
	AppliedAt time.Time `json:"applied_at"`
	File      string    `json:"file"`
	Source    string    `json:"source"`
}

// Snapshot is an immutable, indexed configuration. Revision zero means that no
// configuration has been applied yet.
type Snapshot struct {
	document Document
	config   *Config
	accounts map[string]*Account
	models   map[string]*Model
	cascades map[string]*Cascade
	pools    map[string]*Pool
	// serversInUse holds the servers of each pool whose data hall is not evacuated.
	serversInUse map[string][]Server
	services     map[string]*Service
	keys         map[string]keyOwner
}

type keyOwner struct {
	account  *Account
	operator string
}

// NewSnapshot parses and indexes a stored document. It returns the faults of a
// document that was stored without validation.
func NewSnapshot(d Document) (*Snapshot, []Fault) {
	c, faults := Parse(d.File, []byte(d.Source))
	if len(faults) > 0 {
		return nil, faults
	}
	s := &Snapshot{
		document:     d,
		config:       c,
		accounts:     make(map[string]*Account),
		models:       make(map[string]*Model),
		cascades:     make(map[string]*Cascade),
		pools:        make(map[string]*Pool),
		serversInUse: make(map[string][]Server),
		services:     make(map[string]*Service),
		keys:         make(map[string]keyOwner),
	}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		s.accounts[a.Name] = a
		for _, digest := range a.Keys {
			s.keys[digest] = keyOwner{account: a}
		}
	}
	for _, o := range c.Operators {
		for _, digest := range o.Keys {
			s.keys[digest] = keyOwner{operator: o.Name}
		}
	}
	for i := range c.Models {
		s.models[c.Models[i].Name] = &c.Models[i]
	}
	for i := range c.Cascades {
		s.cascades[c.Cascades[i].Name] = &c.Cascades[i]
	}
	for i := range c.Pools {
		s.pools[c.Pools[i].Name] = &c.Pools[i]
		s.serversInUse[c.Pools[i].Name] = slices.DeleteFunc(slices.Clone(c.Pools[i].Servers), func(server Server) bool {
			return slices.Contains(c.EvacuatedHalls, server.DataHall)
		})
	}
	for i := range c.Services {
		s.services[c.Services[i].Name] = &c.Services[i]
	}
	return s, nil
}

// Empty returns the snapshot used until the first configuration is known.
func Empty() *Snapshot { return &Snapshot{config: new(Config)} }

// Document returns the document from which the snapshot was made.
func (s *Snapshot) Document() Document { return s.document }

// Revision returns the revision; zero before the first configuration.
func (s *Snapshot) Revision() int64 { return s.document.Revision }

// Models returns the declared models in file order.
func (s *Snapshot) Models() []Model { return s.config.Models }

// Cascades returns the declared cascades in file order.
func (s *Snapshot) Cascades() []Cascade { return s.config.Cascades }

// Pools returns the declared pools in file order.
func (s *Snapshot) Pools() []Pool { return s.config.Pools }

// Accounts returns the declared client accounts in file order.
func (s *Snapshot) Accounts() []Account { return s.config.Accounts }

// Account returns the named client account, or nil.
func (s *Snapshot) Account(name string) *Account { return s.accounts[name] }

// Model returns the named model, or nil.
func (s *Snapshot) Model(name string) *Model { return s.models[name] }

// Cascade returns the named cascade, or nil.
func (s *Snapshot) Cascade(name string) *Cascade { return s.cascades[name] }

// Pool returns the named pool, or nil.
func (s *Snapshot) Pool(name string) *Pool { return s.pools[name] }

// Service returns the named plain service, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// AccountByKey returns the client account that owns a key, or nil.
func (s *Snapshot) AccountByKey(key string) *Account { return s.keys[Digest(key)].account }

// OperatorByKey returns the name of the operator who owns a key, or "".
func (s *Snapshot) OperatorByKey(key string) string { return s.keys[Digest(key)].operator }

// Allows reports whether an account may use a version of a model, either
// directly or through the given cascade.
func (s *Snapshot) Allows(account *Account, cascade, model, version string) bool {
	for _, ref := range account.Models {
		name, pinned, isPinned := strings.Cut(ref, "@")
		switch {
		case name == model && (!isPinned || pinned == version):
			return true
		case cascade != "" && name == cascade:
			return true
		}
	}
	return false
}

// Version returns a version of a model, or nil.
func (s *Snapshot) Version(model, version string) *Version {
	m := s.models[model]
	if m == nil {
		return nil
	}
	return m.version(version)
}

func (m *Model) version(name string) *Version {
	for i := range m.Versions {
		if m.Versions[i].Name == name {
			return &m.Versions[i]
		}
	}
	return nil
}

// InService returns the version in service, or nil.
func (m *Model) InService() *Version {
	for i := range m.Versions {
		if m.Versions[i].State == VersionInService {
			return &m.Versions[i]
		}
	}
	return nil
}

// EngineName returns the name of the version at the engine.
func (v *Version) EngineName(model string) string {
	if v.EngineModel != "" {
		return v.EngineModel
	}
	return model + "@" + v.Name
}

// Call returns the matching declared call with the longest path prefix, or nil.
func (s *Service) Call(method, path string) *Call {
	var best *Call
	for i := range s.Calls {
		c := &s.Calls[i]
		if c.Method != method || !strings.HasPrefix(path, c.Path) {
			continue
		}
		if best == nil || len(c.Path) > len(best.Path) {
			best = c
		}
	}
	return best
}

// Servers returns the servers of the named pool that may get requests: those whose data hall
// is not evacuated.
func (s *Snapshot) Servers(pool string) []Server { return s.serversInUse[pool] }

const digestPrefix = "sha256:"

var validDigestPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)

// Digest returns the form of a key that is stored in a declaration. Keys are
// random tokens, not passwords, so a plain hash is enough.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return digestPrefix + hex.EncodeToString(sum[:])
}

// ValidDigest reports whether s has the form that [Digest] returns.
func ValidDigest(s string) bool { return validDigestPattern.MatchString(s) }

// Diff returns the sorted JSON pointers (RFC 6901) at which two declaration
// files differ. It shows an operator what a conflicting apply changed. If a file
// cannot be parsed, it returns the root pointer.
func Diff(before, after string) []string {
	var a, b any
	if json.Unmarshal(strictjson.Standardize([]byte(before)), &a) != nil || json.Unmarshal(strictjson.Standardize([]byte(after)), &b) != nil {
		return []string{""}
	}
	var paths []string
	diffValue("", a, b, &paths)
	sort.Strings(paths)
	return paths
}

func diffValue(path string, a, b any, paths *[]string) {
	switch a := a.(type) {
	case map[string]any:
		if b, ok := b.(map[string]any); ok {
			diffObject(path, a, b, paths)
			return
		}
	case []any:
		if b, ok := b.([]any); ok && len(a) == len(b) {
			for i := range a {
				diffValue(fmt.Sprintf("%s/%d", path, i), a[i], b[i], paths)
			}
			return
		}
	default:
		if a == b {
			return
		}
	}
	*paths = append(*paths, path)
}

func diffObject(path string, a, b map[string]any, paths *[]string) {
	names := make(map[string]bool, len(a))
	for name := range a {
		names[name] = true
	}
	for name := range b {
		names[name] = true
	}
	for name := range names {
		at := path + "/" + strictjson.EscapePointer(name)
		va, inA := a[name]
		vb, inB := b[name]
		if inA != inB {
			*paths = append(*paths, at)
			continue
		}
		diffValue(at, va, vb, paths)
	}
}
