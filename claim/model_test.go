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

// The model runs three claimers against three replicas in three data halls, one
// after the other or one within another's round. The view changes once, at any
// message, and the network loses, duplicates or delays messages. The model is
// exhaustive: it tries every combination of deliveries of the first messages
// and checks each for the guarantee that the others rest on, that at most one
// claimer wins a key.

// delivery is what the network does with one message.
type delivery int

const (
	delivered delivery = iota
	requestLost
	replyLost
	duplicated
	// delayed messages are delivered after all others.
	delayed
	deliveryCount
)

var errLost = errors.New("message lost")

// cluster is three replicas, a fourth that replaces one of them, and the network.
type cluster struct {
	t        *testing.T
	current  *view.View
	changed  chan struct{}
	replicas map[string]*claim.Replica
	dead     map[string]bool
	// script gives the delivery of each claim message in turn; messages beyond
	// it are delivered.
	script []delivery
	// beforeMessage holds the events before the nth message.
	beforeMessage map[int][]func()
	sent          int
	delayed       []func()
}

func member(name, hall string) view.Member {
	return view.Member{ID: view.MemberID(name, "1"), VM: name, Region: "home", DataHall: hall, Peer: name}
}

func newCluster(t *testing.T, script []delivery) *cluster {
	c := &cluster{
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
		c.replicas[id] = claim.NewReplica(id, c, c, timers)
	}
	c.setView(view.Empty().Change([]view.Member{member("a", "north"), member("b", "middle"), member("c", "south")}, nil))
	return c
}

func (c *cluster) setView(v *view.View) {
	c.current = v
	for _, r := range c.replicas {
		r.SetView(v)
	}
	for id, r := range c.replicas {
		if !c.dead[id] {
			claim.Pull(r)
		}
	}
}

func (c *cluster) Current() *view.View      { return c.current }
func (c *cluster) Changed() <-chan struct{} { return closedChan }
func (c *cluster) Dead(m view.Member) bool  { return c.dead[m.ID] }

var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Claim delivers one claim message as the script says.
func (c *cluster) Claim(_ context.Context, to view.Member, r claim.Request) (claim.Reply, error) {
	at := c.sent
	c.sent++
	for _, event := range c.beforeMessage[at] {
		event()
	}
	how := delivered
	if at < len(c.script) {
		how = c.script[at]
	}
	if c.dead[to.ID] {
		return claim.Reply{}, errLost
	}
	replica := c.replicas[to.ID]
	switch how {
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
		c.delayed = append(c.delayed, func() { replica.Claim(r) })
		return claim.Reply{}, errLost
	default:
		return replica.Claim(r), nil
	}
}

func (c *cluster) Lookup(_ context.Context, to view.Member, r claim.Request) (claim.Reply, error) {
	if c.dead[to.ID] {
		return claim.Reply{}, errLost
	}
	return c.replicas[to.ID].Lookup(r), nil
}

func (c *cluster) Advance(context.Context, view.Member, claim.Entry) error { return nil }

// Release never arrives, which is the worst case.
func (c *cluster) Release(context.Context, view.Member, claim.Key, string, claim.State) error {
	return errLost
}

func (c *cluster) Transfer(_ context.Context, to view.Member, r claim.TransferRequest) (claim.TransferReply, error) {
	if c.dead[to.ID] {
		return claim.TransferReply{}, errLost
	}
	return c.replicas[to.ID].Transfer(r), nil
}

func (c *cluster) claim(name string, override bool) claim.Outcome {
	claimer := claim.NewClaimer(c, c, claim.WithTaskRunner(func(task func()) { task() }))
	e := claim.Entry{Key: claim.Key{Region: "home", Account: "desk", ID: "k"}, Token: name, Holder: claim.Holder{ID: name}, Expires: farFuture}
	try := claimer.Claim
	if override {
		try = claimer.Override
	}
	outcome, err := try(c.t.Context(), e)
	if err != nil {
		return claim.Outcome{}
	}
	return outcome
}

