package claim_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// The model runs three claimers against three replicas in three data halls,
// one after the other or one inside another's round, with one change of the
// view at any message, and lets the network lose, double or delay messages. It
// is exhaustive: it tries every combination of outcomes of the first messages,
// and holds each against the one promise that the others rest on, that at most
// one claimer wins a key.

// delivery is what the network does with one message.
type delivery int

const (
	delivered delivery = iota
	requestLost
	replyLost
	duplicated
	// delayed messages are delivered after everything else.
	delayed
	deliveryCount
)

var errLost = errors.New("message lost")

// cluster is three replicas, one that replaces another, and the network.
type cluster struct {
	t        *testing.T
	current  *view.View
	changed  chan struct{}
	replicas map[string]*claim.Replica
	dead     map[string]bool
	// script gives the outcome of each claim message in turn; messages beyond
	// it are delivered.
	script []delivery
	// beforeMessage holds what happens before the nth message.
	beforeMessage map[int][]func()
	sent          int
	delayed       []func()
}

func member(name, hall string) view.Member {
	return view.Member{ID: view.MemberID(name, "1"), VM: name, Region: "home", DataHall: hall, Peer: name}
}

func newCluster(t *testing.T, script []delivery) *cluster {
	w := &cluster{
		t:             t,
		changed:       make(chan struct{}),
		replicas:      make(map[string]*claim.Replica),
		dead:          make(map[string]bool),
		script:        script,
		beforeMessage: make(map[int][]func()),
	}
	timers := timer.New()
	t.Cleanup(timers.Close)
	for _, name := range []string{"a", "b", "c", "d"} {
		id := view.MemberID(name, "1")
		w.replicas[id] = claim.NewReplica(id, w, w, timers)
	}
	w.setView(view.Empty().Change([]view.Member{member("a", "north"), member("b", "middle"), member("c", "south")}, nil))
	return w
}

func (w *cluster) setView(v *view.View) {
	w.current = v
	for _, r := range w.replicas {
		r.SetView(v)
	}
	for id, r := range w.replicas {
		if !w.dead[id] {
			claim.Pull(r)
		}
	}
}

func (w *cluster) Current() *view.View      { return w.current }
func (w *cluster) Changed() <-chan struct{} { return closedChan }
func (w *cluster) Dead(m view.Member) bool  { return w.dead[m.ID] }

var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Claim is one message of the model.
func (w *cluster) Claim(_ context.Context, to view.Member, r claim.Request) (claim.Reply, error) {
	at := w.sent
	w.sent++
	for _, happen := range w.beforeMessage[at] {
		happen()
	}
	what := delivered
	if at < len(w.script) {
		what = w.script[at]
	}
	if w.dead[to.ID] {
		return claim.Reply{}, errLost
	}
	replica := w.replicas[to.ID]
	switch what {
	case requestLost:
		return claim.Reply{}, errLost
	case replyLost:
		replica.Claim(r)
		return claim.Reply{}, errLost
	case duplicated:
		reply := replica.Claim(r)
		replica.Claim(r)
		return reply, nil
	case delayed:
		w.delayed = append(w.delayed, func() { replica.Claim(r) })
		return claim.Reply{}, errLost
	default:
		return replica.Claim(r), nil
	}
}

func (w *cluster) Lookup(_ context.Context, to view.Member, r claim.Request) (claim.Reply, error) {
	if w.dead[to.ID] {
		return claim.Reply{}, errLost
	}
	return w.replicas[to.ID].Lookup(r), nil
}

func (w *cluster) Advance(context.Context, view.Member, claim.Entry) error { return nil }

// Release never arrives: the worst that can happen to it.
func (w *cluster) Release(context.Context, view.Member, claim.Key, string, claim.State) error {
	return errLost
}

func (w *cluster) Transfer(_ context.Context, to view.Member, r claim.TransferRequest) (claim.TransferReply, error) {
	if w.dead[to.ID] {
		return claim.TransferReply{}, errLost
	}
	return w.replicas[to.ID].Transfer(r), nil
}

func (w *cluster) claim(name string, override bool) claim.Outcome {
	claimer := claim.NewClaimer(w, w, claim.WithTaskRunner(func(task func()) { task() }))
	e := claim.Entry{Key: claim.Key{Region: "home", Account: "desk", ID: "k"}, Token: name, Holder: claim.Holder{ID: name}, Expires: farFuture}
	try := claimer.Claim
	if override {
		try = claimer.Override
	}
	outcome, err := try(w.t.Context(), e)
	if err != nil {
		return claim.Outcome{}
	}
	return outcome
}

// replaceMember changes the view so that a VM gives way to d.
func (w *cluster) replaceMember(name, hall string) {
	id := view.MemberID(name, "1")
	w.dead[id] = true
	w.setView(w.current.Change([]view.Member{member("d", hall)}, []string{id}))
}

