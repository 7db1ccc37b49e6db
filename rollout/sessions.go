package rollout

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/violettally/violettally/internal/rendezvous"
)

// sessionTimeout is how long a session stays active after its last request. The
// deployments agree on 5 s.
const sessionTimeout = 5 * time.Second

// sessionHash returns a short identifier of a session: the upper half of the hash
// that determines its position. If two sessions collide, both are sticky, which
// does no harm.
func sessionHash(model, key string) uint32 { return uint32(rendezvous.Hash(model+"/"+key) >> 32) }

// isSticky reports whether a session must stay on the version in service.
func (p *Picker) isSticky(model, key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stickySessions[model][sessionHash(model, key)]
}

// maxRecentSessions is the number of sessions of a version above which expired
// ones are removed before another is added.
const maxRecentSessions = 4096

// sessionActivity holds when a session last began or ended a request, and how many
// of its requests are running.
type sessionActivity struct {
	lastEvent time.Time
	running   int
}

// expired reports whether a session is no longer active.
func (s sessionActivity) expired() bool {
	return s.running <= 0 && time.Since(s.lastEvent) > sessionTimeout
}

// TrackSession records that a request of a session to a version begins (change 1)
// or ends (change -1). It ignores sessions that a first stage of the given share
// could not move.
func (p *Picker) TrackSession(model, version, key string, share float64, change int) {
	if position(model, key) >= share {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	versionKey := countKey(model, version)
	if p.recentSessions[versionKey] == nil {
		p.recentSessions[versionKey] = make(map[uint32]sessionActivity)
	}
	if len(p.recentSessions[versionKey]) >= maxRecentSessions {
		p.activeSessions(versionKey)
	}
	hash := sessionHash(model, key)
	p.recentSessions[versionKey][hash] = sessionActivity{lastEvent: time.Now(), running: p.recentSessions[versionKey][hash].running + change}
}

// activeSessions returns the hashes of the active sessions of a "model@version"
// and removes the expired ones. The caller must hold mu.
func (p *Picker) activeSessions(key string) []uint32 {
	var hashes []uint32
	for hash, s := range p.recentSessions[key] {
		if s.expired() {
			delete(p.recentSessions[key], hash)
			continue
		}
		hashes = append(hashes, hash)
	}
	return hashes
}

// maxStickySessions bounds the sessions that are held back in one rollout. The others may change their version.
const maxStickySessions = 16384

// encodeSessions encodes session hashes as a sorted, comma-separated list of
// hexadecimal numbers. The order makes equal sets compare equal.
func encodeSessions(hashes map[uint32]bool) string {
	sorted := slices.Sorted(maps.Keys(hashes))
	sorted = sorted[:min(len(sorted), maxStickySessions)]
	texts := make([]string, 0, len(sorted))
	for _, hash := range sorted {
		texts = append(texts, strconv.FormatUint(uint64(hash), 16))
	}
	return strings.Join(texts, ",")
}

// decodeSessions decodes the output of encodeSessions. It skips invalid entries:
// at worst, a session changes its version.
func decodeSessions(text string) map[uint32]bool {
	hashes := make(map[uint32]bool)
	for _, field := range strings.Split(text, ",") {
		if hash, err := strconv.ParseUint(field, 16, 32); err == nil {
			hashes[uint32(hash)] = true
		}
	}
	return hashes
}