// replaceMember changes the view so that VM d replaces another one.
func (c *cluster) replaceMember(name, hall string) {
	id := view.MemberID(name, "1")
	c.dead[id] = true
	c.setView(c.current.Change([]view.Member{member("d", hall)}, []string{id}))
}

// scenario is one combination of deliveries, view change and order of claimers.
type scenario struct {
	script []delivery
	// replaced names the VM that d replaces before message changeAt; "" for
	// none.
	replaced string
	changeAt int
	// nested runs the second claimer within the first one's round, before
	// message nestAt.
	nested bool
	nestAt int
	// override lets the second claimer override a claim that was not won.
	override bool
}

func (s scenario) run(t *testing.T) []claim.Outcome {
	c := newCluster(t, s.script)
	if s.replaced != "" {
		hall := map[string]string{"a": "north", "b": "middle", "c": "south"}[s.replaced]
		c.beforeMessage[s.changeAt] = append(c.beforeMessage[s.changeAt], func() { c.replaceMember(s.replaced, hall) })
	}
	var second claim.Outcome
	if s.nested {
		c.beforeMessage[s.nestAt] = append(c.beforeMessage[s.nestAt], func() { second = c.claim("second", s.override) })
	}
	first := c.claim("first", false)
	if !s.nested {
		second = c.claim("second", s.override)
	}
	for _, deliver := range c.delayed {
		deliver()
	}
	return []claim.Outcome{first, second, c.claim("third", true)}
}

// TestAtMostOneWins runs the model.
func TestAtMostOneWins(t *testing.T) {
	slog.SetLogLoggerLevel(slog.LevelError)
	tried, none := 0, 0
	try := func(s scenario) {
		outcomes := s.run(t)
		wins := 0
		for _, o := range outcomes {
			if o.Won {
				wins++
			}
		}
		if wins > 1 {
			t.Fatalf("%d claimers won: %+v", wins, s)
		}
		if wins == 0 {
			none++
		}
		tried++
		checkReportedWinners(t, s.script, outcomes...)
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
	t.Logf("%d scenarios, nobody won in %d", tried, none)
	must.Greater(t, 10_000, tried)
}

// checkReportedWinners fails if the outcome of a claimer names another winner than
// the actual one.
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
			t.Fatalf("%s won, but an outcome names %s as the winner; script %v", won, o.Other.Holder.ID, script)
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

// TestTwoReplicasLost loses two of three replicas at once. Claims of their range
// may be lost, and the next claimer has to learn from before which time.
func TestTwoReplicasLost(t *testing.T) {
	c := newCluster(t, nil)
	must.True(t, c.claim("first", false).Won)
	for _, name := range []string{"a", "b"} {
		c.dead[view.MemberID(name, "1")] = true
	}
	c.setView(c.current.Change([]view.Member{member("d", "north")}, []string{view.MemberID("a", "1"), view.MemberID("b", "1")}))
	outcome := c.claim("second", false)
	if outcome.Won {
		must.False(t, outcome.LostBefore.IsZero(), must.Sprint("won without LostBefore"))
	}
}

// TestDataHallLost loses one data hall: no claim is lost, and a won claim stays
// won.
func TestDataHallLost(t *testing.T) {
	for _, name := range []string{"a", "b", "c"} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, nil)
			must.True(t, c.claim("first", false).Won)
			id := view.MemberID(name, "1")
			c.dead[id] = true
			c.setView(c.current.Change(nil, []string{id}))
			outcome := c.claim("second", true)
			must.False(t, outcome.Won)
			must.NotNil(t, outcome.Other, must.Sprint(fmt.Sprint(outcome)))
			must.Eq(t, "first", outcome.Other.Holder.ID)
			must.True(t, outcome.LostBefore.IsZero())
		})
	}
}
