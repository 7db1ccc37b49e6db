package share_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/share"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// noNodes is the list of other nodes of the only node.
type noNodes struct{}

func (noNodes) Others() []view.Member { return nil }

// TestNoticeInLateMessageIsOld checks that what a message says of a server counts as so old as the message may
// be: not older than the last reply that its sender had received.
func TestNoticeInLateMessageIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		var got []notice.Report
		x := share.NewExchange(view.Member{ID: "n"}, noNodes{}, nil, timers, func(r share.Record) { got = append(got, r.Report()) })
		const node, other = 1, 2
		send := func(from, sequence uint64, last share.Reply) share.Reply {
			record := share.Record{Sequence: sequence, Server: 7, Notice: notice.KindRequestLimit, Value: 2, AgeMillis: 20, WorkMillis: 30}
			return x.Handle(share.Message{Node: from, LogID: last.LogID, After: last.UpTo, Batches: []share.Batch{{Node: from, Records: []share.Record{record}}}})
		}
		time.Sleep(10 * time.Second)
		first := send(node, 1, share.Reply{})
		time.Sleep(100 * time.Millisecond)
		second := send(node, 2, first)
		time.Sleep(3 * time.Second) // while this node stands still
		send(node, 3, second)
		time.Sleep(time.Second)
		send(node, 4, second)                                      // the reply was lost
		send(other, 1, share.Reply{LogID: second.LogID, UpTo: 99}) // of a log that this one knows nothing of
		doubts := []time.Duration{10 * time.Second, 100 * time.Millisecond, 3 * time.Second, 4 * time.Second, 14100 * time.Millisecond}
		must.Len(t, len(doubts), got)
		for i, r := range got {
			must.Eq(t, 20*time.Millisecond, r.Age)
			must.Eq(t, doubts[i]+30*time.Millisecond, r.Doubt, must.Sprint(i))
		}
	})
}
