package standin

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Behaviour configures an engine stand-in. POST /behave changes the fields that its
// body contains.
type Behaviour struct {
	// Slots is the number of requests that run concurrently; others wait. 8 if zero.
	Slots int `json:"slots"`
	// PrefillMillis is the prefill time per 100 prompt tokens on a prefix cache miss.
	PrefillMillis float64 `json:"prefill_ms"`
	// TokenMillis is the time per generated token.
	TokenMillis float64 `json:"token_ms"`
	// Tokens is the length of a completion if the request sets none; 16 if zero.
	Tokens int `json:"tokens"`
	// Quality is the rating by model name that the completion's text is marked with.
	Quality map[string]float64 `json:"quality"`
	// ErrorRate is the fraction of requests that get status 500.
	ErrorRate float64 `json:"fail_share"`
	// AbortAfter is the number of tokens after which the connection is aborted; zero
	// for never.
	AbortAfter int `json:"die_after"`
	// Draining is shown in load reports and in the header X-Leaving of each response, and refuses new
	// requests.
	Draining bool `json:"leaving"`
	// RestSeconds makes each request be turned away, and is sent in the header Retry-After; zero for
	// none.
	RestSeconds float64 `json:"rest_s"`
	// LoadLagMillis is the age of the load that is reported.
	LoadLagMillis int `json:"load_lag_ms"`
	// LoadScale falsifies load reports: the reported load is the real one times this,
	// if above zero.
	LoadScale float64 `json:"lie_share"`
	// ChecksFencing rejects orders whose fencing token is lower than the highest seen.
	ChecksFencing bool `json:"checks_fencing"`
	// CachePrefixes is the capacity of the prefix cache, in prompts.
	CachePrefixes int `json:"cache_prefixes"`
	// Loaded lists the models that the engine has loaded; empty for all.
	Loaded []string `json:"loaded"`
	// RequestLimit is sent in the header X-Request-Limit of each response; zero for none.
	RequestLimit float64 `json:"request_limit"`
	// RejectionLimit is sent in the header X-Rejection-Limit of each response; zero for none. If it
	// is set, at most Queue requests wait and others are rejected.
	RejectionLimit float64 `json:"rejection_limit"`
	Queue          int     `json:"queue"`
	// LoadMillis is the time that an order to load or unload a model takes.
	LoadMillis int `json:"load_ms"`
}

// Run is one request that a stand-in has run, as listed by GET /ran.
type Run struct {
	RequestID string    `json:"request_id"`
	Model     string    `json:"model"`
	Path      string    `json:"path"`
	Started   time.Time `json:"started"`
	Tokens    int       `json:"tokens"`
	Done      bool      `json:"done"`
	Cancelled bool      `json:"cancelled"`
}

// Engine is a stand-in for a model engine: the OpenAI-compatible API with
// server-sent events, streams that can be resumed by ID, load reports with a lag,
// and orders with a fencing token.
type Engine struct {
	faultInjector
	name string

	mu        sync.Mutex
	behaviour Behaviour
	slots     chan struct{}
	running   int
	waiting   int
	runs      []*Run
	streams   map[string]*completionStream
	reports   []loadReport
	prefixes  []uint64
	maxToken  int64
	orders    []Order
	hits      int
	misses    int
	// rejections are the times at which requests were rejected for want of room or of rest.
	rejections []time.Time
}

// Order is a command to load or unload a model (docs/INTERFACES.md). Token is its
// fencing token.
type Order struct {
	Token  int64  `json:"token"`
	Action string `json:"action"`
	Model  string `json:"model"`
}

type loadReport struct {
	at      time.Time
	running int
	waiting int
}

// NewEngine returns an engine stand-in. Its name starts the IDs of its streams.
func NewEngine(name string, b Behaviour) *Engine {
	e := &Engine{name: name, streams: make(map[string]*completionStream)}
	e.setBehaviour(b)
	return e
}

func (e *Engine) setBehaviour(b Behaviour) {
	if b.Slots == 0 {
		b.Slots = 8
	}
	if b.Tokens == 0 {
		b.Tokens = 16
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = b
	e.slots = make(chan struct{}, b.Slots)
}

func (e *Engine) currentBehaviour() Behaviour {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.behaviour
}

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	mux.HandleFunc("GET /load", e.reportLoad)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("GET /ran", e.listRuns)
	mux.HandleFunc("GET /rejections", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		writeJSON(w, e.rejections)
	})
	mux.HandleFunc("POST /behave", func(w http.ResponseWriter, r *http.Request) {
		b := e.currentBehaviour()
		if readJSON(w, r, &b) {
			e.setBehaviour(b)
		}
	})
	return e.wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if limit := e.currentBehaviour().RequestLimit; limit != 0 {
			w.Header().Set("X-Request-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
		}
		if limit := e.currentBehaviour().RejectionLimit; limit != 0 {
			w.Header().Set("X-Rejection-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
		}
		if e.currentBehaviour().Draining {
			w.Header().Set("X-Leaving", "1")
		}
		mux.ServeHTTP(w, r)
	}))
}

