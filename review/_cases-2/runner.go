package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two writes of a runner's entry.
const heartbeat = 1200 * time.Millisecond

// run is one request that a runner ran.
type run struct {
	id, runner, version, service, session, tenant string
	method, uri                                   string
	began                                         time.Time
}

// runs is what all runners ran.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

// list returns all runs so far.
func (r *runs) list() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.all...)
}

// runner is a stand-in for a runner of a service.
type runner struct {
	w                    *world
	id, service, version string
	zone, address        string
	slots                int
	// work handles a request that is for this runner, after its body was read.
	work http.HandlerFunc
	runs *runs

	running atomic.Int64
	stopped chan struct{}
	server  *http.Server
	conns   resettable
}

// startRunner starts a runner and writes its entry until stop.
func (w *world) startRunner(r *runner) *runner {
	r.w, r.stopped = w, make(chan struct{})
	if r.address == "" {
		r.address = freeAddress("127.0.0.1")
	}
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		panic(notRun{err.Error()})
	}
	r.server = &http.Server{Handler: r, ConnState: r.conns.state}
	go func() { _ = r.server.Serve(listener) }()
	r.announce("ready")
	go func() {
		for beat := time.NewTicker(heartbeat); ; {
			select {
			case <-r.stopped:
				beat.Stop()
				return
			case <-beat.C:
				r.announce("ready")
			}
		}
	}()
	return r
}

// announce writes the runner's entry.
func (r *runner) announce(state string) {
	r.w.store.Put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": state,
		"cold_left_ms": 0, "call_seq": 0,
	})
}

// stop ends the runner at once, and its entry.
func (r *runner) stop() {
	close(r.stopped)
	r.w.store.Delete("servers/" + r.id)
	_ = r.server.Close()
}

// ServeHTTP answers a request as the platform's runners do.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if strings.HasPrefix(q.URL.Path, "/api/") {
		if q.URL.Path == "/api/report" {
			_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "models": []any{}, "queued": 0, "running": r.running.Load(), "runs": []any{}})
			return
		}
		w.WriteHeader(http.StatusNotFound)
		return
	}
	id := q.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if want := q.Header.Get("X-Expect-Runner"); want != "" && want != r.id {
		w.Header().Set("X-Runner-Id", r.id)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	r.w.note("run %s: %s %s at %s (%s %s)", id, q.Method, q.RequestURI, r.id, r.service, r.version)
	r.runs.add(run{
		id: id, runner: r.id, version: r.version, service: r.service, session: q.Header.Get("Session"), tenant: q.Header.Get("X-Tenant"),
		method: q.Method, uri: q.RequestURI, began: time.Now(),
	})
	running := r.running.Add(1)
	defer r.running.Add(-1)
	w.Header().Set("X-Stamp", "stamp-"+r.id+"-"+id)
	w.Header().Set("X-Runner-Load", fmt.Sprintf("%d,0,%d", running, r.slots))
	r.work(w, q)
}

// streamEvents answers with so many events, one each pause.
func streamEvents(count int, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		after := 0
		_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &after)
		for n := after + 1; n <= count; n++ {
			select {
			case <-q.Context().Done():
				return
			case <-time.After(pause):
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, q.Header.Get("X-Attempt-Id"), n)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// crash ends the runner's process at once: its port refuses and its channels are reset. It says nothing, so that its
// entry goes after three heartbeats.
func (r *runner) crash() {
	close(r.stopped)
	r.conns.reset()
	_ = r.server.Close()
	id := r.id
	time.AfterFunc(3*heartbeat, func() { r.w.store.Delete("servers/" + id) })
}

// resettable tracks the channels of a server so that they can be reset.
type resettable struct {
	mu   sync.Mutex
	open map[net.Conn]bool
}

// state is the hook of a server.
func (c *resettable) state(nc net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[net.Conn]bool)
	}
	if s == http.StateClosed {
		delete(c.open, nc)
		return
	}
	c.open[nc] = true
}

// reset resets all channels.
func (c *resettable) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc := range c.open {
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = nc.Close()
	}
}
