package notice_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/nodelist"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/owner"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// newNode returns the board of a node that has just started.
func newNode(timers *timer.Service) *testBoard {
	node := (&nodelist.List{}).Add(view.Member{VM: "other"})
	return &testBoard{Board: notice.New(owner.NewRoster(node.Self(), node, timers), timers)}
}

// TestStartedNodeKnowsLimits checks that a node which has just started learns from another one what
// concerns all nodes, with its age, and nothing else.
func TestStartedNodeKnowsLimits(t *testing.T) {
	withBoard(t, func(t *testing.T, b *testBoard) {
		timers := timer.New()
		defer timers.Close()
		limited, leaving, resting := ofService("s", 1), ofService("t", 1), ofService("u", 1)
		b.Observe(limited, answers(notice.KindRejectionLimit, 3, 0))
		b.Observe(leaving, answers(notice.KindLeaving, 1, 0))
		b.Observe(resting, answers(notice.KindRest, 9, 0))
		began := time.Now()
		time.Sleep(5 * time.Second)
		b.Observe(limited, answers(notice.KindRejectionLimit, 3, 0))
		time.Sleep(time.Second)

		started := newNode(timers)
		started.Learn(b.Known(), 0)
		added := ofService("v", 1)
		must.Eq(t, 3, rejectionLimit(started, limited))
		must.Eq(t, 3, rejectionLimit(started, added))
		must.True(t, started.State(&added).RejectionLimitSince.Equal(began))
		must.True(t, started.State(&leaving).Leaving)
		must.True(t, started.State(&resting).RestUntil.IsZero())

		started.Observe(limited, answers(notice.KindRejectionLimit, notice.Unlimited, 0))
		started.Learn(b.Known(), 0)
		must.Eq(t, notice.Unlimited, rejectionLimit(started, limited), must.Sprint("a later answer"))
	})
}

// TestKnownIsBounded checks that what one node tells another at the start is bounded, and that what it
// knows of services goes first.
func TestKnownIsBounded(t *testing.T) {
	withBoard(t, func(t *testing.T, b *testBoard) {
		b.Observe(ofService("first", 1), answers(notice.KindRejectionLimit, 3, 0))
		for i := range 2000 {
			time.Sleep(time.Millisecond)
			b.Observe(registry.Server{ID: fmt.Sprint("s-", i)}, answers(notice.KindRequestLimit, 2, 0))
		}
		known := b.Known()
		must.Len(t, 500, known)
		must.Eq(t, notice.KindServiceRejectionLimit, known[0].Kind)
		must.Less(t, time.Second, known[499].Age)
	})
}
