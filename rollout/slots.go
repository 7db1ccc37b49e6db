package rollout

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/violettally/violettally/internal/rendezvous"
)

// sessionLife is how long after its last request a session is under way; the
// deployments agree on 5 s.
const sessionLife = 5 * time.Second

// slot names a session in few bytes: the upper half of the hash that decides
// its position. Two sessions of one slot are held together, which harms
// neither.
func slot(model, key string) uint32 { return uint32(rendezvous.Hash(model+"/"+key) >> 32) }

// holds reports whether a session stays on the version in service.
func (p *Picker) holds(model, key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held[model][slot(model, key)]
}

// Remember notes a request of a session to a version, if a first stage of the
// given share could move the session.
func (p *Picker) Remember(model, version, key string, share float64) {
	if position(model, key) >= share {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	name := countName(model, version)
	if p.recent[name] == nil {
		p.recent[name] = make(map[uint32]time.Time)
	}
	p.recent[name][slot(model, key)] = time.Now()
}

// recentSlots returns the slots of sessions that are under way on a
// "model@version", and forgets those that are not. The caller holds mu.
func (p *Picker) recentSlots(name string) []uint32 {
	var slots []uint32
	for slot, at := range p.recent[name] {
		if time.Since(at) > sessionLife {
			delete(p.recent[name], slot)
			continue
		}
		slots = append(slots, slot)
	}
	return slots
}

// encodeSlots writes slots in hexadecimal and in order, so that the stages that
// hold them can be compared.
func encodeSlots(slots map[uint32]bool) string {
	texts := make([]string, 0, len(slots))
	for _, slot := range slices.Sorted(maps.Keys(slots)) {
		texts = append(texts, strconv.FormatUint(uint64(slot), 16))
	}
	return strings.Join(texts, ",")
}

// decodeSlots reads what encodeSlots wrote. It passes over what is no slot: the
// worst is a session that moves.
func decodeSlots(text string) map[uint32]bool {
	slots := make(map[uint32]bool)
	for _, field := range strings.Split(text, ",") {
		if slot, err := strconv.ParseUint(field, 16, 32); err == nil {
			slots[uint32(slot)] = true
		}
	}
	return slots
}
