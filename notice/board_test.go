package notice_test

import (
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
	told     []string
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
			notice.WithReporter(func(_ uint64, n notice.Notice) { b.reported = append(b.reported, n) }))
		test(t, b)
	})
}

// server is the server of these tests, restarted its next incarnation.
var server, restarted = registry.Server{ID: "s", Born: 1}, registry.Server{ID: "s", Born: 2}

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
		b.ObserveReport(server.Hash(), notice.Notice{Kind: notice.KindLeaving}, 0)
		must.True(t, b.State(&server).Leaving, must.Sprint("another node's report"))
		time.Sleep(10 * time.Minute)
		b.Clean()
		must.True(t, b.State(&server).Leaving, must.Sprint("nothing was heard for a while"))
		b.Observe(server, answers(notice.KindLeaving, 0, 500*time.Millisecond))
		must.False(t, b.State(&server).Leaving, must.Sprint("an answer to a later request"))
		b.ObserveReport(server.Hash(), notice.Notice{Kind: notice.KindLeaving, Value: 1}, time.Second)
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
		b.ObserveReport(restarted.Hash(), notice.Notice{Kind: notice.KindLeaving, Value: 1}, time.Second)
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
