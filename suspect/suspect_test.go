package suspect_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/suspect"
	"github.com/violettally/violettally/timer"
)

// withDetector runs a test with a detector, in a time bubble of its own.
func withDetector(t *testing.T, run func(t *testing.T, d *suspect.Detector)) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		run(t, suspect.New(timers))
	})
}

// content returns the features of a request without prompt parts.
func content(n uint64) suspect.Features { return suspect.Features{suspect.Feature(n)} }

// lose records the loss of such a request at a server, and returns the change.
func lose(d *suspect.Detector, n, server uint64, ago time.Duration) suspect.Change {
	change, _ := d.RecordLoss(suspect.Loss{Features: content(n), Server: server, Ago: ago})
	return change
}

// event is a loss, or an answer if server is zero.
type event struct{ digest, server uint64 }

// TestRefuses checks for several histories whether request 1 is refused.
func TestRefuses(t *testing.T) {
	tests := []struct {
		name   string
		events []event
		// running holds the servers that keep running.
		running []uint64
		after   time.Duration
		want    bool
	}{
		{"no losses", nil, nil, 0, false},
		{"two servers crashed", []event{{1, 10}, {1, 11}}, nil, 0, false},
		{"three servers crashed", []event{{1, 10}, {1, 11}, {1, 12}}, nil, 0, true},
		{"one server reported three times", []event{{1, 10}, {1, 10}, {1, 10}}, nil, 0, false},
		{"answered between crashes", []event{{1, 10}, {1, 11}, {1, 0}, {1, 12}}, nil, 0, false},
		{"lost with another that crashed more servers", []event{
			{2, 13}, {2, 10}, {1, 10}, {2, 11}, {1, 11}, {2, 12}, {1, 12},
		}, nil, 0, false},
		{"lost with another that crashed more servers after this one was refused", []event{
			{1, 10}, {2, 10}, {1, 11}, {2, 11}, {1, 12}, {2, 12}, {2, 13}, {2, 14},
		}, nil, 0, true},
		{"lost with others once each", []event{
			{1, 10}, {2, 10}, {1, 11}, {3, 11}, {1, 12}, {4, 12},
		}, nil, 0, true},
		{"one of the servers keeps running", []event{{1, 10}, {1, 11}, {1, 12}}, []uint64{12}, 7 * time.Second, false},
		{"one of the servers is not yet confirmed to have crashed", []event{{1, 10}, {1, 11}, {1, 12}}, []uint64{12}, 4 * time.Second, true},
		{"minutes later", []event{{1, 10}, {1, 11}, {1, 12}}, nil, 9 * time.Minute, true},
		{"after the losses expired", []event{{1, 10}, {1, 11}, {1, 12}}, nil, 11 * time.Minute, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withDetector(t, func(t *testing.T, d *suspect.Detector) {
				for _, e := range tt.events {
					if e.server == 0 {
						d.RecordAnswer(content(e.digest), 0)
					} else {
						time.Sleep(time.Second)
						lose(d, e.digest, e.server, 0)
					}
				}
				running := make(map[uint64]bool)
				for _, server := range tt.running {
					running[server] = true
				}
				time.Sleep(tt.after)
				d.Review(running)
				must.Eq(t, tt.want, d.Refuses(1))
			})
		})
	}
}

// TestSimultaneousCrashes guards against refusing a popular request because copies of it ran
// at several servers that crashed together, such as those of one rack.
func TestSimultaneousCrashes(t *testing.T) {
	withDetector(t, func(t *testing.T, d *suspect.Detector) {
		server := uint64(0)
		for incident := range 3 {
			must.False(t, d.Refuses(1), must.Sprintf("after %d incidents", incident))
			for range 4 {
				server++
				lose(d, 1, server, 0)
				time.Sleep(time.Millisecond)
			}
			time.Sleep(time.Second)
		}
		must.True(t, d.Refuses(1))
	})
}

// TestAnsweredBefore guards against refusing a request that servers have answered, after
// three servers that ran it crashed for other reasons.
func TestAnsweredBefore(t *testing.T) {
	withDetector(t, func(t *testing.T, d *suspect.Detector) {
		d.RecordAnswer(content(1), 0)
		for server := range uint64(4) {
			must.False(t, d.Refuses(1), must.Sprintf("%d servers crashed", server))
			time.Sleep(time.Second)
			lose(d, 1, server, 0)
		}
		must.True(t, d.Refuses(1), must.Sprint("servers crash under it now"))
	})
}

