// Package standin holds small stand-ins for what surrounds the system: the
// platform's key-value service, VM list and rating service, a model engine
// and a plain service. They speak the published protocols over HTTP and can
// be told to fail; they are used by tests, the example and measurements, and
// the shipped binary does not contain them.
//
// # Usage
//
//	server := httptest.NewServer(standin.NewKeyValue().Handler())
//	defer server.Close()
//
// Each stand-in takes POST /fault with a [Fault] and behaves so until the next
// one.
package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Fault tells a stand-in how to misbehave.
type Fault struct {
	// Down breaks every connection without an answer.
	Down bool `json:"down"`
	// SlowMillis delays every answer.
	SlowMillis int `json:"slow_ms"`
	// DropResponses does the work and breaks the connection before the answer.
	DropResponses bool `json:"lose_answers"`
}

// faulty wraps a handler with the fault that is in force.
type faulty struct {
	mu    sync.Mutex
	fault Fault
}

func (f *faulty) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *faulty) get() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

func (f *faulty) wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		var fault Fault
		if !readJSON(w, r, &fault) {
			return
		}
		f.set(fault)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		fault := f.get()
		if fault.Down {
			panic(http.ErrAbortHandler)
		}
		if fault.SlowMillis > 0 {
			time.Sleep(time.Duration(fault.SlowMillis) * time.Millisecond)
		}
		if fault.DropResponses {
			next.ServeHTTP(discard{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
	return mux
}

// discard takes an answer that nobody will see.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}
func (d discard) Flush()                      {}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