// scenario is one way for things to happen.
type scenario struct {
	script []delivery
	// replaced names the member that d takes the place of, before message
	// changeAt; "" for none.
	replaced string
	changeAt int
	// nested puts the second claimer inside the first's round, before the
	// message nestAt.
	nested bool
	nestAt int
	// override lets the second claimer go past a claim that was not won.
	override bool
}

func (h scenario) run(t *testing.T) []claim.Outcome {
	w := newCluster(t, h.script)
	if h.replaced != "" {
		hall := map[string]string{"a": "north", "b": "middle", "c": "south"}[h.replaced]
		w.beforeMessage[h.changeAt] = append(w.beforeMessage[h.changeAt], func() { w.replaceMember(h.replaced, hall) })
	}
	var second claim.Outcome
	if h.nested {
		w.beforeMessage[h.nestAt] = append(w.beforeMessage[h.nestAt], func() { second = w.claim("second", h.override) })
	}
	first := w.claim("first", false)
	if !h.nested {
		second = w.claim("second", h.override)
	}
	for _, deliver := range w.delayed {
		deliver()
	}
	return []claim.Outcome{first, second, w.claim("third", true)}
}

func TestAtMostOneWins(t *testing.T) {
	slog.SetLogLoggerLevel(slog.LevelError)
	tried, none := 0, 0
	try := func(h scenario) {
		outcomes := h.run(t)
		wins := 0
		for _, o := range outcomes {
			if o.Won {
				wins++
			}
		}
		if wins > 1 {
			t.Fatalf("%d claimers won: %+v", wins, h)
		}
		if wins == 0 {
			none++
		}
		tried++
		checkReportedWinners(t, h.script, outcomes...)
	}
	for _, replaced := range []string{"", "a", "b", "c"} {
		for _, override := range []bool{false, true} {
			for changeAt := range 5 {
				eachScript(4, func(script []delivery) {
					try(scenario{script: script, replaced: replaced, changeAt: changeAt, override: override})
				})
				for nestAt := range 3 {
					eachScript(3, func(script []delivery) {
						try(scenario{script: script, replaced: replaced, changeAt: changeAt, override: override, nested: true, nestAt: nestAt})
					})
				}
			}
		}
	}
	t.Logf("%d histories, nobody won in %d", tried, none)
	must.Greater(t, 10_000, tried)
}

// checkOthers: who is told that another has won, is told the truth.
func checkReportedWinners(t *testing.T, script []delivery, outcomes ...claim.Outcome) {
	t.Helper()
	won := ""
	for i, o := range outcomes {
		if o.Won {
			won = []string{"first", "second", "third"}[i]
		}
	}
	for _, o := range outcomes {
		if o.Other != nil && o.OtherWon && won != "" && o.Other.Holder.ID != won && o.Other.State != claim.StateUnknown {
			t.Fatalf("%s won, and somebody was told that %s has; script %v", won, o.Other.Holder.ID, script)
		}
	}
}

func eachScript(length int, run func([]delivery)) {
	script := make([]delivery, length)
	var fill func(at int)
	fill = func(at int) {
		if at == length {
			run(append([]delivery(nil), script...))
			return
		}
		for o := range deliveryCount {
			script[at] = o
			fill(at + 1)
		}
	}
	fill(0)
}

// TestTwoReplicasLost loses two of three replicas at once: their range may
// have lost claims, and the next claimer is told since when.
func TestTwoReplicasLost(t *testing.T) {
	w := newCluster(t, nil)
	must.True(t, w.claim("first", false).Won)
	for _, name := range []string{"a", "b"} {
		w.dead[view.MemberID(name, "1")] = true
	}
	w.setView(w.current.Change([]view.Member{member("d", "north")}, []string{view.MemberID("a", "1"), view.MemberID("b", "1")}))
	outcome := w.claim("second", false)
	if outcome.Won {
		must.False(t, outcome.LostBefore.IsZero(), must.Sprint("won without a word of the loss"))
	}
}

// TestDataHallLost loses one data hall: nothing is lost, and what was won
// stays won.
func TestDataHallLost(t *testing.T) {
	for _, name := range []string{"a", "b", "c"} {
		t.Run(name, func(t *testing.T) {
			w := newCluster(t, nil)
			must.True(t, w.claim("first", false).Won)
			id := view.MemberID(name, "1")
			w.dead[id] = true
			w.setView(w.current.Change(nil, []string{id}))
			outcome := w.claim("second", true)
			must.False(t, outcome.Won)
			must.NotNil(t, outcome.Other, must.Sprint(fmt.Sprint(outcome)))
			must.Eq(t, "first", outcome.Other.Holder.ID)
			must.True(t, outcome.LostBefore.IsZero())
		})
	}
}