// TestLossesOutOfOrder: the losses of a request that crashes its servers become known after
// those of another request that was lost with it, which must then no longer be refused.
func TestLossesOutOfOrder(t *testing.T) {
	withDetector(t, func(t *testing.T, d *suspect.Detector) {
		time.Sleep(time.Second) // what happened before the start is left out
		const step = 100 * time.Millisecond
		for server := range uint64(3) {
			lose(d, 1, server, 0)
			time.Sleep(step)
		}
		must.True(t, d.Refuses(1))
		lose(d, 2, 9, 5*step)
		for server := range uint64(3) {
			withdrawn := lose(d, 2, server, time.Duration(3-server)*step).Withdrawn
			must.Eq(t, server == 2, len(withdrawn) == 1, must.Sprint(server))
		}
		must.False(t, d.Refuses(1))
		must.True(t, d.Refuses(2))
	})
}

// TestAbandonedAttempts guards against missing a request that was abandoned at its servers,
// for their poor first answers, shortly before they crashed. Without a loss there, the
// requests that were lost with it were blamed.
func TestAbandonedAttempts(t *testing.T) {
	const before = 100 * time.Millisecond
	for _, tt := range []struct {
		name string
		// abandoned and crashed are when the attempt was abandoned and when the server crashed.
		abandoned, crashed time.Duration
		want               bool
	}{
		{"crash shortly after abandoning", 0, before, true},
		{"crash long after abandoning", 0, 5 * time.Second, false},
		{"abandoned shortly after the crash", before, 0, true},
		{"abandoned long after the crash", 5 * time.Second, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withDetector(t, func(t *testing.T, d *suspect.Detector) {
				counts := false
				abandon := func() { counts = d.RecordAbandoned(content(1), 10) }
				crash := func() {
					lose(d, 2, 10, 0)
					counts = len(d.TakeAbandoned(10, 0)) == 1
					must.SliceEmpty(t, d.TakeAbandoned(11, 0))
				}
				first, next := abandon, crash
				if tt.crashed < tt.abandoned {
					first, next = crash, abandon
				}
				first()
				time.Sleep((tt.crashed - tt.abandoned).Abs())
				next()
				must.Eq(t, tt.want, counts)
				time.Sleep(10 * time.Second)
				must.SliceEmpty(t, d.TakeAbandoned(10, 0))
			})
		})
	}
}

// TestRestart: a server that was found not to be running counts as crashed, even if its ID is
// registered again.
func TestRestart(t *testing.T) {
	withDetector(t, func(t *testing.T, d *suspect.Detector) {
		for server := range uint64(3) {
			lose(d, 1, server, 0)
			time.Sleep(time.Second)
		}
		d.Review(nil)
		time.Sleep(time.Minute)
		d.Review(map[uint64]bool{0: true, 1: true, 2: true})
		must.True(t, d.Refuses(1))
	})
}

// TestStaleEntriesAfterOutage: the entries of servers that crashed during an outage of the
// store are still there when it is back. They must not withdraw the verdict.
func TestStaleEntriesAfterOutage(t *testing.T) {
	withDetector(t, func(t *testing.T, d *suspect.Detector) {
		running := make(map[uint64]bool)
		for server := range uint64(3) {
			lose(d, 1, server, 0)
			running[server] = true
			time.Sleep(time.Second)
		}
		time.Sleep(time.Minute)
		d.MarkRegistryStale()
		time.Sleep(time.Second)
		must.SliceEmpty(t, d.Review(running).Withdrawn)
		must.True(t, d.Refuses(1))
		time.Sleep(6 * time.Second)
		must.Eq(t, []suspect.Feature{1}, d.Review(running).Withdrawn, must.Sprint("entries of crashed servers would be gone by then"))
	})
}

