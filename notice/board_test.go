package notice_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/nodelist"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/owner"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// testBoard is a board with what it did.
type testBoard struct {
	*notice.Board
	changes  []notice.Change
	reported []notice.Notice
	// reportedOf holds the hashes of what was reported.
	reportedOf []uint64
	told       []string
	// openers are the nodes for which this one carries connections.
	openers []string
}

func (b *testBoard) Openers(string) []string { return b.openers }

func (b *testBoard) Tell(node string, r notice.Report) {
	b.told = append(b.told, node+" "+r.Kind.String())
}

// withBoard runs a test in synthetic time.
func withBoard(t *testing.T, test func(t *testing.T, b *testBoard)) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		node := (&nodelist.List{}).Add(view.Member{VM: "n"})
		b := &testBoard{}
		b.Board = notice.New(owner.NewRoster(node.Self(), node, timers), timers, notice.WithTunnels(b),
			notice.WithObserver(func(c notice.Change) { b.changes = append(b.changes, c) }),
			notice.WithReporter(func(r notice.Report) {
				b.reported, b.reportedOf = append(b.reported, notice.Notice{Kind: r.Kind, Value: r.Value}), append(b.reportedOf, r.Server)
			}))
		test(t, b)
	})
}

// server is the server of these tests, restarted its next incarnation.
var server, restarted = registry.Server{ID: "s", Born: 1}, registry.Server{ID: "s", Born: 2}

// reports returns a report of another node that a server said something so long ago, or longer ago by the doubt
// at most. The server's limits are known by its ID.
func reports(s registry.Server, k notice.Kind, value float64, age, doubt time.Duration) notice.Report {
	hash := s.Hash()
	if k == notice.KindRequestLimit {
		hash = s.IDHash()
	}
	return notice.Report{Server: hash, Kind: k, Value: value, Age: age, Doubt: doubt}
}

// answers returns an answer with one notice, to a request sent so long ago.
func answers(k notice.Kind, value float64, sentAgo time.Duration) notice.Answer {
	return notice.Answer{Notices: []notice.Notice{{Kind: k, Value: value}}, SentAgo: sentAgo}
}

// TestOlderNewsTakesNothingBack checks that a server leaves from the first answer on that says so,
// until an answer to a later request does not, and that neither older answers nor other nodes change
// that.
func TestOlderNewsTakesNothingBack(t *testing.T) {
	withBoard(t, func(t *testing.T, b *testBoard) {
		b.Observe(server, answers(notice.KindLeaving, 0, 0))
		must.False(t, b.State(&server).Leaving)
		must.SliceEmpty(t, b.changes)
		time.Sleep(time.Second)
		b.Observe(server, answers(notice.KindLeaving, 1, 300*time.Millisecond))
		must.True(t, b.State(&server).Leaving)
		must.False(t, b.State(&restarted).Leaving)
		must.Eq(t, 1, b.Count(notice.KindLeaving))
		time.Sleep(time.Second)
		b.Observe(server, answers(notice.KindLeaving, 0, 2*time.Second))
		must.True(t, b.State(&server).Leaving, must.Sprint("an answer to an earlier request"))
		b.ObserveReport(reports(server, notice.KindLeaving, 0, 0, 0))
		must.True(t, b.State(&server).Leaving, must.Sprint("another node's report"))
		time.Sleep(10 * time.Minute)
		b.Clean()
		must.True(t, b.State(&server).Leaving, must.Sprint("nothing was heard for a while"))
		b.Observe(server, answers(notice.KindLeaving, 0, 500*time.Millisecond))
		must.False(t, b.State(&server).Leaving, must.Sprint("an answer to a later request"))
		b.ObserveReport(reports(server, notice.KindLeaving, 1, time.Second, 0))
		must.False(t, b.State(&server).Leaving, must.Sprint("an older report"))
		must.Eq(t, 0, b.Count(notice.KindLeaving))
		names := []string{}
		for _, c := range b.changes {
			names = append(names, c.Name()+" by "+c.Source.String())
		}
		must.Eq(t, []string{"named by answer", "ended by answer"}, names)
	})
}

// TestLeavingIsForgotten checks that a server that has long ended takes no memory.
func TestLeavingIsForgotten(t *testing.T) {
	withBoard(t, func(t *testing.T, b *testBoard) {
		b.Observe(server, answers(notice.KindLeaving, 1, 0))
		time.Sleep(2 * time.Hour)
		b.Clean()
		must.False(t, b.State(&server).Leaving)
		must.Eq(t, notice.SourceExpiry, b.changes[len(b.changes)-1].Source)
	})
}

// TestLeavingIsReportedOnce checks that the other nodes are told that a server leaves, once by the
// nodes that hear it from the server, and never by those that hear it from others.
func TestLeavingIsReportedOnce(t *testing.T) {
	withBoard(t, func(t *testing.T, b *testBoard) {
		for range 5 {
			b.Observe(server, answers(notice.KindLeaving, 1, 0))
		}
		must.Eq(t, []notice.Notice{{Kind: notice.KindLeaving, Value: 1}}, b.reported)
		b.ObserveReport(reports(restarted, notice.KindLeaving, 1, time.Second, 0))
		must.True(t, b.State(&restarted).Leaving)
		b.Observe(restarted, answers(notice.KindLeaving, 1, 0))
		must.Len(t, 1, b.reported)
		must.Eq(t, time.Second, b.changes[1].Age)
	})
}

// TestReportsAreBounded checks how many servers a node reports when all say at once that they leave.
func TestReportsAreBounded(t *testing.T) {
	withBoard(t, func(t *testing.T, b *testBoard) {
		for i := range 10_000 {
			b.Observe(registry.Server{ID: "s", Born: int64(i)}, answers(notice.KindLeaving, 1, 0))
		}
		must.Eq(t, 10_000, b.Count(notice.KindLeaving))
		must.Len(t, 20, b.reported)
	})
}

