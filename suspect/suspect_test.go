package suspect_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/suspect"
	"github.com/violettally/violettally/timer"
)

// event is one thing that a list is told: a loss, or an answer where server is
// zero.
type event struct{ digest, server uint64 }

// TestRefuses lists what is known and whether request 1 is refused then.
func TestRefuses(t *testing.T) {
	tests := []struct {
		name   string
		events []event
		// running are the servers that go on.
		running []uint64
		after   time.Duration
		want    bool
	}{
		{"nothing known", nil, nil, 0, false},
		{"two servers ended", []event{{1, 10}, {1, 11}}, nil, 0, false},
		{"three servers ended", []event{{1, 10}, {1, 11}, {1, 12}}, nil, 0, true},
		{"one server told of three times", []event{{1, 10}, {1, 10}, {1, 10}}, nil, 0, false},
		{"answered in between", []event{{1, 10}, {1, 11}, {1, 0}, {1, 12}}, nil, 0, false},
		{"beside another that ended more servers", []event{
			{2, 13}, {2, 10}, {1, 10}, {2, 11}, {1, 11}, {2, 12}, {1, 12},
		}, nil, 0, false},
		{"beside another that ended more servers once it was refused itself", []event{
			{1, 10}, {2, 10}, {1, 11}, {2, 11}, {1, 12}, {2, 12}, {2, 13}, {2, 14},
		}, nil, 0, true},
		{"others were beside it once each", []event{
			{1, 10}, {2, 10}, {1, 11}, {3, 11}, {1, 12}, {4, 12},
		}, nil, 0, true},
		{"one of the servers goes on", []event{{1, 10}, {1, 11}, {1, 12}}, []uint64{12}, 7 * time.Second, false},
		{"one of the servers is not known to have ended yet", []event{{1, 10}, {1, 11}, {1, 12}}, []uint64{12}, 4 * time.Second, true},
		{"minutes later", []event{{1, 10}, {1, 11}, {1, 12}}, nil, 9 * time.Minute, true},
		{"long ago", []event{{1, 10}, {1, 11}, {1, 12}}, nil, 11 * time.Minute, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timers := timer.New()
				defer timers.Close()
				l := suspect.New(timers)
				for _, e := range tt.events {
					if e.server == 0 {
						l.RecordAnswer(e.digest)
					} else {
						time.Sleep(time.Second)
						l.RecordLoss(e.digest, e.server, 0)
					}
				}
				running := make(map[uint64]bool)
				for _, server := range tt.running {
					running[server] = true
				}
				time.Sleep(tt.after)
				l.Review(running)
				must.Eq(t, tt.want, l.Refuses(1))
			})
		})
	}
}

// TestEndsAtOneMoment: copies of a popular request were at three servers that ended at
// one moment, a rack's, and the next copies were refused.
func TestEndsAtOneMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		l := suspect.New(timers)
		server := uint64(0)
		for moment := range 3 {
			must.False(t, l.Refuses(1), must.Sprintf("after %d moments", moment))
			for range 4 {
				server++
				l.RecordLoss(1, server, 0)
				time.Sleep(time.Millisecond)
			}
			time.Sleep(time.Second)
		}
		must.True(t, l.Refuses(1))
	})
}

// TestAnsweredBefore: a request that servers had answered was refused after three of them
// had ended for other reasons.
func TestAnsweredBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		l := suspect.New(timers)
		l.RecordAnswer(1)
		for server := range uint64(4) {
			must.False(t, l.Refuses(1), must.Sprintf("%d servers ended", server))
			time.Sleep(time.Second)
			l.RecordLoss(1, server, 0)
		}
		must.True(t, l.Refuses(1), must.Sprint("servers end under it now"))
	})
}

