// Package standin provides stand-ins for the external services that the system
// uses: the platform's metadata store, key-value service, VM list and rating
// service, its backend servers, a model engine and a plain service. They speak the
// published protocols over HTTP and can inject faults. Tests, the example and
// benchmarks use them; they are not part of the shipped binary.
//
// # Usage
//
//	server := httptest.NewServer(standin.NewKeyValue().Handler())
//	defer server.Close()
//
// POST /fault with a [Fault] sets the fault of a stand-in until the next one; a
// [Backend] takes its faults from its [BackendResponse] instead.
package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Fault is the fault that a stand-in injects into every request.
type Fault struct {
	// Down aborts every connection without a response.
	Down bool `json:"down"`
	// SlowMillis delays every request, in milliseconds.
	SlowMillis int `json:"slow_ms"`
	// DropResponses processes the request, then aborts the connection instead of
	// sending the response.
	DropResponses bool `json:"lose_answers"`
}

// faultInjector wraps a handler with the current fault.
type faultInjector struct {
	mu    sync.Mutex
	fault Fault
}

func (f *faultInjector) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *faultInjector) get() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

func (f *faultInjector) wrap(next http.Handler) http.Handler {
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
			next.ServeHTTP(discardWriter{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
	return mux
}

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}
func (d discardWriter) Flush()                      {}

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