// TestOtherEndsOfTunnelsAreTold checks that the node that carried an answer, and those for which this
// one carries connections to the server, are told once what it says.
func TestOtherEndsOfTunnelsAreTold(t *testing.T) {
	withBoard(t, func(t *testing.T, b *testBoard) {
		for range 2 {
			a := answers(notice.KindLeaving, 1, 0)
			a.Carrier = "carrier"
			b.Observe(server, a)
		}
		must.Eq(t, []string{"carrier leaving"}, b.told)
		b.told, b.openers = nil, []string{"opener"}
		b.Observe(restarted, answers(notice.KindRequestLimit, 2, 0))
		must.SliceEmpty(t, b.told)
		b.Observe(restarted, answers(notice.KindLeaving, 1, 0))
		must.Eq(t, []string{"opener leaving"}, b.told)
	})
}

// TestReportThroughTunnel checks what a node believes of the other end of a tunnel.
func TestReportThroughTunnel(t *testing.T) {
	withBoard(t, func(t *testing.T, b *testBoard) {
		b.ObserveTunnel(notice.Report{Server: server.Hash(), Kind: notice.KindLeaving})
		b.ObserveTunnel(notice.Report{Server: server.Hash(), Kind: notice.KindRequestLimit, Value: 2})
		b.ObserveTunnel(notice.Report{Server: server.Hash(), Kind: 200, Value: 2})
		must.SliceEmpty(t, b.changes)
		b.ObserveTunnel(notice.Report{Server: server.Hash(), Kind: notice.KindLeaving, Value: 1, Age: time.Second})
		must.True(t, b.State(&server).Leaving)
		must.Eq(t, notice.SourceTunnel, b.changes[0].Source)
		must.SliceEmpty(t, b.reported)
		must.SliceEmpty(t, b.told)
	})
}

// TestRest checks until when a server wants rest: no answer within that time shortens it, and after it
// the server counts as resting until it has answered a request that was sent since.
func TestRest(t *testing.T) {
	withBoard(t, func(t *testing.T, b *testBoard) {
		began := time.Now()
		until := func() time.Duration { return b.State(&server).RestUntil.Sub(began).Round(time.Millisecond) }
		b.Observe(server, answers(notice.KindRest, 0, 0))
		must.True(t, b.State(&server).RestUntil.IsZero())
		b.Observe(server, answers(notice.KindRest, 3, 0))
		first := until()
		must.Between(t, 3*time.Second, first, 3750*time.Millisecond)
		must.True(t, b.State(&restarted).RestUntil.IsZero())
		time.Sleep(time.Second)
		b.Observe(server, answers(notice.KindRest, 1, 0))
		b.Observe(server, answers(notice.KindRest, 0, 0))
		must.Eq(t, first, until(), must.Sprint("a shorter rest, and an answer without one"))
		b.ObserveTunnel(notice.Report{Server: server.Hash(), Kind: notice.KindRest, Value: 6, Age: 2 * time.Second})
		must.Between(t, 5*time.Second, until(), 6500*time.Millisecond)
		time.Sleep(until())
		must.False(t, b.State(&server).RestUntil.IsZero())
		b.Observe(server, notice.Answer{Notices: []notice.Notice{{Kind: notice.KindRest}}, Probe: true})
		must.False(t, b.State(&server).RestUntil.IsZero(), must.Sprint("an answer to a check"))
		b.Observe(server, answers(notice.KindRest, 0, 10*time.Second))
		must.False(t, b.State(&server).RestUntil.IsZero(), must.Sprint("an answer to a request before the rest"))
		b.Observe(server, answers(notice.KindRest, 0, 0))
		must.True(t, b.State(&server).RestUntil.IsZero())
		must.Eq(t, 0, b.Count(notice.KindRest))
		must.SliceEmpty(t, b.reported, must.Sprint("a rest is between a server and one node"))
	})
}

// TestLongRest checks that a rest of any length is kept to, and that it is forgotten after a while if
// the server gets no request after it.
func TestLongRest(t *testing.T) {
	for _, rest := range []time.Duration{50 * time.Millisecond, time.Minute, 20 * time.Hour} {
		withBoard(t, func(t *testing.T, b *testBoard) {
			b.Observe(server, answers(notice.KindRest, rest.Seconds(), 0))
			time.Sleep(rest - time.Millisecond)
			b.Clean()
			must.True(t, b.State(&server).RestUntil.After(time.Now()))
			time.Sleep(rest/4 + 31*time.Second)
			b.Clean()
			must.True(t, b.State(&server).RestUntil.IsZero())
			must.Eq(t, 0, b.Count(notice.KindRest))
		})
	}
}

// TestRestsEndApart checks that the rests of nodes which a server turned away together end at different
// times.
func TestRestsEndApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		began := time.Now()
		tenths := make(map[int]int)
		for i := range 984 {
			node := (&nodelist.List{}).Add(view.Member{ID: fmt.Sprint("n-", i), VM: fmt.Sprint("n-", i)})
			b := notice.New(owner.NewRoster(node.Self(), node, timers), timers)
			b.Observe(server, answers(notice.KindRest, 4, 0))
			until := b.State(&server).RestUntil.Sub(began)
			must.Between(t, 4*time.Second, until, 5*time.Second)
			tenths[int((until-4*time.Second)/(100*time.Millisecond))]++
		}
		for tenth, nodes := range tenths {
			must.Less(t, 984/5, nodes, must.Sprint("nodes that come back in the tenth ", tenth))
		}
	})
}
