package main

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["pinned"] = pinned }

const (
	pinnedGateways = 6
	pinnedRunners  = 6
	pinnedSessions = 120
	// sessionRequests is how many requests a session has.
	sessionRequests = 40
	rolloutPeriod   = 24 * time.Second
	sessionTime     = 5 * time.Second
)

// answered is a request of a session as its client saw it.
type answered struct {
	id, session string
	ended       time.Time
	status      int
}

// pinned rolls a good version out while sessions go on, each of whose requests takes a channel of its own.
func pinned(w *world) bool {
	w.store.Put("op/config", configuration(1, route("r-brief", "/lohu930/", "stream", pool, 20000, 3)))
	seen := &runs{}
	start := func(version string) (all []*runner) {
		for i := range pinnedRunners {
			all = append(all, w.startRunner(&runner{
				id: fmt.Sprintf("i-%s-%d", version, i), service: pool, version: version, zone: halls[i%len(halls)], slots: 32,
				work: streamEvents(3, 10*time.Millisecond), runs: seen,
			}))
			time.Sleep(heartbeat / (2 * pinnedRunners)) // runners don't write their entries all at once
		}
		return all
	}
	old := start("v1")
	gateways := w.startGateways(pinnedGateways)
	var addresses []string
	for _, g := range gateways {
		addresses = append(addresses, g.client)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var answers []answered
	for n := range pinnedSessions {
		clients.Go(func() {
			for step := 0; ; step++ {
				select {
				case <-stop:
					return
				case <-time.After(rand.N(40 * time.Millisecond)):
				}
				session := fmt.Sprintf("s-%d-%d", n, step/sessionRequests)
				a := w.askStream(addresses[rand.IntN(len(addresses))], fmt.Sprintf("%s-%d", session, step), session)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	time.Sleep(8 * time.Second)
	ordered := time.Now()
	if w.trouble {
		ordered = time.Now()
		w.store.Put("op/rollout/"+pool, map[string]any{"service": pool, "target_ver": "v2", "period_s": rolloutPeriod.Seconds()})
		w.note("order: %s to v2 in %s", pool, rolloutPeriod)
		time.Sleep(200 * time.Millisecond)
		start("v2") // beside the old ones
	}
	state, completed := "", time.Time{}
	for time.Since(ordered) < rolloutPeriod+6*time.Second {
		time.Sleep(20 * time.Millisecond)
		if now := string(w.store.Get("status/rollout/" + pool)); now != state {
			state = now
			w.say("status at %.1f s after the order: %s", time.Since(ordered).Seconds(), state)
			if strings.Contains(state, "complete") {
				completed = time.Now()
				for _, r := range old {
					r.stop()
				}
				break
			}
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	rolledBack := strings.Contains(state, "rolled_back")
	return w.judgePinned(seen.list(), answers, ordered, completed, rolledBack)
}

// judgePinned counts the requests that ran on another version than the one before in their session.
func (w *world) judgePinned(all []run, answers []answered, ordered, completed time.Time, rolledBack bool) bool {
	byID := make(map[string][]run)
	for _, r := range all {
		byID[r.id] = append(byID[r.id], r)
	}
	bySession := make(map[string][]answered)
	served := 0
	for _, a := range answers {
		bySession[a.session] = append(bySession[a.session], a)
		if a.status == http.StatusOK {
			served++
		}
	}
	perVersion := make(map[string]int)
	for _, r := range all {
		perVersion[fmt.Sprintf("%02d %s", int(r.began.Sub(ordered).Seconds()), r.version)]++
	}
	for _, second := range slices.Sorted(maps.Keys(perVersion)) {
		w.note("second after the order, version: %s: %d runs", second, perVersion[second])
	}
	early, back := 0, 0
	var lines []string
	for _, list := range bySession {
		slices.SortFunc(list, func(a, b answered) int { return a.ended.Compare(b.ended) })
		for i := 1; i < len(list); i++ {
			before, now := byID[list[i-1].id], byID[list[i].id]
			if len(before) != 1 || len(now) != 1 || now[0].began.Sub(list[i-1].ended) >= sessionTime {
				continue
			}
			from, to, at := before[0].version, now[0].version, now[0].began.Sub(ordered)
			switch {
			case from == to:
				continue
			case to == "v2" && at < rolloutPeriod/2:
				early++
			case to == "v1" && !rolledBack:
				back++
			default:
				continue
			}
			lines = append(lines, fmt.Sprintf("%7.3f s after the order: %s ran on %s at %s, %.0f ms after %s of the same session had ended on %s at %s",
				at.Seconds(), list[i].id, to, now[0].runner, 1000*now[0].began.Sub(list[i-1].ended).Seconds(), list[i-1].id, from, before[0].runner))
		}
	}
	slices.Sort(lines)
	for _, line := range lines {
		w.note("%s", line)
	}
	if !completed.IsZero() {
		w.note("complete %.1f s after the order", completed.Sub(ordered).Seconds())
	}
	w.say("%d requests of %d sessions, %d served; on the new version in the first half: %d; back on the old one: %d; allowed: 3",
		len(answers), len(bySession), served, early, back)
	if served < len(answers)/2 {
		panic(notRun{"most requests were not served"})
	}
	return early+back > 3
}

// askStream sends a request of a session on a channel of its own, and reads the whole answer.
func (w *world) askStream(address, id, session string) answered {
	q, err := http.NewRequest(http.MethodPost, "http://"+address+"/lohu930/2f", strings.NewReader("{}"))
	if err != nil {
		panic(err)
	}
	q.Host = host
	for name, value := range map[string]string{
		"X-Attempt-Id": id, "X-Model": model, "X-Token-Count": "100,3", "X-Prompt-Prefix": "aa:60,bb:40",
		"X-Time-Left-Ms": "5000", "Authorization": "Bearer " + key, "Session": session,
	} {
		q.Header.Set(name, value)
	}
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a := answered{id: id, session: session}
	w.note("sent %s: to %s", id, address)
	response, err := client.Do(q)
	if err == nil {
		a.status = response.StatusCode
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			a.status = 0
		}
		response.Body.Close()
	}
	a.ended = time.Now()
	w.note("answered %s: status %d", id, a.status)
	return a
}
