package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["orders"] = playOrders }

const (
	// idleServices are services without traffic that have been given an order each, lateServices those that
	// are given one later.
	idleServices = 29
	lateServices = 2
	// orderPeriod is the time budget of each order.
	orderPeriod = 60
	// workTime is how long a runner works on a request.
	workTime = 50 * time.Millisecond
	// requestInterval is the time between two requests of the clients together.
	requestInterval = 12 * time.Millisecond
	// badAfter is how long after the last orders the new version turns bad.
	badAfter = 5 * time.Second
	// rollbackTime is rollback_ms of the site.
	rollbackTime = 5 * time.Second
	// ordersLength is how long requests are sent after the new version has turned bad.
	ordersLength = 40 * time.Second
)

// arrivalAt is a request that has reached a runner of the new version.
type arrivalAt struct {
	id       string
	sent, at time.Time
	bad      bool
}

// versionRunner is a runner of one version. A bad one answers every request with a failure.
type versionRunner struct {
	id      string
	version string
	bad     *atomic.Bool
	sentAt  func(id string) time.Time

	mu       sync.Mutex
	arrivals []arrivalAt
}

func (r *versionRunner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if q.Header.Get("X-Expect-Runner") != r.id {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(workTime)
	bad := r.bad != nil && r.bad.Load()
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrivalAt{id, r.sentAt(id), time.Now(), bad})
	r.mu.Unlock()
	w.Header().Set("X-Stamp", r.id+"-"+id)
	if bad {
		w.WriteHeader(http.StatusInternalServerError)
	}
	fmt.Fprintf(w, "%s of %s", id, r.version)
}

// playOrders has a new version turn bad during its roll-out. With the disruption, orders for two more
// services come meanwhile.
func playOrders(w *world) int {
	var sent sync.Map
	sentAt := func(id string) time.Time {
		at, _ := sent.Load(id)
		t, _ := at.(time.Time)
		return t
	}
	var bad atomic.Bool
	services := []map[string]any{}
	for n := range 1 + idleServices + lateServices {
		name := fmt.Sprintf("service-%02d", n)
		services = append(services, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false})
	}
	routes := []map[string]any{}
	for n, s := range services {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("r-%02d", n), "host": testHost, "path_prefix": fmt.Sprintf("/s%02d/", n), "kind": "non_idempotent",
			"timeout_ms": 2000, "goal_ms": 300, "priority": 1, "service": s["name"], "attempts": 1})
	}
	var newRunners []*versionRunner
	for n, s := range services {
		for i := range 4 {
			version := "v" + strconv.Itoa(1+i/2)
			runner := &versionRunner{id: fmt.Sprintf("i-%02d-%s-%d", n, version, i), version: version, sentAt: sentAt}
			if n == 0 && version == "v2" {
				runner.bad = &bad
				newRunners = append(newRunners, runner)
			}
			w.announce(runner.id, s["name"].(string), w.serve(runner), fmt.Sprintf("zone-%c", 'a'+i%3), version, "ready", 6)
		}
	}
	w.declare(1, routes, services)
	gateways := w.startGateways(3)
	time.Sleep(2 * time.Second) // the gateways learn of each other

	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		w.sendMany(gateways, &sent, stop)
	}()
	for n := range 1 + idleServices {
		w.order(services[n]["name"].(string))
	}
	count := func() int {
		total := 0
		for _, r := range newRunners {
			r.mu.Lock()
			total += len(r.arrivals)
			r.mu.Unlock()
		}
		return total
	}
	for limit := time.Now().Add(30 * time.Second); count() < 10; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(limit) {
			w.fail("the roll-out did not begin")
		}
	}
	w.record("operator: the new version of %s has had %d requests", services[0]["name"], count())
	if w.trouble {
		for n := range lateServices {
			w.order(services[1+idleServices+n]["name"].(string))
		}
	}
	time.Sleep(badAfter)
	bad.Store(true)
	w.record("runners: the new version of %s is bad from now on", services[0]["name"])
	time.Sleep(ordersLength)
	close(stop)
	clients.Wait()
	w.recordStatus(services[0]["name"].(string))
	return w.judgeExposure(newRunners)
}

// order writes the operator's order to move a service to its new version.
func (w *world) order(service string) {
	revision := w.store.put("op/rollout/"+service, map[string]any{"service": service, "target_ver": "v2", "period_s": orderPeriod})
	w.record("operator: order for %s, revision %d", service, revision)
}

func (w *world) recordStatus(service string) {
	i, ok := w.store.get("status/rollout/" + service)
	w.record("operator: status of %s: %s (there: %t)", service, i.Value, ok)
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.record("store: %d calls refused for more than 32 entries", w.store.tooLarge)
}

// sendMany sends requests to the first service, to one gateway after the other.
func (w *world) sendMany(gateways []*gateway, sent *sync.Map, stop <-chan struct{}) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var pending sync.WaitGroup
	defer pending.Wait()
	ticks := time.NewTicker(requestInterval)
	defer ticks.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticks.C:
		case <-stop:
			return
		}
		id := "q" + strconv.Itoa(n)
		request, _ := http.NewRequest(http.MethodPost, "http://"+gateways[n%len(gateways)].caller+"/s00/"+id, strings.NewReader("x"))
		request.Host = testHost
		request.Header.Set("X-Attempt-Id", id)
		request.Header.Set("X-Time-Left-Ms", "2000")
		request.Header.Set("Authorization", "Bearer "+testKey)
		sent.Store(id, time.Now())
		pending.Go(func() {
			response, err := client.Do(request)
			if err != nil {
				w.record("client: request %s: %v", id, err)
				return
			}
			answer, _ := bufio.NewReader(response.Body).ReadString('\n')
			response.Body.Close()
			w.record("client: request %s: %d %q", id, response.StatusCode, answer)
		})
	}
}

// judgeExposure checks that no request was sent later than rollback_ms after the 50th bad answer and reached
// the bad version.
func (w *world) judgeExposure(runners []*versionRunner) int {
	var all []arrivalAt
	for _, r := range runners {
		r.mu.Lock()
		all = append(all, r.arrivals...)
		r.mu.Unlock()
	}
	var badAt []time.Time
	for _, a := range all {
		if a.bad {
			badAt = append(badAt, a.at)
		}
	}
	w.record("judge: the new version had %d requests, and %d bad answers", len(all), len(badAt))
	if len(badAt) < 50 {
		return exitHeld
	}
	fiftieth := nth(badAt, 50)
	late := 0
	for _, a := range all {
		if a.sent.Sub(fiftieth) > rollbackTime {
			late++
		}
	}
	w.record("judge: 50th bad answer at %.3f s; %d requests that were sent over %s later reached the bad version", fiftieth.Sub(w.began).Seconds(), late, rollbackTime)
	if late > 0 {
		return exitBroken
	}
	return exitHeld
}

// nth returns the nth of some times.
func nth(times []time.Time, n int) time.Time {
	sorted := append([]time.Time(nil), times...)
	for i := range sorted {
		for j := i; j > 0 && sorted[j].Before(sorted[j-1]); j-- {
			sorted[j], sorted[j-1] = sorted[j-1], sorted[j]
		}
	}
	return sorted[n-1]
}