// TestServerResponded loses a request at three servers, of which the last one responds to
// another request. The response proves that the server kept running if its connection was
// opened before the loss; on a later one, it may come from a restarted server.
func TestServerResponded(t *testing.T) {
	for _, tt := range []struct {
		name string
		// sent and opened are how long ago, when the loss is three seconds old.
		sent, opened time.Duration
		keptRunning  bool
	}{
		{"sent before the loss, on a later connection", 4 * time.Second, time.Second, false},
		{"sent before the loss, on an older connection", 4 * time.Second, time.Minute, true},
		{"sent after the loss, on an older connection", time.Second, time.Minute, true},
		{"sent after the loss, on a later connection", time.Second, time.Second, false},
		{"at an unknown time", time.Second, math.MaxInt64, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withDetector(t, func(t *testing.T, d *suspect.Detector) {
				for server := range uint64(3) {
					time.Sleep(time.Second)
					lose(d, 1, server, 0)
				}
				time.Sleep(3 * time.Second)
				must.Eq(t, tt.keptRunning, len(d.ServerResponded(2, tt.sent, tt.opened).Withdrawn) == 1)
				must.Eq(t, !tt.keptRunning, d.Refuses(1))
			})
		})
	}
}

// TestMemoryBounded: a client sends many different requests that crash servers. What is kept
// stays bounded, and the latest requests are refused.
func TestMemoryBounded(t *testing.T) {
	withDetector(t, func(t *testing.T, d *suspect.Detector) {
		const requests = 6_000 // 18,000 losses
		for digest := range uint64(requests) {
			for server := range uint64(3) {
				lose(d, digest+1, 3*digest+server, 0)
				time.Sleep(100 * time.Millisecond)
			}
		}
		must.True(t, d.Refuses(requests))
		must.False(t, d.Refuses(1))
	})
}

// TestUnrelatedCrashes simulates servers that crash by themselves, one at a time or a rack of
// four at once, every five seconds. Lost requests are sent to up to two more servers, which
// may crash as well. At most one of 10,000 requests may be refused.
func TestUnrelatedCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		random := rand.New(rand.NewPCG(1, 2))
		const (
			servers    = 20
			running    = 30 // requests at each server, for a second each
			pause      = 5  // seconds between crashes
			rack       = 4
			crashes    = 2_000
			retryDelay = 200 * time.Millisecond // between two losses of one request
		)
		d := suspect.New(timers)
		sent, refused := 0, 0
		digest, server := uint64(0), uint64(0)
		for range crashes {
			crashedServers := 1
			if random.IntN(4) == 0 {
				crashedServers = rack
			}
			sent += servers * running * pause
			for range crashedServers {
				server++
				crashed := server
				for range running {
					digest++
					lose(d, digest, crashed, 2*retryDelay)
					for try := range 2 {
						// The retry is lost if the server that runs it is the next to crash
						// within the second that the request takes.
						if random.IntN(servers*pause) >= rack {
							d.RecordAnswer(content(digest), 0)
							break
						}
						server++
						lose(d, digest, server, retryDelay-time.Duration(try)*retryDelay)
					}
					if d.Refuses(suspect.Feature(digest)) {
						refused++
					}
				}
			}
			time.Sleep(pause * time.Second)
			d.Review(nil)
		}
		t.Logf("%d of %d requests refused", refused, sent)
		must.LessEq(t, sent/10_000, refused)
	})
}

// TestFeatures checks that the content tells requests apart by what servers receive, and that parts
// are the same in all of them.
func TestFeatures(t *testing.T) {
	parts := []string{"a", "b"}
	first := suspect.NewFeatures("/v1/chat", []byte("x"), 1, parts)
	must.Eq(t, first, suspect.NewFeatures("/v1/chat", []byte("x"), 1, parts))
	must.Eq(t, 3, len(first))
	for _, other := range []suspect.Features{
		suspect.NewFeatures("/v1/chat", []byte("y"), 1, parts),
		suspect.NewFeatures("/v1/cha", []byte("tx"), 1, parts),
		suspect.NewFeatures("/v1/chat", []byte("x"), 2, parts),
		suspect.NewFeatures("/v1/chat", nil, 0, parts),
	} {
		must.Eq(t, first[:2], other[:2])
		must.NotEq(t, first[2], other[2])
	}
	must.Eq(t, 1, len(suspect.NewFeatures("/v1/chat", nil, 0, nil)))
	must.Eq(t, 2, len(suspect.NewFeatures("/v1/chat", nil, 0, []string{"a", "a"})), must.Sprint("a part that comes twice"))
}

// TestLongPrompts: of a prompt with many parts, whatever clients send, the last ones count.
func TestLongPrompts(t *testing.T) {
	var parts []string
	for i := range 10_000 {
		parts = append(parts, fmt.Sprint(i))
	}
	features := suspect.NewFeatures("/", nil, 0, parts)
	must.Eq(t, 17, len(features))
	must.Eq(t, suspect.PartFeature("9999"), features[15])
}

