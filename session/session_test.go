package session_test

import (
	"context"
	"errors"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/session"
	"github.com/violettally/violettally/timer"
)

// claims is a write-once table. If pending is set, existing claims are undecided; if
// down is set, no new claim can be made.
type claims struct {
	entries map[string]claim.Entry
	pending bool
	down    bool
}

var errDown = errors.New("down")

func (c *claims) Claim(_ context.Context, e claim.Entry) (claim.Outcome, error) {
	if c.down {
		return claim.Outcome{}, errDown
	}
	existing, ok := c.entries[e.Key.ID]
	if ok {
		return claim.Outcome{Other: &existing, OtherWon: !c.pending}, nil
	}
	c.entries[e.Key.ID] = e
	return claim.Outcome{Won: true, Token: e.Token}, nil
}

func (c *claims) Override(_ context.Context, e claim.Entry) (claim.Outcome, error) {
	c.entries[e.Key.ID] = e
	return claim.Outcome{Won: true, Token: e.Token}, nil
}

func (c *claims) Lookup(_ context.Context, key claim.Key) (*claim.Entry, bool) {
	existing, ok := c.entries[key.ID]
	if !ok {
		return nil, true
	}
	return &existing, true
}

func (c *claims) Advance(context.Context, claim.Entry) (int, int) { return 3, 3 }

// TestVersion lists which version a session is pinned to.
func TestVersion(t *testing.T) {
	pinned := func(version string) map[string]claim.Entry {
		return map[string]claim.Entry{"s/m~0": {Value: []byte(version)}}
	}
	tests := []struct {
		name     string
		claims   claims
		pick     string
		unusable string
		mayMove  bool
		want     string
		err      *errorx.Type
	}{
		{"new session", claims{entries: map[string]claim.Entry{}}, "v2", "", false, "v2", nil},
		{"pinned before", claims{entries: pinned("v1")}, "v2", "", false, "v1", nil},
		{"pinned, no version accepts new sessions", claims{entries: pinned("v1")}, "", "", false, "v1", nil},
		{"withdrawn, may move", claims{entries: pinned("v1")}, "v2", "v1", true, "v2", nil},
		{"withdrawn, may not move", claims{entries: pinned("v1")}, "v2", "v1", false, "", session.Withdrawn},
		{"undecided pin of another claim", claims{entries: pinned("v1"), pending: true}, "v2", "", false, "v2", nil},
		{"replicas unreachable", claims{entries: pinned("v1"), down: true}, "v2", "", false, "", session.Unpinned},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			timers := timer.New()
			defer timers.Close()
			p := session.New(&tt.claims, claim.Holder{}, func() string { return "token" }, timers)
			r := session.Request{
				Region: "home", Account: "desk", Session: "s", Model: "m", MayMove: tt.mayMove,
				Pick: func() (string, error) {
					if tt.pick == "" {
						return "", errDown
					}
					return tt.pick, nil
				},
				Usable: func(version string) bool { return version != tt.unusable },
			}
			for range 2 {
				got, err := p.Version(t.Context(), r)
				if tt.err != nil {
					must.True(t, errorx.IsOfType(err, tt.err), must.Sprint(err))
					continue
				}
				must.NoError(t, err)
				must.Eq(t, tt.want, got)
			}
		})
	}
}
