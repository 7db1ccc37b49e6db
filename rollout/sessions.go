package rollout

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/violettally/violettally/internal/rendezvous"
)

// sessionTimeout is how long after its last request a session is under way; the
// deployments agree on 5 s.
const sessionTimeout = 5 * time.Second

// sessionHash names a session in few bytes: the upper half of the hash that decides
// its position. Two sessions of one slot are held together, which harms
// neither.
func sessionHash(model, key string) uint32 { return uint32(rendezvous.Hash(model+"/"+key) >> 32) }

// isSticky reports whether a session stays on the version in service.
func (p *Picker) isSticky(model, key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stickySessions[model][sessionHash(model, key)]
}

// maxRecentSessions bounds the sessions that are remembered of a version before those
// that are over are looked for.
const maxRecentSessions = 4096

// sessionActivity is what is known of a session: when it last began or ended a request,
// and how many run.
type sessionActivity struct {
	lastEvent time.Time
	running   int
}

// expired reports whether a session is not under way any more.
func (s sessionActivity) expired() bool {
	return s.running <= 0 && time.Since(s.lastEvent) > sessionTimeout
}

// TrackSession notes that a request of a session to a version begins, with a change
// of 1, or ends, with one of -1, if a first stage of the given share could move
// the session.
func (p *Picker) TrackSession(model, version, key string, share float64, change int) {
	if position(model, key) >= share {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	name := countKey(model, version)
	if p.recentSessions[name] == nil {
		p.recentSessions[name] = make(map[uint32]sessionActivity)
	}
	if len(p.recentSessions[name]) >= maxRecentSessions {
		p.activeSessions(name)
	}
	slot := sessionHash(model, key)
	p.recentSessions[name][slot] = sessionActivity{lastEvent: time.Now(), running: p.recentSessions[name][slot].running + change}
}

// activeSessions returns the slots of sessions that are under way on a
// "model@version", and forgets those that are not. The caller holds mu.
func (p *Picker) activeSessions(name string) []uint32 {
	var slots []uint32
	for slot, s := range p.recentSessions[name] {
		if s.expired() {
			delete(p.recentSessions[name], slot)
			continue
		}
		slots = append(slots, slot)
	}
	return slots
}

// encodeSessions writes slots in hexadecimal and in order, so that the stages that
// hold them can be compared.
func encodeSessions(slots map[uint32]bool) string {
	texts := make([]string, 0, len(slots))
	for _, slot := range slices.Sorted(maps.Keys(slots)) {
		texts = append(texts, strconv.FormatUint(uint64(slot), 16))
	}
	return strings.Join(texts, ",")
}

// decodeSessions reads what encodeSlots wrote. It passes over what is no slot: the
// worst is a session that moves.
func decodeSessions(text string) map[uint32]bool {
	slots := make(map[uint32]bool)
	for _, field := range strings.Split(text, ",") {
		if slot, err := strconv.ParseUint(field, 16, 32); err == nil {
			slots[uint32(slot)] = true
		}
	}
	return slots
}