// BenchmarkRefuses measures Refuses without evidence, the usual case, and with the losses of
// ten servers with a hundred requests each.
func BenchmarkRefuses(b *testing.B) {
	timers := timer.New()
	defer timers.Close()
	for _, losses := range []uint64{0, 1000} {
		b.Run(map[bool]string{true: "no losses", false: "ten servers crashed"}[losses == 0], func(b *testing.B) {
			d := suspect.New(timers)
			for digest := range losses {
				lose(d, digest+1, digest/100, 0)
			}
			b.ReportAllocs()
			for b.Loop() {
				if !d.Empty() {
					d.Refuses(1)
				}
			}
		})
	}
}

// BenchmarkFeatures measures the features, which are computed for each answered request, by the
// length of the body.
func BenchmarkFeatures(b *testing.B) {
	for _, length := range []int{0, 1 << 10, 64 << 10} {
		b.Run(fmt.Sprint(length, " bytes"), func(b *testing.B) {
			body, parts := make([]byte, length), []string{"5c1e07a2", "91bd3f06"}
			b.ReportAllocs()
			for b.Loop() {
				suspect.NewFeatures("/v1/chat", body, int64(length), parts)
			}
		})
	}
}

// TestRefusesParts checks for several histories which features are refused. Feature 1 is a part that
// precedes part 2, and contents are 100 and above.
func TestRefusesParts(t *testing.T) {
	// lost is a loss of a request with the given features at a server, answered an answer to one.
	type step struct {
		features suspect.Features
		server   uint64
	}
	lost := func(server uint64, features ...suspect.Feature) step { return step{features, server} }
	answered := func(features ...suspect.Feature) step { return step{features, 0} }
	tests := []struct {
		name  string
		steps []step
		want  suspect.Features
	}{
		{"three crashes, each with another request", []step{lost(10, 1, 100), lost(11, 1, 101), lost(12, 1, 102)}, nil},
		{"four crashes", []step{lost(10, 1, 100), lost(11, 1, 101), lost(12, 1, 102), lost(13, 1, 103)}, suspect.Features{1}},
		{"one request at three servers", []step{lost(10, 1, 100), lost(11, 1, 100), lost(12, 1, 100)}, suspect.Features{100}},
		{"two requests at five servers", []step{
			lost(10, 1, 100), lost(11, 1, 100), lost(12, 1, 100), lost(13, 1, 101), lost(14, 1, 101),
		}, suspect.Features{1, 100}},
		{"a later part of the same prompts", []step{
			lost(10, 1, 2, 100), lost(11, 1, 2, 101), lost(12, 1, 2, 102), lost(13, 1, 2, 103),
		}, suspect.Features{2}},
		{"an earlier part that was lost once without the later one", []step{
			lost(10, 1, 2, 100), lost(11, 1, 2, 101), lost(12, 1, 104), lost(13, 1, 2, 102), lost(14, 1, 2, 103),
		}, suspect.Features{2}},
		{"an earlier part that was lost repeatedly without the later one", []step{
			lost(10, 1, 2, 100), lost(11, 1, 2, 101), lost(12, 1, 104), lost(13, 1, 105), lost(14, 1, 2, 102),
		}, suspect.Features{1}},
		{"an earlier part that is answered between crashes", []step{
			lost(10, 1, 2, 100), lost(11, 1, 2, 101), answered(1, 200), lost(12, 1, 2, 102), lost(13, 1, 2, 103),
		}, suspect.Features{2}},
		{"a part that was answered before", []step{
			answered(1, 200), lost(10, 1, 100), lost(11, 1, 101), lost(12, 1, 102), lost(13, 1, 103),
		}, nil},
		{"a part that was answered before, and crashes all servers since", []step{
			answered(1, 200), lost(10, 1, 100), lost(11, 1, 101), lost(12, 1, 102), lost(13, 1, 103), lost(14, 1, 104),
		}, suspect.Features{1}},
		{"a sound part beside one that crashes servers", []step{
			lost(10, 2, 100), lost(10, 1, 110), lost(11, 2, 101), lost(11, 1, 111), lost(12, 2, 102), lost(13, 2, 103), lost(13, 1, 113),
			lost(14, 2, 104), lost(14, 1, 114),
		}, suspect.Features{2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withDetector(t, func(t *testing.T, d *suspect.Detector) {
				var all suspect.Features
				for _, s := range tt.steps {
					time.Sleep(time.Second)
					if s.server == 0 {
						d.RecordAnswer(s.features, 0)
					} else {
						d.RecordLoss(suspect.Loss{Features: s.features, Server: s.server})
					}
					all = append(all, s.features...)
				}
				slices.Sort(all)
				refused := d.Refused(slices.Compact(all))
				must.Eq(t, tt.want, refused)
			})
		})
	}
}

