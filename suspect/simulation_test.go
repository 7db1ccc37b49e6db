package suspect_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/violettally/violettally/internal/crashrule"
	"github.com/violettally/violettally/suspect"
	"github.com/violettally/violettally/timer"
)

const (
	// simServers is the number of servers, each of which runs up to simSlots requests.
	simServers = 18
	simSlots   = 32
	// simRestartTime is how long a crashed server is gone, simCrashTime how long it runs a request
	// that crashes it.
	simRestartTime = 2500 * time.Millisecond
	simCrashTime   = 60 * time.Millisecond
	// simMinRunTime and simMaxRunTime bound the time that a server runs a sound request.
	simMinRunTime = 140 * time.Millisecond
	simMaxRunTime = 1260 * time.Millisecond
	// simRetryDelay is the time from a loss to the next attempt of a request.
	simRetryDelay = 60 * time.Millisecond
	simAttempts   = 3
)

// simulation is a deployment with requests that share parts of their prompts, some of which crash
// the servers. It runs in a synctest bubble, event by event, so that a seed determines what happens.
type simulation struct {
	random *rand.Rand
	nodes  []*suspect.Detector
	// maxDelay is the longest time until other nodes learn what a node publishes.
	maxDelay time.Duration
	events   eventQueue
	servers  []*simServer
	// started counts the servers so far, requests the requests.
	started  uint64
	requests int
	// sound and companions are the sound requests, the latter those that share all parts but one with
	// requests that crash servers.
	sound, companions simTimes
	// crashes and arrivals hold, by part, the crashes and the requests that servers got.
	crashes, arrivals map[string][]time.Time
}

// simTimes holds when requests were sent, and when such were sent that were refused.
type simTimes struct{ sent, refused []time.Time }

// simServer is one incarnation of a server.
type simServer struct {
	hash    uint64
	running []*simRequest
}

// simRequest is a request.
type simRequest struct {
	node     int
	features suspect.Features
	// crashes is the part that crashes servers, "" for none.
	crashes   string
	companion bool
	sent      time.Time
	// attempts counts the attempts, of which the last one began at begun at the server.
	attempts int
	begun    time.Time
	server   *simServer
	tried    map[*simServer]bool
}

func newSimulation(nodes int, maxDelay time.Duration, timers *timer.Service, seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 0)), maxDelay: maxDelay,
		crashes: make(map[string][]time.Time), arrivals: make(map[string][]time.Time),
	}
	for range nodes {
		s.nodes = append(s.nodes, suspect.New(timers))
	}
	for range simServers {
		s.startServer()
	}
	return s
}

// after runs a function after a time.
func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, simEvent{at: time.Now().Add(d), order: s.events.pushed, run: run})
	s.events.pushed++
}

// run runs all events.
func (s *simulation) run() {
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		time.Sleep(time.Until(e.at))
		e.run()
	}
}

// startServer starts a server.
func (s *simulation) startServer() {
	s.started++
	s.servers = append(s.servers, &simServer{hash: s.started})
}

// crash lets a server crash; another one takes its place after simRestartTime.
func (s *simulation) crash(server *simServer) {
	i := slices.Index(s.servers, server)
	if i < 0 {
		return
	}
	s.servers = slices.Delete(s.servers, i, i+1)
	lost := server.running
	server.running = nil
	for _, q := range lost {
		s.lose(q)
	}
	s.after(simRestartTime, s.startServer)
}

// crashAny lets a random server crash by itself.
func (s *simulation) crashAny() {
	if len(s.servers) > 0 {
		s.crash(s.servers[s.random.IntN(len(s.servers))])
	}
}

// lose records the loss of a request at its server, and makes its next attempt.
func (s *simulation) lose(q *simRequest) {
	server, at := q.server.hash, time.Now()
	d := s.nodes[q.node]
	d.RecordLoss(suspect.Loss{Features: q.features, Server: server, Own: true})
	answered := d.AnsweredLately(q.features)
	s.publish(q.node, func(other *suspect.Detector) {
		other.RecordLoss(suspect.Loss{Features: q.features, Server: server, Ago: time.Since(at), Answered: answered})
	})
	s.after(simRetryDelay, func() { s.attempt(q) })
}

