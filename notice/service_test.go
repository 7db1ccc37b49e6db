package notice_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/timer"
)

// ofService returns a server of the service that these tests are about.
func ofService(id string, born int64) registry.Server {
	return registry.Server{ID: id, Born: born, Service: "records"}
}

// rejectionLimit returns the rejection limit of a server.
func rejectionLimit(b *testBoard, s registry.Server) float64 { return b.State(&s).RejectionLimit }

// TestRejectionLimitOfRestartedServer checks that a server of which nothing is known counts as naming the
// rejection limit that others of its service name, until its own answer says otherwise.
func TestRejectionLimitOfRestartedServer(t *testing.T) {
	withBoard(t, func(t *testing.T, b *testBoard) {
		first, again, added := ofService("s", 1), ofService("s", 2), ofService("t", 1)
		other := registry.Server{ID: "u", Service: "engines"}
		b.Observe(first, answers(notice.KindRejectionLimit, 3, 0))
		known := time.Now()
		for _, s := range []registry.Server{first, again, added} {
			must.Eq(t, 3, rejectionLimit(b, s))
			must.True(t, b.State(&s).RejectionLimitSince.Equal(known))
		}
		must.Eq(t, notice.Unlimited, rejectionLimit(b, other))
		must.Eq(t, notice.Unlimited, rejectionLimit(b, registry.Server{ID: "v"}))
		must.Eq(t, 1, b.Count(notice.KindRejectionLimit))

		time.Sleep(time.Second)
		b.Observe(again, answers(notice.KindRejectionLimit, notice.Unlimited, 2*time.Second))
		must.Eq(t, 3, rejectionLimit(b, again), must.Sprint("sent before the service named a limit"))
		b.Observe(again, answers(notice.KindRejectionLimit, notice.Unlimited, time.Millisecond))
		must.Eq(t, notice.Unlimited, rejectionLimit(b, again))
		must.Eq(t, 3, rejectionLimit(b, added))
		time.Sleep(time.Second)
		b.Observe(again, answers(notice.KindRejectionLimit, 8, 0))
		must.Eq(t, 8, rejectionLimit(b, again))
		must.Eq(t, 3, rejectionLimit(b, added), must.Sprint("the least that servers of the service name"))
		must.True(t, b.State(&again).RejectionLimitSince.Equal(known))
	})
}

// TestRejectionLimitOfServiceEnds checks when the rejection limit of a service has ended: once an answer
// names none and no other has named one for a while, or nobody has for a long while.
func TestRejectionLimitOfServiceEnds(t *testing.T) {
	withBoard(t, func(t *testing.T, b *testBoard) {
		first, second, added := ofService("s", 1), ofService("t", 1), ofService("u", 1)
		b.Observe(first, answers(notice.KindRejectionLimit, 3, 0))
		time.Sleep(2 * time.Second)
		b.Observe(second, answers(notice.KindRejectionLimit, notice.Unlimited, 0))
		must.Eq(t, 3, rejectionLimit(b, added), must.Sprint("named lately"))
		time.Sleep(2 * time.Second)
		b.Observe(second, answers(notice.KindRejectionLimit, notice.Unlimited, 0))
		must.Eq(t, notice.Unlimited, rejectionLimit(b, added))
		must.Eq(t, 3, rejectionLimit(b, first), must.Sprint("its own word"))
		must.Eq(t, 0, b.Count(notice.KindServiceRejectionLimit))

		b.Observe(first, answers(notice.KindRejectionLimit, 5, 0))
		must.Eq(t, 5, rejectionLimit(b, added))
		time.Sleep(time.Minute + time.Second)
		b.Clean()
		must.Eq(t, notice.Unlimited, rejectionLimit(b, added))
	})
}

// TestRejectionLimitOfServiceIsReported checks that other nodes learn of a service's rejection limit and of
// its end.
func TestRejectionLimitOfServiceIsReported(t *testing.T) {
	withBoard(t, func(t *testing.T, b *testBoard) {
		timers := timer.New()
		defer timers.Close()
		other := newNode(timers)
		tell := func() {
			for i, n := range b.reported {
				other.ObserveReport(notice.Report{Server: b.reportedOf[i], Kind: n.Kind, Value: n.Value})
			}
			b.reported, b.reportedOf = nil, nil
		}
		first, added := ofService("s", 1), ofService("u", 1)
		b.Observe(first, answers(notice.KindRejectionLimit, 3, 0))
		tell()
		must.Eq(t, 3, rejectionLimit(other, added))
		time.Sleep(5 * time.Second)
		b.Observe(first, answers(notice.KindRejectionLimit, notice.Unlimited, 0))
		tell()
		must.Eq(t, notice.Unlimited, rejectionLimit(other, added))
	})
}

// TestRejectionLimitOfServiceNamedAgain checks that a server which has said that it names no rejection limit any more
// counts as naming one again once another of its service does, until its own next answer.
func TestRejectionLimitOfServiceNamedAgain(t *testing.T) {
	withBoard(t, func(t *testing.T, b *testBoard) {
		first, second := ofService("a", 1), ofService("b", 1)
		b.Observe(first, answers(notice.KindRejectionLimit, 3, 0))
		b.Observe(second, answers(notice.KindRejectionLimit, 3, 0))
		time.Sleep(4 * time.Second)
		b.Observe(first, answers(notice.KindRejectionLimit, notice.Unlimited, 0))
		b.Observe(second, answers(notice.KindRejectionLimit, notice.Unlimited, 0))
		must.Eq(t, notice.Unlimited, rejectionLimit(b, second))
		time.Sleep(2 * time.Second)
		b.Observe(first, answers(notice.KindRejectionLimit, 1, 0))
		must.Eq(t, 1, rejectionLimit(b, second))
		time.Sleep(time.Second)
		b.Observe(second, answers(notice.KindRejectionLimit, notice.Unlimited, 0))
		must.Eq(t, notice.Unlimited, rejectionLimit(b, second))
	})
}