// TestAnswerThatBeganBefore: a part that crashes servers from some moment on still gets answers that
// had begun before, which must not clear it of the crashes since.
func TestAnswerThatBeganBefore(t *testing.T) {
	withDetector(t, func(t *testing.T, d *suspect.Detector) {
		began := time.Now()
		for server := range uint64(8) {
			time.Sleep(time.Second)
			d.RecordLoss(suspect.Loss{Features: suspect.Features{1, suspect.Feature(100 + server)}, Server: server})
			d.RecordAnswer(suspect.Features{1, suspect.Feature(200 + server)}, time.Since(began))
		}
		must.True(t, d.Refuses(1))
	})
}

// TestLossesBeforeStart: a node that starts hears of losses, but not which of the requests' parts
// were answered since.
func TestLossesBeforeStart(t *testing.T) {
	withDetector(t, func(t *testing.T, d *suspect.Detector) {
		time.Sleep(time.Second)
		for server := range uint64(8) {
			l := suspect.Loss{Features: suspect.Features{1, suspect.Feature(100 + server)}, Server: server, Ago: time.Minute - time.Duration(server)*time.Second}
			_, isNew := d.RecordLoss(l)
			must.False(t, isNew)
		}
		must.False(t, d.Refuses(1))
	})
}

// TestContestedVerdict: another node has stored a verdict, and this one has an answer that began
// after the losses that it relies on.
func TestContestedVerdict(t *testing.T) {
	for _, tt := range []struct {
		name      string
		begun     time.Duration
		contested bool
	}{{"answer since", 100 * time.Millisecond, true}, {"answer before", time.Second, false}} {
		t.Run(tt.name, func(t *testing.T) {
			withDetector(t, func(t *testing.T, d *suspect.Detector) {
				time.Sleep(time.Minute)
				d.RecordAnswer(suspect.Features{1, 100}, tt.begun)
				must.Eq(t, tt.contested, d.ApplyStored(1, 0))
				must.Eq(t, !tt.contested, d.Refuses(1))
			})
		})
	}
}

// TestAwaitsVerdict: requests wait only while it is being found out whether servers have crashed at
// which enough requests with one of their features were lost.
func TestAwaitsVerdict(t *testing.T) {
	withDetector(t, func(t *testing.T, d *suspect.Detector) {
		waiting := suspect.Features{1, 200}
		for server := range uint64(3) {
			must.False(t, d.AwaitsVerdict(waiting))
			ending := suspect.Ending{Features: suspect.Features{1, suspect.Feature(100 + server)}}
			must.True(t, d.AddUnconfirmed(server, ending))
			must.False(t, d.AddUnconfirmed(server, ending), must.Sprint("a check is running"))
		}
		must.True(t, d.AwaitsVerdict(waiting))
		must.False(t, d.AwaitsVerdict(suspect.Features{2, 200}))
		for server := range uint64(3) {
			must.Eq(t, 2, d.CountUnconfirmed(server))
			endings, remaining := d.TakeUnconfirmed(server, 2)
			must.Eq(t, 2, len(endings))
			must.Eq(t, 0, remaining)
		}
		must.False(t, d.AwaitsVerdict(waiting))
		must.True(t, d.Empty())
	})
}

// TestAbsurdProbesStopNode checks that a stored verdict with an absurd number of probes holds, and keeps nobody waiting.
func TestAbsurdProbesStopNode(t *testing.T) {
	for _, probes := range []int{math.MaxInt, math.MinInt} {
		withDetector(t, func(t *testing.T, d *suspect.Detector) {
			f := suspect.Feature(1)
			must.False(t, d.ApplyStored(f, probes))
			must.True(t, d.Refuses(f))
			_, due := d.ProbeDue(f)
			must.False(t, due)
		})
	}
}