type completionJSON struct {
	Model               string        `json:"model"`
	Messages            []messageJSON `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
}

type messageJSON struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c completionJSON) prompt() string {
	var prompt strings.Builder
	for _, m := range c.Messages {
		prompt.WriteString(m.Content)
		prompt.WriteByte('\n')
	}
	return prompt.String()
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var in completionJSON
	if !readJSON(w, r, &in) {
		return
	}
	b := e.currentBehaviour()
	switch {
	case b.Draining:
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, `{"error":{"message":"leaving"}}`, http.StatusServiceUnavailable)
		return
	case !e.hasModel(in.Model):
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, `{"error":{"message":"model not loaded"}}`, http.StatusNotFound)
		return
	case rand.Float64() < b.ErrorRate:
		http.Error(w, `{"error":{"message":"engine fault"}}`, http.StatusInternalServerError)
		return
	}
	if b.RestSeconds > 0 {
		e.turnAway(w, b)
		return
	}
	if e.reject(b) {
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, `{"error":{"message":"full"}}`, http.StatusServiceUnavailable)
		return
	}
	run := &Run{RequestID: r.Header.Get("X-Request-Id"), Model: in.Model, Started: time.Now()}
	if !e.acquireSlot(r.Context(), run) {
		return
	}
	id := fmt.Sprintf("%s-%d", e.name, rand.Uint64())
	ctx, cancel := context.WithCancel(context.Background())
	s := &completionStream{changed: make(chan struct{}), cancel: cancel}
	e.mu.Lock()
	e.streams[id] = s
	e.mu.Unlock()
	go e.generate(ctx, id, s, in, b, run)
	w.Header().Set("X-Stream-Id", id)
	e.writeCompletion(w, r, s, in, b, 0)
}

// turnAway turns a request away and asks for rest.
func (e *Engine) turnAway(w http.ResponseWriter, b Behaviour) {
	e.mu.Lock()
	e.rejections = append(e.rejections, time.Now())
	e.mu.Unlock()
	w.Header().Set("X-Not-Run", "true")
	w.Header().Set("Retry-After", strconv.FormatFloat(b.RestSeconds, 'f', -1, 64))
	http.Error(w, `{"error":{"message":"resting"}}`, http.StatusServiceUnavailable)
}

// reject reports whether a request is rejected for want of room, and records it if so.
func (e *Engine) reject(b Behaviour) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if b.RejectionLimit == 0 || e.running < b.Slots || e.waiting < b.Queue {
		return false
	}
	e.rejections = append(e.rejections, time.Now())
	return true
}

// acquireSlot waits for a free slot and records the run as started. It returns false
// if ctx ends first.
func (e *Engine) acquireSlot(ctx context.Context, run *Run) bool {
	e.mu.Lock()
	slots := e.slots
	e.waiting++
	e.mu.Unlock()
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	e.running++
	e.runs = append(e.runs, run)
	return true
}

// generate produces the tokens of one completion and then frees its slot.
func (e *Engine) generate(ctx context.Context, id string, s *completionStream, in completionJSON, b Behaviour, run *Run) {
	e.mu.Lock()
	slots := e.slots
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		run.Done, run.Cancelled = ctx.Err() == nil, ctx.Err() != nil
		e.mu.Unlock()
		select {
		case <-slots:
		default:
		}
		time.AfterFunc(time.Minute, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			delete(e.streams, id)
		})
	}()
	prompt := in.prompt()
	sleep(ctx, e.prefill(prompt, b))
	words := completionWords(in, b)
	for _, word := range words {
		if ctx.Err() != nil {
			break
		}
		s.append(word)
		e.mu.Lock()
		run.Tokens++
		e.mu.Unlock()
		sleep(ctx, time.Duration(b.TokenMillis*float64(time.Millisecond)))
	}
	s.end()
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// CompletionText returns the full completion that an engine stand-in without a
// quality mark generates for a prompt of one message. A test can compare a response
// with it to check that it is complete and belongs to its request.
func CompletionText(model, prompt string, tokens int) string {
	in := completionJSON{Model: model, MaxTokens: tokens}
	in.Messages = append(in.Messages, messageJSON{Role: "user", Content: prompt})
	return strings.Join(completionWords(in, Behaviour{}), "")
}

// completionWords returns the words of a completion. They are deterministic: they
// depend only on the model, the prompt and the token limit, and on a quality mark.
func completionWords(in completionJSON, b Behaviour) []string {
	count := b.Tokens
	if in.MaxTokens > 0 {
		count = in.MaxTokens
	}
	if in.MaxCompletionTokens > 0 {
		count = in.MaxCompletionTokens
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(in.Model + in.prompt()))
	seed := h.Sum64()
	words := make([]string, count)
	for i := range words {
		words[i] = fmt.Sprintf("w%d ", (seed+uint64(i)*7919)%9973)
	}
	if q, ok := b.Quality[in.Model]; ok && count > 0 {
		words[count-1] = fmt.Sprintf("[q=%g]", q)
	}
	return words
}

// prefill returns the prefill time of a prompt, zero on a cache hit. The cache is
// keyed by the first 256 bytes of a prompt and evicts the least recently used.
func (e *Engine) prefill(prompt string, b Behaviour) time.Duration {
	tokens := len(strings.Fields(prompt))
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt[:min(len(prompt), 256)]))
	prefix := h.Sum64()
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, p := range e.prefixes {
		if p == prefix {
			e.prefixes = append(append(e.prefixes[:i:i], e.prefixes[i+1:]...), prefix)
			e.hits++
			return 0
		}
	}
	e.misses++
	if b.CachePrefixes > 0 {
		e.prefixes = append(e.prefixes, prefix)
		e.prefixes = e.prefixes[max(0, len(e.prefixes)-b.CachePrefixes):]
	}
	return time.Duration(b.PrefillMillis * float64(tokens) / 100 * float64(time.Millisecond))
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil {
		http.Error(w, `{"error":{"message":"no such stream"}}`, http.StatusNotFound)
		return
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	b := e.currentBehaviour()
	b.AbortAfter = 0
	e.writeCompletion(w, r, s, completionJSON{Stream: true, Model: r.URL.Query().Get("model")}, b, after)
}

func (e *Engine) hasModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.behaviour.Loaded) == 0 {
		return true
	}
	for _, m := range e.behaviour.Loaded {
		if m == model {
			return true
		}
	}
	return false
}

// reportLoad responds with the load of LoadLagMillis ago, scaled by LoadScale.
func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.reports = append(e.reports, loadReport{at: now, running: e.running, waiting: e.waiting})
	e.reports = e.reports[max(0, len(e.reports)-256):]
	lag := time.Duration(e.behaviour.LoadLagMillis) * time.Millisecond
	reported := e.reports[0]
	for _, report := range e.reports {
		if now.Sub(report.at) >= lag {
			reported = report
		}
	}
	scale := 1.0
	if e.behaviour.LoadScale > 0 {
		scale = e.behaviour.LoadScale
	}
	writeJSON(w, map[string]any{
		"running": int(float64(reported.running) * scale), "waiting": int(float64(reported.waiting) * scale),
		"slots": e.behaviour.Slots, "leaving": e.behaviour.Draining, "age_ms": now.Sub(reported.at).Milliseconds(),
		"models": e.behaviour.Loaded, "cache_hits": e.hits, "cache_misses": e.misses,
	})
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var in Order
	if !readJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	if e.behaviour.ChecksFencing && in.Token < e.maxToken {
		e.mu.Unlock()
		http.Error(w, `{"error":{"message":"fenced off"}}`, http.StatusConflict)
		return
	}
	e.maxToken = max(e.maxToken, in.Token)
	e.orders = append(e.orders, in)
	loadTime := time.Duration(e.behaviour.LoadMillis) * time.Millisecond
	e.mu.Unlock()
	sleep(r.Context(), loadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	loaded := e.behaviour.Loaded[:0:0]
	for _, m := range e.behaviour.Loaded {
		if m != in.Model {
			loaded = append(loaded, m)
		}
	}
	if in.Action == "load" {
		loaded = append(loaded, in.Model)
	}
	e.behaviour.Loaded = loaded
	writeJSON(w, struct{}{})
}

func (e *Engine) listRuns(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, map[string]any{"runs": e.runs, "orders": e.orders})
}
