package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Plain is a stand-in for a plain service, one that is not a model engine, such as a
// service that stores proofs of delivery. GET /ran lists each run, so that a test can
// detect a call that ran twice.
type Plain struct {
	faultInjector
	delay time.Duration
	mu    sync.Mutex
	runs  []*Run
}

// NewPlain returns a service that responds to each call after delay.
func NewPlain(delay time.Duration) *Plain { return &Plain{delay: delay} }

// Handler returns the HTTP handler of the service.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ran", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		writeJSON(w, map[string]any{"runs": p.runs})
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]any{"running": 0, "waiting": 0, "slots": 64, "age_ms": 0})
	})
	mux.HandleFunc("/", p.serve)
	return p.wrap(mux)
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	run := &Run{RequestID: r.Header.Get("X-Request-Id"), Path: r.Method + " " + r.URL.Path, Started: time.Now()}
	p.mu.Lock()
	p.runs = append(p.runs, run)
	receipt := len(p.runs)
	p.mu.Unlock()
	time.Sleep(p.delay)
	p.mu.Lock()
	run.Done = true
	p.mu.Unlock()
	writeJSON(w, map[string]string{"receipt": fmt.Sprint(receipt), "path": r.URL.Path, "echo": string(body)})
}
