package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// EngineRuns records which requests the engines of a platform run, and moves the memory
// of a run from one engine to another as the platform's engines do. All engines of a test share
// one EngineRuns. It is safe for concurrent use.
type EngineRuns struct {
	mu sync.Mutex
	// runs holds all runs so far in the order in which they began.
	runs []*EngineRun
	// copies holds the memory that waits to be used, by the source's address and the handle.
	copies map[string]*runCopy
}

// EngineRun is the work of one engine on one request.
type EngineRun struct {
	// ID is that of the request, Server that of the engine, and Address the engine's.
	ID, Server, Address string

	all    *EngineRuns
	cancel context.CancelFunc

	// The fields below are guarded by all.mu.

	ended  bool
	events int
}

// runCopy is the memory of a run that was moved to another engine.
type runCopy struct{ id, target string }

// NewEngineRuns returns an EngineRuns without runs.
func NewEngineRuns() *EngineRuns {
	return &EngineRuns{copies: make(map[string]*runCopy)}
}

// Begin records that an engine begins to work on a request. It returns false if the request is to go
// on from a copy that is not there. The context ends when the client closes the connection or the run is
// moved; End must be called once the engine has ended its work.
func (s *EngineRuns) Begin(server, address string, q *http.Request) (context.Context, *EngineRun, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &EngineRun{ID: q.Header.Get("X-Attempt-Id"), Server: server, Address: address, all: s}
	if from := q.Header.Get("Kv-From"); from != "" {
		found := s.copies[from]
		if found == nil || found.id != r.ID || found.target != address {
			return nil, nil, false
		}
		delete(s.copies, from)
	}
	ctx, cancel := context.WithCancel(q.Context())
	r.cancel = cancel
	s.runs = append(s.runs, r)
	return ctx, r, true
}

// Made records that the run has made its nth event.
func (r *EngineRun) Made(n int) {
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	r.events = n
}

// End records that the engine has ended its work.
func (r *EngineRun) End() {
	r.cancel()
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	r.ended = true
}

// Earlier returns the runs of the same request that other engines began before this one and have not
// ended.
func (s *EngineRuns) Earlier(r *EngineRun) []*EngineRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var earlier []*EngineRun
	for _, other := range s.runs {
		if other == r {
			break
		}
		if other.ID == r.ID && other.Address != r.Address && !other.ended {
			earlier = append(earlier, other)
		}
	}
	return earlier
}

// Unended returns the number of runs that go on.
func (s *EngineRuns) Unended() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, r := range s.runs {
		if !r.ended {
			count++
		}
	}
	return count
}

// All returns all runs so far in the order in which they began.
func (s *EngineRuns) All() []*EngineRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*EngineRun(nil), s.runs...)
}

// Copies returns the number of copies that wait to be used or freed.
func (s *EngineRuns) Copies() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.copies)
}

// Handler returns a handler that answers the control calls to the engine at an address, and passes other
// requests on. No requests are queued.
func (s *EngineRuns) Handler(address func() string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		handle, isHandle := strings.CutPrefix(q.URL.Path, "/api/kv-handle/")
		switch {
		case q.Method == http.MethodPost && q.URL.Path == "/api/kv-move":
			s.serveMove(address(), w, q)
		case q.Method == http.MethodGet && q.URL.Path == "/api/report":
			s.serveReport(address(), w)
		case q.Method == http.MethodDelete && isHandle:
			s.mu.Lock()
			delete(s.copies, address()+"/"+handle)
			s.mu.Unlock()
		default:
			next.ServeHTTP(w, q)
		}
	})
}

// serveMove stops a run and copies its memory to another engine.
func (s *EngineRuns) serveMove(address string, w http.ResponseWriter, q *http.Request) {
	var move struct {
		ID     string `json:"id"`
		Target string `json:"target_ver"`
		Last   bool   `json:"last"`
	}
	data, err := io.ReadAll(q.Body)
	if err != nil || json.Unmarshal(data, &move) != nil || !move.Last {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if r.ID != move.ID || r.Address != address || r.ended {
			continue
		}
		r.ended = true
		r.cancel()
		handle := strconv.Itoa(len(s.runs)) + "-" + r.ID
		s.copies[address+"/"+handle] = &runCopy{id: r.ID, target: move.Target}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "created": r.events})
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

// serveReport tells what an engine runs.
func (s *EngineRuns) serveReport(address string, w http.ResponseWriter) {
	report := struct {
		Queued int     `json:"queued"`
		Runs   [][]any `json:"runs"`
	}{Runs: [][]any{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if r.Address == address && !r.ended {
			report.Runs = append(report.Runs, []any{r.ID, 0, r.events, 5})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}
