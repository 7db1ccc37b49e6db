package notice_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/notice"
)

// TestLimitEndsByLaterNewsAlone checks that of two notices of a limit the stricter one holds until the other
// surely is the later: answers and reports are read late, and pass each other.
func TestLimitEndsByLaterNewsAlone(t *testing.T) {
	const ms = time.Millisecond
	answer := func(value float64, sentAgo time.Duration) func(*testBoard) {
		return func(b *testBoard) { b.Observe(server, answers(notice.KindRequestLimit, value, sentAgo)) }
	}
	report := func(value float64, age, doubt time.Duration) func(*testBoard) {
		return func(b *testBoard) { b.ObserveReport(reports(server, notice.KindRequestLimit, value, age, doubt)) }
	}
	// Each step is read 100 ms after the one before.
	tests := []struct {
		name  string
		steps []func(*testBoard)
		want  float64
	}{
		{"answer sent later", []func(*testBoard){answer(2, 0), answer(notice.Unlimited, 50*ms)}, notice.Unlimited},
		{"answer sent before", []func(*testBoard){answer(2, 0), answer(notice.Unlimited, 150*ms)}, 2},
		{"answer sent before a report came", []func(*testBoard){report(2, 0, 0), answer(notice.Unlimited, 150*ms)}, 2},
		{"answer with a higher limit, sent later", []func(*testBoard){answer(2, 0), answer(5, 50*ms)}, 5},
		{"answer with a higher limit, sent before", []func(*testBoard){answer(2, 0), answer(5, 150*ms)}, 2},
		{"answer with a lower limit, sent before", []func(*testBoard){answer(2, 0), answer(1, 150*ms)}, 1},
		{"confirmed since the answer was sent", []func(*testBoard){answer(2, 0), answer(2, 0), answer(notice.Unlimited, 150*ms)}, 2},
		{"report of the end", []func(*testBoard){answer(2, 0), report(notice.Unlimited, 0, 50*ms)}, notice.Unlimited},
		{"report of the end, in doubt", []func(*testBoard){answer(2, 0), report(notice.Unlimited, 0, 150*ms)}, 2},
		{"old report of the end", []func(*testBoard){answer(2, 0), report(notice.Unlimited, 150*ms, 0)}, 2},
		{"report of a higher limit, in doubt", []func(*testBoard){answer(2, 0), report(5, 0, 150*ms)}, 2},
		{"old report of the limit after its end", []func(*testBoard){answer(2, 0), answer(notice.Unlimited, 0), report(2, 150*ms, 0)}, notice.Unlimited},
		{"report of the limit after its end, in doubt", []func(*testBoard){answer(2, 0), answer(notice.Unlimited, 50*ms), report(2, 50*ms, 150*ms)}, 2},
		{"rounded report", []func(*testBoard){answer(2.7, 0), report(float64(float32(2.7)), 0, 200*ms), answer(notice.Unlimited, 150*ms)}, 2.7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withBoard(t, func(t *testing.T, b *testBoard) {
				for _, step := range tt.steps {
					step(b)
					time.Sleep(100 * ms)
				}
				must.Eq(t, tt.want, b.State(&server).RequestLimit)
				must.Eq(t, tt.want, b.State(&restarted).RequestLimit)
			})
		})
	}
}

// TestLateAnswerKeepsRejectionLimit checks the same for the rejection limits of a server and of its service.
func TestLateAnswerKeepsRejectionLimit(t *testing.T) {
	withBoard(t, func(t *testing.T, b *testBoard) {
		first, second := ofService("a", 1), ofService("b", 1)
		b.Observe(first, answers(notice.KindRejectionLimit, 3, 0))
		time.Sleep(time.Second)
		b.Observe(first, answers(notice.KindRejectionLimit, notice.Unlimited, 2*time.Second))
		must.Eq(t, 3, rejectionLimit(b, first))
		must.Eq(t, 3, rejectionLimit(b, second))
	})
}

// TestServiceLimitConfirmedByHigherOnes checks that a service's limit does not end while some of its servers name
// one, though it is higher than the lowest.
func TestServiceLimitConfirmedByHigherOnes(t *testing.T) {
	withBoard(t, func(t *testing.T, b *testBoard) {
		low, high, none, started := ofService("a", 1), ofService("b", 1), ofService("c", 1), ofService("d", 1)
		b.Observe(low, answers(notice.KindRejectionLimit, 1, 0))
		for range 10 {
			time.Sleep(time.Second)
			b.Observe(high, answers(notice.KindRejectionLimit, 8, 10*time.Millisecond))
			b.Observe(none, answers(notice.KindRejectionLimit, notice.Unlimited, 10*time.Millisecond))
		}
		must.Eq(t, 1, rejectionLimit(b, started))
	})
}