// TestLateNews: the losses of a request that ended its servers are heard of after those
// of one that was beside it.
func TestLateNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		l := suspect.New(timers)
		const step = 100 * time.Millisecond
		for server := range uint64(3) {
			l.RecordLoss(1, server, 0)
			time.Sleep(step)
		}
		must.True(t, l.Refuses(1))
		l.RecordLoss(2, 9, 5*step)
		for server := range uint64(3) {
			_, withdrawn := l.RecordLoss(2, server, time.Duration(3-server)*step)
			must.Eq(t, server == 2, len(withdrawn) == 1, must.Sprint(server))
		}
		must.False(t, l.Refuses(1))
		must.True(t, l.Refuses(2))
	})
}

// TestLeftBehind: a request that ended its servers had been taken away from them just
// before, since their first answers were poor; nobody counted it there, and those that
// were lost beside it were blamed.
func TestLeftBehind(t *testing.T) {
	const before = 100 * time.Millisecond
	for _, tt := range []struct {
		name string
		// left and lost are when the attempt was given up and when the server ended.
		left, lost time.Duration
		want       bool
	}{
		{"just before", 0, before, true},
		{"long before", 0, 5 * time.Second, false},
		{"before it was heard of", before, 0, true},
		{"long after", 5 * time.Second, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timers := timer.New()
				defer timers.Close()
				l := suspect.New(timers)
				counts := false
				leave := func() { counts = l.RecordAbandoned(1, 10) }
				end := func() {
					l.RecordLoss(2, 10, 0)
					counts = len(l.TakeAbandoned(10, 0)) == 1
					must.SliceEmpty(t, l.TakeAbandoned(11, 0))
				}
				first, next := leave, end
				if tt.lost < tt.left {
					first, next = end, leave
				}
				first()
				time.Sleep((tt.lost - tt.left).Abs())
				next()
				must.Eq(t, tt.want, counts)
				time.Sleep(10 * time.Second)
				must.SliceEmpty(t, l.TakeAbandoned(10, 0))
			})
		})
	}
}

// TestRestart takes a server for ended for good once it was seen to be gone: its
// name may come back.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		l := suspect.New(timers)
		for server := range uint64(3) {
			l.RecordLoss(1, server, 0)
			time.Sleep(time.Second)
		}
		l.Review(nil)
		time.Sleep(time.Minute)
		l.Review(map[uint64]bool{0: true, 1: true, 2: true})
		must.True(t, l.Refuses(1))
	})
}

// TestEntriesAfterOutage: the store was away, the entries of servers that had ended
// meanwhile were there when it came back, and the verdict was forgotten at that.
func TestEntriesAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		l := suspect.New(timers)
		running := make(map[uint64]bool)
		for server := range uint64(3) {
			l.RecordLoss(1, server, 0)
			running[server] = true
			time.Sleep(time.Second)
		}
		time.Sleep(time.Minute)
		l.MarkRegistryStale()
		time.Sleep(time.Second)
		must.SliceEmpty(t, l.Review(running))
		must.True(t, l.Refuses(1))
		time.Sleep(6 * time.Second)
		must.Eq(t, []uint64{1}, l.Review(running), must.Sprint("by then the entries would be gone"))
	})
}

// TestRuns loses a request at three servers, of which the last answers another request: one
// that was sent before the loss tells nothing, one that was sent after it tells that the
// server goes on, unless its connection was opened later than that.
func TestRuns(t *testing.T) {
	for _, tt := range []struct {
		name string
		// sent and opened are how long ago, when the loss is three seconds old.
		sent, opened time.Duration
		goesOn       bool
	}{
		{"sent before, on a later connection", 4 * time.Second, time.Second, false},
		{"sent before, and something has come since", 4 * time.Second, time.Minute, true},
		{"sent after, on an older connection", time.Second, time.Minute, true},
		{"sent after, on a later connection", time.Second, time.Second, false},
		{"at an unknown time", time.Second, math.MaxInt64, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timers := timer.New()
				defer timers.Close()
				l := suspect.New(timers)
				for server := range uint64(3) {
					time.Sleep(time.Second)
					l.RecordLoss(1, server, 0)
				}
				time.Sleep(3 * time.Second)
				must.Eq(t, tt.goesOn, len(l.ServerResponded(2, tt.sent, tt.opened)) == 1)
				must.Eq(t, !tt.goesOn, l.Refuses(1))
			})
		})
	}
}

