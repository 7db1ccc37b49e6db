// Package session pins each session to a version of its model.
//
// The first request of a session pins the version by a write-once claim, so
// that all nodes use the same version. A session moves to another version only
// if its version is withdrawn and the configuration allows it. The move is a new
// claim with the session's next generation, so that it is also made only once.
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

	// Unpinned means that no pin could be made or found.
	Unpinned = namespace.NewType("unpinned")
	// Withdrawn means that the session's version may no longer be used and
	// that the session may not move to another one.
	Withdrawn = namespace.NewType("withdrawn")
)

const (
	// PinTTL is how long a pin is valid after its last extension.
	PinTTL = 30 * time.Minute
	// extendAfter is the age at which a pin that is used is extended.
	extendAfter = PinTTL / 3
	// maxGenerations bounds how often a session may move.
	maxGenerations = 16
	// maxCachedPins bounds the pins that a node caches.
	maxCachedPins = 20_000
)

// Claims creates, looks up and extends claims.
type Claims interface {
	Claim(ctx context.Context, e claim.Entry) (claim.Outcome, error)
	Override(ctx context.Context, e claim.Entry) (claim.Outcome, error)
	Lookup(ctx context.Context, key claim.Key) (found *claim.Entry, complete bool)
	Advance(ctx context.Context, e claim.Entry) (acked, total int)
}

// Request asks for the version of a session.
type Request struct {
	Region  string
	Account string
	Session string
	Model   string
	// Pick chooses a version for a session that is not pinned.
	Pick func() (string, error)
	// Usable reports whether a pinned version may still be used.
	Usable func(version string) bool
	// MayMove allows the session to move to another version if its own is not
	// usable.
	MayMove bool
}

// Pins pins sessions to versions and caches the pins that this node has seen. It
// is safe for concurrent use.
type Pins struct {
	claims Claims
	timers *timer.Service
	holder claim.Holder
	token  func() string

	mu     sync.Mutex
	cached map[string]*pin
}

type pin struct {
	version    string
	generation int
	entry      claim.Entry
	extendedAt time.Time
}

// New returns Pins with an empty cache. Claims are made in the name of holder; token
// returns the token of a new claim.
func New(claims Claims, holder claim.Holder, token func() string, timers *timer.Service) *Pins {
	return &Pins{claims: claims, holder: holder, token: token, timers: timers, cached: make(map[string]*pin)}
}

// Version returns the version that the session is pinned to, pinning it if it has
// none. Errors are Unpinned, Withdrawn and those of Pick.
func (p *Pins) Version(ctx context.Context, r Request) (string, error) {
	name := r.Account + "/" + r.Session + "/" + r.Model
	generation := 0
	if found := p.cachedPin(name); found != nil {
		if r.Usable(found.version) {
			p.extend(found)
			return found.version, nil
		}
		generation = found.generation
	}
	for ; generation < maxGenerations; generation++ {
		pinned, err := p.claim(ctx, r, generation)
		if err != nil {
			return "", err
		}
		p.cache(name, pinned)
		if r.Usable(pinned.version) {
			return pinned.version, nil
		}
		if !r.MayMove {
			return "", errs.New(Withdrawn, "version", "session keeps %s@%s, which may not be used", r.Model, pinned.version)
		}
	}
	return "", errs.New(Withdrawn, "version", "session of %s has moved %d times", r.Model, maxGenerations)
}

func (p *Pins) cachedPin(name string) *pin {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.cached[name]
	if found == nil || p.timers.Now().Sub(found.extendedAt) > PinTTL {
		return nil
	}
	return found
}

func (p *Pins) cache(name string, pinned *pin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.cached) >= maxCachedPins {
		clear(p.cached)
	}
	p.cached[name] = pinned
}

// claim pins one generation of a session, or returns the existing pin.
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
		// No version accepts new sessions, but this one may be pinned already.
		if found, _ := p.claims.Lookup(ctx, e.Key); found != nil {
			return &pin{version: string(found.Value), generation: generation, entry: *found, extendedAt: now}, nil
		}
		return nil, err
	}
	e.Value = []byte(version)
	outcome, err := p.claims.Claim(ctx, e)
	if err == nil && !outcome.Won && !outcome.OtherWon {
		// The other claim is undecided and may still be released, so its
		// version must not be used yet. Override returns it if it was won,
		// and replaces it otherwise.
		outcome, err = p.claims.Override(ctx, e)
	}
	switch {
	case err != nil:
		return nil, errs.Wrap(Unpinned, "claim", err, "session of %s", r.Model)
	case outcome.Won:
		e.Token = outcome.Token
		return &pin{version: version, generation: generation, entry: e, extendedAt: now}, nil
	case !outcome.OtherWon:
		return nil, errs.New(Unpinned, "claim", "session of %s is being pinned elsewhere", r.Model)
	}
	return &pin{version: string(outcome.Other.Value), generation: generation, entry: *outcome.Other, extendedAt: now}, nil
}

// extend extends a pin that is in use, in the background.
func (p *Pins) extend(used *pin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timers.Now()
	if now.Sub(used.extendedAt) < extendAfter {
		return
	}
	used.extendedAt = now
	e := used.entry
	e.Expires = now.Add(PinTTL)
	go p.claims.Advance(context.Background(), e)
}