// publish lets all other nodes know something, each after a delay.
func (s *simulation) publish(from int, tell func(d *suspect.Detector)) {
	for i, d := range s.nodes {
		if i != from {
			s.after(time.Duration(s.random.Int64N(int64(s.maxDelay))), func() { tell(d) })
		}
	}
}

// send sends a request through a random node. Crashes is the part that crashes the servers, "" for
// none.
func (s *simulation) send(parts []string, crashes string, companion bool) {
	s.requests++
	q := &simRequest{
		node: s.random.IntN(len(s.nodes)), features: suspect.NewFeatures(fmt.Sprint("/", s.requests), nil, 0, parts),
		crashes: crashes, companion: companion, sent: time.Now(), tried: make(map[*simServer]bool),
	}
	switch {
	case companion:
		s.companions.sent = append(s.companions.sent, q.sent)
	case crashes == "":
		s.sound.sent = append(s.sound.sent, q.sent)
	}
	s.attempt(q)
}

// attempt sends a request to a server that has not run it and has room, unless it is refused.
func (s *simulation) attempt(q *simRequest) {
	if refused := s.nodes[q.node].Refused(q.features); len(refused) > 0 && !s.mayProbe(q.node, refused) {
		s.refuse(q)
		return
	}
	mayRun := slices.DeleteFunc(slices.Clone(s.servers), func(server *simServer) bool {
		return q.tried[server] || len(server.running) >= simSlots
	})
	if q.attempts == simAttempts || len(mayRun) == 0 {
		return
	}
	server := mayRun[s.random.IntN(len(mayRun))]
	server.running = append(server.running, q)
	q.attempts++
	q.server, q.begun, q.tried[server] = server, time.Now(), true
	if q.crashes == "" {
		s.after(simMinRunTime+time.Duration(s.random.Int64N(int64(simMaxRunTime-simMinRunTime))), func() { s.answer(q, server) })
		return
	}
	s.arrivals[q.crashes] = append(s.arrivals[q.crashes], q.begun)
	s.after(simCrashTime, func() {
		if slices.Contains(server.running, q) {
			s.crashes[q.crashes] = append(s.crashes[q.crashes], time.Now())
			s.crash(server)
		}
	})
}

// refuse counts the refusal of a request.
func (s *simulation) refuse(q *simRequest) {
	switch {
	case q.companion:
		s.companions.refused = append(s.companions.refused, q.sent)
	case q.crashes == "":
		s.sound.refused = append(s.sound.refused, q.sent)
	}
}

// mayProbe reports whether a node is to send a refused request as a probe. One node does so for all.
func (s *simulation) mayProbe(node int, refused suspect.Features) bool {
	d := s.nodes[node]
	for _, f := range refused {
		probes, due := 0, false
		if node == 0 {
			probes, due = d.ProbeDue(f)
		}
		if !due {
			return false
		}
		d.ApplyStored(f, probes)
	}
	return true
}

// answer ends a request with an answer, unless its server has crashed.
func (s *simulation) answer(q *simRequest, server *simServer) {
	i := slices.Index(server.running, q)
	if i < 0 {
		return
	}
	server.running = slices.Delete(server.running, i, i+1)
	at := time.Now()
	answer := s.nodes[q.node].RecordAnswer(q.features, time.Since(q.begun))
	if len(answer.Cleared) > 0 {
		s.publish(q.node, func(d *suspect.Detector) { d.RecordPeerAnswer(answer.Cleared, answer.Ago+time.Since(at)) })
	}
}

// knownAt returns when all nodes must know of a part that crashes servers; false if too few did.
func (s *simulation) knownAt(part string) (time.Time, bool) {
	if len(s.crashes[part]) < crashrule.KnownCrashes {
		return time.Time{}, false
	}
	return s.crashes[part][crashrule.KnownCrashes-1].Add(crashrule.SpreadTime), true
}

// countAfter returns how many of the times are after the given one.
func countAfter(times []time.Time, after time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(after) {
			count++
		}
	}
	return count
}

// simEvent is something that happens at a time.
type simEvent struct {
	at    time.Time
	order int
	run   func()
}

// eventQueue is a heap of events. Those of one time are in the order in which they were added.
type eventQueue struct {
	items  []simEvent
	pushed int
}

func (q *eventQueue) Len() int { return len(q.items) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.order < b.order
}
func (q *eventQueue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }
func (q *eventQueue) Push(e any)    { q.items = append(q.items, e.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}
