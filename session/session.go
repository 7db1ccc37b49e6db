// Package session keeps each session on its version.
//
// The first request of a session pins the version by a write-once claim, so
// that all nodes follow the pin that won. A pin moves only where the
// declaration lets sessions move off a withdrawn version; the move is a new
// claim, of the session's next generation, so that it too is made once.
//
// # Usage
//
//	version, err := pins.Version(ctx, session.Request{…})
package session

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/timer"
)

var (
	namespace = errs.Namespace("session")

	// Unpinned says that no pin could be made or found.
	Unpinned = namespace.NewType("unpinned")
	// Withdrawn says that the session's version may not be used any more and
	// that the session may not move.
	Withdrawn = namespace.NewType("withdrawn")
)

const (
	// PinTTL of a pin since its last use.
	PinTTL = 30 * time.Minute
	// extendAfter is the age at which a pin in use is extended.
	extendAfter    = PinTTL / 3
	maxGenerations = 16
	// cacheMax bounds the pins that a node remembers.
	cacheMax = 20_000
)

// Claims makes and extends pins.
type Claims interface {
	Claim(ctx context.Context, e claim.Entry) (claim.Outcome, error)
	Override(ctx context.Context, e claim.Entry) (claim.Outcome, error)
	Lookup(ctx context.Context, key claim.Key) (found *claim.Entry, complete bool)
	Advance(ctx context.Context, e claim.Entry) (took, of int)
}

// Request asks for the version of a session.
type Request struct {
	Region  string
	Account string
	Session string
	Model   string
	// Pick chooses a version for a session that has none.
	Pick func() (string, error)
	// Usable reports whether a pinned version may still be used.
	Usable func(version string) bool
	// MayMove allows the session to move off a version that is not usable.
	MayMove bool
}

// Pins is one node's knowledge of the sessions' versions. It is safe for
// concurrent use.
type Pins struct {
	claims Claims
	timers *timer.Service
	holder claim.Holder
	token  func() string

	mu    sync.Mutex
	known map[string]*pin
}

type pin struct {
	version    string
	generation int
	entry      claim.Entry
	extended   time.Time
}

// New returns pins of the node holder.
func New(claims Claims, holder claim.Holder, token func() string, timers *timer.Service) *Pins {
	return &Pins{claims: claims, holder: holder, token: token, timers: timers, known: make(map[string]*pin)}
}

// Version returns the session's version, pinning it if it has none.
func (p *Pins) Version(ctx context.Context, r Request) (string, error) {
	name := r.Account + "/" + r.Session + "/" + r.Model
	generation := 0
	if known := p.lookup(name); known != nil {
		if r.Usable(known.version) {
			p.extend(known)
			return known.version, nil
		}
		generation = known.generation
	}
	for ; generation < maxGenerations; generation++ {
		pinned, err := p.claim(ctx, r, generation)
		if err != nil {
			return "", err
		}
		p.remember(name, pinned)
		if r.Usable(pinned.version) {
			return pinned.version, nil
		}
		if !r.MayMove {
			return "", errs.New(Withdrawn, "version", "session keeps %s@%s, which may not be used", r.Model, pinned.version)
		}
	}
	return "", errs.New(Withdrawn, "version", "session of %s has moved %d times", r.Model, maxGenerations)
}

func (p *Pins) lookup(name string) *pin {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[name]
	if known == nil || p.timers.Now().Sub(known.extended) > PinTTL {
		return nil
	}
	return known
}

func (p *Pins) remember(name string, pinned *pin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.known) >= cacheMax {
		clear(p.known)
	}
	p.known[name] = pinned
}

// claim pins one generation, or finds who has.
func (p *Pins) claim(ctx context.Context, r Request, generation int) (*pin, error) {
	now := p.timers.Now()
	e := claim.Entry{
		Key: claim.Key{
			Region:  r.Region,
			Account: r.Account,
			Kind:    claim.KindPin,
			ID:      fmt.Sprintf("%s/%s~%d", r.Session, r.Model, generation),
		},
		Token:   p.token(),
		Holder:  p.holder,
		State:   claim.StateDone,
		Expires: now.Add(PinTTL),
	}
	version, err := r.Pick()
	if err != nil {
		// Nothing takes new sessions, but this one may be pinned already.
		if found, _ := p.claims.Lookup(ctx, e.Key); found != nil {
			return &pin{version: string(found.Value), generation: generation, entry: *found, extended: now}, nil
		}
		return nil, err
	}
	e.Value = []byte(version)
	outcome, err := p.claims.Claim(ctx, e)
	if err == nil && !outcome.Won && !outcome.OtherWon {
		// The other claim may yet be given up, and a session must not follow
		// a pin that never was: find out, or win in its place.
		outcome, err = p.claims.Override(ctx, e)
	}
	switch {
	case err != nil:
		return nil, errs.Wrap(Unpinned, "claim", err, "session of %s", r.Model)
	case outcome.Won:
		e.Token = outcome.Token
		return &pin{version: version, generation: generation, entry: e, extended: now}, nil
	case !outcome.OtherWon:
		return nil, errs.New(Unpinned, "claim", "session of %s is being pinned elsewhere", r.Model)
	}
	return &pin{version: string(outcome.Other.Value), generation: generation, entry: *outcome.Other, extended: now}, nil
}

// extend prolongs a pin that is in use, beside the request.
func (p *Pins) extend(known *pin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timers.Now()
	if now.Sub(known.extended) < extendAfter {
		return
	}
	known.extended = now
	e := known.entry
	e.Expires = now.Add(PinTTL)
	go p.claims.Advance(context.Background(), e)
}
