package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// Backend stands in for a backend server of the users' platform: a plain
// service, or an engine that answers with a stream of events.
type Backend struct {
	id   string
	gone chan struct{}

	mu    sync.Mutex
	usual BackendResponse
	// other is the answer as long as turns last.
	other BackendResponse
	turns *Quota
	seen  []BackendRequest
}

// BackendRequest is a request as a runner got it.
type BackendRequest struct {
	Method string
	URI    string
	Header http.Header
	Body   string
}

// BackendResponse is how a runner answers one request.
type BackendResponse struct {
	// Status of the answer; 200 if zero.
	Status int
	// Body of a plain answer.
	Body string
	// Events is the number of events of a stream; zero for a plain answer.
	Events int
	// AbortAfter breaks the connection in the middle of the event after that
	// many whole ones; zero for never.
	AbortAfter int
	// Declined marks the answer as "not run".
	Declined bool
	// Reset breaks the connection without an answer.
	Reset bool
	// WrongAttemptID answers under the ID of another request.
	WrongAttemptID bool
	// Confidence is told with the answer; zero for none.
	Confidence int
	// Hold keeps the answer back until it is closed or the request is gone.
	Hold chan struct{}
}

// NewBackend returns a runner that answers each request in the usual way.
func NewBackend(id string, usual BackendResponse) *Backend {
	return &Backend{id: id, usual: usual, gone: make(chan struct{}, 64)}
}

// Quota is a number of answers that several runners share.
type Quota struct {
	mu   sync.Mutex
	left int
}

// NewQuota returns n turns.
func NewQuota(n int) *Quota { return &Quota{left: n} }

// take takes one turn, if one is left.
func (t *Quota) take() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left--
	return t.left >= 0
}

// Override sets another answer for as long as the turns last; nil ends it.
func (s *Backend) Override(turns *Quota, other BackendResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turns, s.other = turns, other
}

// Requests returns the requests that the runner got.
func (s *Backend) Requests() []BackendRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]BackendRequest(nil), s.seen...)
}

// Disconnects is sent to when a held request's connection has closed.
func (s *Backend) Disconnects() <-chan struct{} { return s.gone }

// ServeHTTP answers one request.
func (s *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("X-Expect-Runner"); expected != "" && expected != s.id {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.answer(w, r, s.note(BackendRequest{Method: r.Method, URI: r.RequestURI, Header: r.Header.Clone(), Body: string(body)}))
}

// note keeps a request as seen and returns how to answer it.
func (s *Backend) note(seen BackendRequest) BackendResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, seen)
	if s.turns.take() {
		return s.other
	}
	return s.usual
}

// answer gives one answer, or breaks off.
func (s *Backend) answer(w http.ResponseWriter, r *http.Request, a BackendResponse) {
	if a.Hold != nil {
		select {
		case <-a.Hold:
		case <-r.Context().Done():
			s.gone <- struct{}{}
			return
		}
	}
	if a.Reset {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Attempt-Id")
	if a.WrongAttemptID {
		id = "another"
	}
	h := w.Header()
	h.Set("X-Attempt-Id", id)
	h.Set("X-Stamp", "stamp-"+s.id)
	h.Set("X-Runner-Load", "1,0,8")
	if a.Declined {
		h.Set("X-Not-Run", "1")
	}
	if a.Confidence != 0 {
		h.Set("X-Confidence", strconv.Itoa(a.Confidence))
	}
	if a.Events > 0 {
		s.stream(w, r, a)
		return
	}
	if a.Status != 0 {
		w.WriteHeader(a.Status)
	}
	_, _ = io.WriteString(w, a.Body)
}

// stream sends events, from the one after Last-Event-Id on. Their data name
// the event and the model, not the runner, so that two runs can be compared.
func (s *Backend) stream(w http.ResponseWriter, r *http.Request, a BackendResponse) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= a.Events; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, r.Header.Get("X-Model"), n)
		if a.AbortAfter > 0 && n > a.AbortAfter {
			_, _ = io.WriteString(w, strings.TrimSpace(event)[:len(event)/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event)
		_ = http.NewResponseController(w).Flush()
	}
}