// TestBounded is a client that sends ever different requests under which servers
// end: what is remembered stays bounded, and the latest are known.
func TestBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		l := suspect.New(timers)
		const requests = 6_000 // 18,000 losses
		for digest := range uint64(requests) {
			for server := range uint64(3) {
				l.RecordLoss(digest+1, 3*digest+server, 0)
				time.Sleep(100 * time.Millisecond)
			}
		}
		must.True(t, l.Refuses(requests))
		must.False(t, l.Refuses(1))
	})
}

// TestCrashesWithoutCause plays servers that end by themselves, one at a time or
// a rack of four at once, every five seconds. What is lost is sent to two more
// servers, which may end as well. Of all requests at most one in 10,000 may be
// refused.
func TestCrashesWithoutCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		random := rand.New(rand.NewPCG(1, 2))
		const (
			servers = 20
			running = 30 // requests at each server, for a second each
			pause   = 5  // seconds between crashes
			rack    = 4
			crashes = 2_000
			again   = 200 * time.Millisecond // between two losses of one request
		)
		l := suspect.New(timers)
		sent, refused := 0, 0
		digest, server := uint64(0), uint64(0)
		for range crashes {
			ended := 1
			if random.IntN(4) == 0 {
				ended = rack
			}
			sent += servers * running * pause
			for range ended {
				server++
				crashed := server
				for range running {
					digest++
					l.RecordLoss(digest, crashed, 2*again)
					for try := range 2 {
						// A server ends within the second of a request with the
						// chance that it is the next one.
						if random.IntN(servers*pause) >= rack {
							l.RecordAnswer(digest)
							break
						}
						server++
						l.RecordLoss(digest, server, again-time.Duration(try)*again)
					}
					if l.Refuses(digest) {
						refused++
					}
				}
			}
			time.Sleep(pause * time.Second)
			l.Review(nil)
		}
		t.Logf("%d of %d refused", refused, sent)
		must.LessEq(t, sent/10_000, refused)
	})
}

// TestDigest tells requests apart by what servers are given.
func TestDigest(t *testing.T) {
	a := suspect.Digest("/v1/chat", []byte("x"), 1)
	must.Eq(t, a, suspect.Digest("/v1/chat", []byte("x"), 1))
	for _, other := range []uint64{
		suspect.Digest("/v1/chat", []byte("y"), 1),
		suspect.Digest("/v1/cha", []byte("tx"), 1),
		suspect.Digest("/v1/chat", []byte("x"), 2),
		suspect.Digest("/v1/chat", nil, 0),
	} {
		must.NotEq(t, a, other)
	}
}

// BenchmarkRefuses asks with nothing known, as nearly always, and with the
// losses of ten servers of a hundred requests each.
func BenchmarkRefuses(b *testing.B) {
	timers := timer.New()
	defer timers.Close()
	for _, losses := range []uint64{0, 1000} {
		b.Run(map[bool]string{true: "nothing known", false: "ten servers ended"}[losses == 0], func(b *testing.B) {
			l := suspect.New(timers)
			for digest := range losses {
				l.RecordLoss(digest+1, digest/100, 0)
			}
			b.ReportAllocs()
			for b.Loop() {
				if !l.Empty() {
					l.Refuses(1)
				}
			}
		})
	}
}

// BenchmarkDigest is what each answered request costs, by the length of its body.
func BenchmarkDigest(b *testing.B) {
	for _, length := range []int{0, 1 << 10, 64 << 10} {
		b.Run(fmt.Sprint(length, " bytes"), func(b *testing.B) {
			body := make([]byte, length)
			b.ReportAllocs()
			for b.Loop() {
				suspect.Digest("/v1/chat", body, int64(length))
			}
		})
	}
}
