package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Backend is a stand-in for a backend server of the users' platform, which the
// platform's headers call a runner: a plain service, or an engine that responds
// with a stream of events.
type Backend struct {
	id          string
	disconnects chan struct{}

	mu       sync.Mutex
	response BackendResponse
	// override replaces response until quota is used up.
	override BackendResponse
	quota    *Quota
	requests []BackendRequest
	crashed  bool
}

// BackendRequest is a request that a backend received.
type BackendRequest struct {
	// At is when the request was received.
	At     time.Time
	Method string
	URI    string
	Header http.Header
	Body   string
}

// BackendResponse is how a backend responds to a request.
type BackendResponse struct {
	// Status is the HTTP status of a plain response; 200 if zero.
	Status int
	// Body is the body of a plain response.
	Body string
	// Events is the number of events of a stream; zero for a plain response.
	Events int
	// AbortAfter is the number of complete events after which the connection is
	// aborted, in the middle of the next event; zero for never.
	AbortAfter int
	// Declined marks the request as not run, by the header X-Not-Run.
	Declined bool
	// Reset aborts the connection without a response.
	Reset bool
	// Crash does the same, and from then on to every request, as for a server that has crashed.
	Crash bool
	// WrongAttemptID sends the response with the attempt ID of another request.
	WrongAttemptID bool
	// Confidence is sent in the header X-Confidence; zero for none.
	Confidence int
	// RequestLimit is sent in the header Server-Limit; zero for none.
	RequestLimit float64
	// Leaving says by the header Server-Leaving that the backend is about to end.
	Leaving bool
	// RetryAfter is sent in the header Retry-After; "" for none.
	RetryAfter string
	// Hold delays the response until Hold is closed or the client disconnects.
	Hold chan struct{}
}

// NewBackend returns a backend with the given server ID that responds to each request
// with response, unless [Backend.Override] sets another one.
func NewBackend(id string, response BackendResponse) *Backend {
	return &Backend{id: id, response: response, disconnects: make(chan struct{}, 64)}
}

// Quota is a number of responses that several backends share.
type Quota struct {
	mu        sync.Mutex
	remaining int
}

// NewQuota returns a quota of n responses.
func NewQuota(n int) *Quota { return &Quota{remaining: n} }

// take uses up one response of the quota. It returns false if none is left.
func (q *Quota) take() bool {
	if q == nil {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remaining--
	return q.remaining >= 0
}

// Override replaces the response until the quota is used up; a nil quota restores the
// original response.
func (b *Backend) Override(quota *Quota, response BackendResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quota, b.override = quota, response
}

// Requests returns the requests received so far.
func (b *Backend) Requests() []BackendRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]BackendRequest(nil), b.requests...)
}

// Disconnects returns a channel that receives a value each time a client disconnects
// from a request that is on hold.
func (b *Backend) Disconnects() <-chan struct{} { return b.disconnects }

// ServeHTTP responds to one request, with 421 if it expects another server ID.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if b.hasCrashed() {
		panic(http.ErrAbortHandler)
	}
	if strings.HasPrefix(r.URL.Path, "/api/") {
		serveControlCall(w, r)
		return
	}
	if expected := r.Header.Get("X-Expect-Runner"); expected != "" && expected != b.id {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.respond(w, r, b.record(BackendRequest{At: time.Now(), Method: r.Method, URI: r.RequestURI, Header: r.Header.Clone(), Body: string(body)}))
}

// serveControlCall answers a call that is no request of a client: a Backend tells of no runs.
func serveControlCall(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/api/report" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = io.WriteString(w, `{"queued":0,"runs":[]}`)
}

func (b *Backend) hasCrashed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashed
}

// crash makes the backend abort this request and all later ones.
func (b *Backend) crash() {
	b.mu.Lock()
	b.crashed = true
	b.mu.Unlock()
	panic(http.ErrAbortHandler)
}

// record stores a request and returns the response to send.
func (b *Backend) record(request BackendRequest) BackendResponse {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, request)
	if b.quota.take() {
		return b.override
	}
	return b.response
}

// respond sends a response or aborts the connection.
func (b *Backend) respond(w http.ResponseWriter, r *http.Request, response BackendResponse) {
	if response.Hold != nil {
		select {
		case <-response.Hold:
		case <-r.Context().Done():
			b.disconnects <- struct{}{}
			return
		}
	}
	if response.Crash {
		b.crash()
	}
	if response.Reset {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Attempt-Id")
	if response.WrongAttemptID {
		id = "another"
	}
	h := w.Header()
	h.Set("X-Attempt-Id", id)
	h.Set("X-Stamp", "stamp-"+b.id)
	h.Set("X-Runner-Load", "1,0,8")
	if response.Declined {
		h.Set("X-Not-Run", "1")
	}
	if response.Confidence != 0 {
		h.Set("X-Confidence", strconv.Itoa(response.Confidence))
	}
	if response.RequestLimit != 0 {
		h.Set("Server-Limit", strconv.FormatFloat(response.RequestLimit, 'f', -1, 64))
	}
	if response.Leaving {
		h.Set("Server-Leaving", "1")
	}
	if response.RetryAfter != "" {
		h.Set("Retry-After", response.RetryAfter)
	}
	if response.Events > 0 {
		b.stream(w, r, response)
		return
	}
	if response.Status != 0 {
		w.WriteHeader(response.Status)
	}
	_, _ = io.WriteString(w, response.Body)
}

// stream sends the events after Last-Event-Id. Their data names the event and the
// model but not the backend, so that streams of different backends can be compared.
func (b *Backend) stream(w http.ResponseWriter, r *http.Request, response BackendResponse) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= response.Events; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, r.Header.Get("X-Model"), n)
		if response.AbortAfter > 0 && n > response.AbortAfter {
			_, _ = io.WriteString(w, strings.TrimSpace(event)[:len(event)/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event)
		_ = http.NewResponseController(w).Flush()
	}
}
