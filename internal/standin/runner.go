package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// Runner stands in for a backend server of the users' platform: a plain
// service, or an engine that answers with a stream of events.
type Runner struct {
	id   string
	gone chan struct{}

	mu    sync.Mutex
	usual RunnerAnswer
	// other is the answer as long as turns last.
	other RunnerAnswer
	turns *Turns
	seen  []RunnerRequest
}

// RunnerRequest is a request as a runner got it.
type RunnerRequest struct {
	Method string
	URI    string
	Header http.Header
	Body   string
}

// RunnerAnswer is how a runner answers one request.
type RunnerAnswer struct {
	// Status of the answer; 200 if zero.
	Status int
	// Body of a plain answer.
	Body string
	// Events is the number of events of a stream; zero for a plain answer.
	Events int
	// CutAfter breaks the connection in the middle of the event after that
	// many whole ones; zero for never.
	CutAfter int
	// Declined marks the answer as "not run".
	Declined bool
	// Reset breaks the connection without an answer.
	Reset bool
	// OtherID answers under the ID of another request.
	OtherID bool
	// Confidence is told with the answer; zero for none.
	Confidence int
	// Hold keeps the answer back until it is closed or the request is gone.
	Hold chan struct{}
}

// NewRunner returns a runner that answers each request in the usual way.
func NewRunner(id string, usual RunnerAnswer) *Runner {
	return &Runner{id: id, usual: usual, gone: make(chan struct{}, 64)}
}

// Turns is a number of answers that several runners share.
type Turns struct {
	mu   sync.Mutex
	left int
}

// NewTurns returns n turns.
func NewTurns(n int) *Turns { return &Turns{left: n} }

// take takes one turn, if one is left.
func (t *Turns) take() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left--
	return t.left >= 0
}

// Take sets another answer for as long as the turns last; nil ends it.
func (s *Runner) Take(turns *Turns, other RunnerAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turns, s.other = turns, other
}

// Seen returns the requests that the runner got.
func (s *Runner) Seen() []RunnerRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]RunnerRequest(nil), s.seen...)
}

// Gone is sent to when a held request's connection has closed.
func (s *Runner) Gone() <-chan struct{} { return s.gone }

// ServeHTTP answers one request.
func (s *Runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("X-Expect-Runner"); expected != "" && expected != s.id {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.answer(w, r, s.note(RunnerRequest{Method: r.Method, URI: r.RequestURI, Header: r.Header.Clone(), Body: string(body)}))
}

// note keeps a request as seen and returns how to answer it.
func (s *Runner) note(seen RunnerRequest) RunnerAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, seen)
	if s.turns.take() {
		return s.other
	}
	return s.usual
}

// answer gives one answer, or breaks off.
func (s *Runner) answer(w http.ResponseWriter, r *http.Request, a RunnerAnswer) {
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
	if a.OtherID {
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
func (s *Runner) stream(w http.ResponseWriter, r *http.Request, a RunnerAnswer) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= a.Events; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, r.Header.Get("X-Model"), n)
		if a.CutAfter > 0 && n > a.CutAfter {
			_, _ = io.WriteString(w, strings.TrimSpace(event)[:len(event)/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event)
		_ = http.NewResponseController(w).Flush()
	}
}
