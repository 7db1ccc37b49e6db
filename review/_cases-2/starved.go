package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["starved"] = starved }

const (
	// lookupWork is how long a runner works on a look-up, within the route's timeout.
	lookupWork = 2 * time.Second
	// crashes is how many runners crash one after the other, one at a time, each for downTime.
	crashes  = 24
	downTime = 500 * time.Millisecond
	// calmBefore is how long all runs well before that, and judgedAfter how long clients go on after it.
	calmBefore  = 9 * time.Second
	judgedAfter = 32 * time.Second
)

// tally counts what became of the requests of one kind.
type tally struct {
	mu             sync.Mutex
	sent, served   int
	after, servedA int
	statuses       map[int]int
}

// starved lets the four runners of a service crash by turns, one at a time, while clients look things up there, each with
// a query of its own, and others use another service.
func starved(w *world) bool {
	seen := &runs{}
	w.store.Put("op/config", configuration(1,
		route("r-pod", "/cufi504/", "idempotent", records, 4000, 2),
		route("r-manifest", "/puxa403/", "non_idempotent", pool, 4000, 1)))
	answer := func(work time.Duration) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			select {
			case <-q.Context().Done():
			case <-time.After(work):
				_, _ = io.WriteString(w, "answer to "+q.RequestURI)
			}
		}
	}
	var lookups [4]*runner
	for i := range lookups {
		lookups[i] = w.startRunner(&runner{id: fmt.Sprintf("i-look-%d-0", i), service: records, version: "v1", zone: halls[i%3], slots: 32, work: answer(lookupWork), runs: seen})
	}
	for i := range 4 {
		w.startRunner(&runner{id: fmt.Sprintf("i-man-%d", i), service: pool, version: "v1", zone: halls[i%3], slots: 32, work: answer(60 * time.Millisecond), runs: seen})
	}
	gateways := w.startGateways(3)
	stop := make(chan struct{})
	var over atomic.Bool // the crashes, and five seconds more
	var clients sync.WaitGroup
	var pods, manifests tally
	flow := func(t *tally, every time.Duration, send func(n int, address string) int) {
		clients.Go(func() {
			ticks := time.NewTicker(every)
			defer ticks.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-ticks.C:
				}
				address := gateways[n%len(gateways)].client
				clients.Go(func() {
					late := over.Load()
					t.count(send(n, address), late)
				})
			}
		})
	}
	flow(&pods, 125*time.Millisecond, func(n int, address string) int {
		return w.ask(http.MethodGet, address, fmt.Sprintf("/cufi504/pods?id=%d", n), fmt.Sprintf("pod-%d", n), "")
	})
	flow(&manifests, 31*time.Millisecond, func(n int, address string) int {
		return w.ask(http.MethodPost, address, "/puxa403/2f", fmt.Sprintf("man-%d", n), fmt.Sprintf("manifest %d", n))
	})
	time.Sleep(calmBefore)
	if w.trouble {
		w.note("trouble: runners crash by turns")
		for n := range crashes {
			r := lookups[n%len(lookups)]
			w.note("crash: %s at %s", r.id, r.address)
			r.crash()
			time.Sleep(downTime)
			lookups[n%len(lookups)] = w.startRunner(&runner{
				id: fmt.Sprintf("i-look-%d-%d", n%len(lookups), 1+n), service: records, version: "v1", zone: r.zone, slots: 32,
				address: r.address, work: answer(lookupWork), runs: seen,
			})
		}
		w.note("trouble over: all runners are up")
	} else {
		time.Sleep(crashes * downTime)
	}
	time.Sleep(5 * time.Second)
	over.Store(true)
	time.Sleep(judgedAfter)
	close(stop)
	clients.Wait()
	share := func(t *tally) float64 { return float64(t.served) / float64(max(1, t.sent)) }
	all := float64(pods.served+manifests.served) / float64(pods.sent+manifests.sent)
	w.say("pods: %d sent, %d served (%.3f), statuses %v; of those sent later than 5 s after all runners were up: %d of %d served", pods.sent, pods.served, share(&pods), pods.statuses, pods.servedA, pods.after)
	w.say("manifests: %d sent, %d served (%.3f), statuses %v", manifests.sent, manifests.served, share(&manifests), manifests.statuses)
	w.say("all: served %.3f; a kind must be served a quarter as often: %.3f; pods: %.3f", all, all/4, share(&pods))
	w.note("verdicts in the store: %v", w.store.Keys("suspects/"))
	return share(&pods) < all/4
}

func (t *tally) count(status int, late bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.statuses == nil {
		t.statuses = make(map[int]int)
	}
	t.statuses[status]++
	t.sent++
	ok := status == http.StatusOK
	if ok {
		t.served++
	}
	if late {
		t.after++
		if ok {
			t.servedA++
		}
	}
}
