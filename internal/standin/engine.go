package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Behaviour is how an engine stand-in works; POST /behave replaces it.
type Behaviour struct {
	// Slots is how many requests run at once; the rest wait in the engine.
	Slots int `json:"slots"`
	// PrefillMillis per 100 prompt tokens that the prefix cache lacks.
	PrefillMillis float64 `json:"prefill_ms"`
	// TokenMillis between two tokens.
	TokenMillis float64 `json:"token_ms"`
	// Tokens in an answer whose request sets no bound.
	Tokens int `json:"tokens"`
	// Quality of the answers by model name, marked in their text.
	Quality map[string]float64 `json:"quality"`
	// ErrorRate of the requests answer 500.
	ErrorRate float64 `json:"fail_share"`
	// AbortAfter breaks every answer off after so many tokens; 0 never.
	AbortAfter int `json:"die_after"`
	// Draining is told in load reports; new work is refused.
	Draining bool `json:"leaving"`
	// LoadLagMillis is how old a load report is.
	LoadLagMillis int `json:"load_lag_ms"`
	// LoadScale multiplies the load that is reported, if above zero.
	LoadScale float64 `json:"lie_share"`
	// ChecksFencing refuses orders whose token is older than one seen.
	ChecksFencing bool `json:"checks_fencing"`
	// CachePrefixes is how many prompt prefixes the cache holds.
	CachePrefixes int `json:"cache_prefixes"`
	// Loaded lists the models that the engine holds; all if empty.
	Loaded []string `json:"loaded"`
	// LoadMillis is how long it takes to load a model.
	LoadMillis int `json:"load_ms"`
}

// Run is one piece of work that a backend stand-in has done, as GET /ran
// lists it.
type Run struct {
	RequestID string    `json:"request_id"`
	Model     string    `json:"model"`
	Path      string    `json:"path"`
	Started   time.Time `json:"started"`
	Tokens    int       `json:"tokens"`
	Done      bool      `json:"done"`
	Cancelled bool      `json:"cancelled"`
}

// Engine stands in for a model engine: the OpenAI-compatible API with
// server-sent events, resume by stream id, load reports with a lag, and
// orders that carry a fencing token.
type Engine struct {
	faulty
	name string

	mu        sync.Mutex
	behaviour Behaviour
	slots     chan struct{}
	running   int
	waiting   int
	runs      []*Run
	streams   map[string]*stream
	reports   []loadReport
	prefixes  []uint64
	fence     int64
	orders    []Order
	hits      int
	misses    int
}

// Order is a load order (docs/INTERFACES.md).
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

// stream is an answer under way. It goes on for a while after its connection
// broke, so that it can be resumed.
type stream struct {
	mu      sync.Mutex
	tokens  []string
	ended   bool
	changed chan struct{}
	cancel  context.CancelFunc
	readers int
}

// resumeGrace is how long a stream without a reader goes on.
const resumeGrace = 300 * time.Millisecond

// NewEngine returns an engine with the given behaviour.
func NewEngine(name string, b Behaviour) *Engine {
	e := &Engine{name: name, streams: make(map[string]*stream)}
	e.behave(b)
	return e
}

func (e *Engine) behave(b Behaviour) {
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

func (e *Engine) now() Behaviour {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.behaviour
}

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("POST /orders", e.order)
	mux.HandleFunc("GET /ran", e.ran)
	mux.HandleFunc("POST /behave", func(w http.ResponseWriter, r *http.Request) {
		b := e.now()
		if readJSON(w, r, &b) {
			e.behave(b)
		}
	})
	return e.wrap(mux)
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
	var all strings.Builder
	for _, m := range c.Messages {
		all.WriteString(m.Content)
		all.WriteByte('\n')
	}
	return all.String()
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var in completionJSON
	if !readJSON(w, r, &in) {
		return
	}
	b := e.now()
	switch {
	case b.Draining:
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, `{"error":{"message":"leaving"}}`, http.StatusServiceUnavailable)
		return
	case !e.holds(in.Model):
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, `{"error":{"message":"model not loaded"}}`, http.StatusNotFound)
		return
	case rand.Float64() < b.ErrorRate:
		http.Error(w, `{"error":{"message":"engine fault"}}`, http.StatusInternalServerError)
		return
	}
	run := &Run{RequestID: r.Header.Get("X-Request-Id"), Model: in.Model, Started: time.Now()}
	if !e.enter(r.Context(), run) {
		return
	}
	id := fmt.Sprintf("%s-%d", e.name, rand.Uint64())
	ctx, cancel := context.WithCancel(context.Background())
	s := &stream{changed: make(chan struct{}), cancel: cancel}
	e.mu.Lock()
	e.streams[id] = s
	e.mu.Unlock()
	go e.generate(ctx, id, s, in, b, run)
	w.Header().Set("X-Stream-Id", id)
	e.deliver(w, r, s, in, b, 0)
}

// enter waits for a slot and notes the run as started.
func (e *Engine) enter(ctx context.Context, run *Run) bool {
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

// generate makes the tokens of one answer.
func (e *Engine) generate(ctx context.Context, id string, s *stream, in completionJSON, b Behaviour, run *Run) {
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
	pause(ctx, e.prefill(prompt, b))
	words := answerWords(in, b)
	for _, word := range words {
		if ctx.Err() != nil {
			break
		}
		s.append(word)
		e.mu.Lock()
		run.Tokens++
		e.mu.Unlock()
		pause(ctx, time.Duration(b.TokenMillis*float64(time.Millisecond)))
	}
	s.end()
}

func pause(ctx context.Context, d time.Duration) {
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

// CompletionText returns the answer that an engine stand-in without marked quality
// gives to a prompt of one message, so that a test can tell a whole answer and
// whose it is.
func CompletionText(model, prompt string, tokens int) string {
	in := completionJSON{Model: model, MaxTokens: tokens}
	in.Messages = append(in.Messages, messageJSON{Role: "user", Content: prompt})
	return strings.Join(answerWords(in, Behaviour{}), "")
}

// answerWords makes an answer that depends on the prompt and the model only.
func answerWords(in completionJSON, b Behaviour) []string {
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

// prefill returns how long the prompt takes, less what the cache holds. The
// cache keeps the first 256 bytes of the prompts last used.
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

func (s *stream) append(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = append(s.tokens, token)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) from(n int) (tokens []string, ended bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens[min(n, len(s.tokens)):], s.ended, s.changed
}

// attach counts a reader; the returned function counts it out again and
// cancels the stream if no other reader comes in time.
func (s *stream) attach() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
	return func() {
		s.mu.Lock()
		s.readers--
		s.mu.Unlock()
		time.AfterFunc(resumeGrace, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.readers == 0 && !s.ended {
				s.cancel()
			}
		})
	}
}

// deliver writes the answer from the nth token on.
func (e *Engine) deliver(w http.ResponseWriter, r *http.Request, s *stream, in completionJSON, b Behaviour, n int) {
	defer s.attach()()
	if in.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	first := n
	var text strings.Builder
	for {
		tokens, ended, changed := s.from(n)
		for _, token := range tokens {
			if b.AbortAfter > 0 && n >= b.AbortAfter {
				panic(http.ErrAbortHandler)
			}
			n++
			text.WriteString(token)
			if in.Stream {
				writeChunk(w, in.Model, n, token, first == 0 && n == 1)
			}
		}
		if ended {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	usage := usageJSON{PromptTokens: len(strings.Fields(in.prompt())), CompletionTokens: n, TotalTokens: len(strings.Fields(in.prompt())) + n}
	if in.Stream {
		writeEnd(w, in.Model, n, usage)
		return
	}
	writeJSON(w, map[string]any{
		"id": "chatcmpl-" + e.name, "object": "chat.completion", "created": time.Now().Unix(), "model": in.Model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": map[string]string{"role": "assistant", "content": text.String()},
		}},
		"usage": usage,
	})
}

type usageJSON struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func writeChunk(w http.ResponseWriter, model string, n int, token string, first bool) {
	delta := map[string]string{"content": token}
	if first {
		delta["role"] = "assistant"
	}
	writeEvent(w, n, map[string]any{
		"id": "chatcmpl", "object": "chat.completion.chunk", "created": time.Now().Unix(), "model": model,
		"choices": []any{map[string]any{"index": 0, "delta": delta, "finish_reason": nil}},
	})
}

func writeEnd(w http.ResponseWriter, model string, n int, usage usageJSON) {
	writeEvent(w, n, map[string]any{
		"id": "chatcmpl", "object": "chat.completion.chunk", "created": time.Now().Unix(), "model": model,
		"choices": []any{map[string]any{"index": 0, "delta": map[string]string{}, "finish_reason": "stop"}},
		"usage":   usage,
	})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	w.(http.Flusher).Flush()
}

func writeEvent(w http.ResponseWriter, n int, value any) {
	data, _ := json.Marshal(value)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
	w.(http.Flusher).Flush()
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
	b := e.now()
	b.AbortAfter = 0
	e.deliver(w, r, s, completionJSON{Stream: true, Model: r.URL.Query().Get("model")}, b, after)
}

func (e *Engine) holds(model string) bool {
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

// load reports the load as it was a lag ago.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.reports = append(e.reports, loadReport{at: now, running: e.running, waiting: e.waiting})
	e.reports = e.reports[max(0, len(e.reports)-256):]
	lag := time.Duration(e.behaviour.LoadLagMillis) * time.Millisecond
	shown := e.reports[0]
	for _, report := range e.reports {
		if now.Sub(report.at) >= lag {
			shown = report
		}
	}
	scale := 1.0
	if e.behaviour.LoadScale > 0 {
		scale = e.behaviour.LoadScale
	}
	writeJSON(w, map[string]any{
		"running": int(float64(shown.running) * scale), "waiting": int(float64(shown.waiting) * scale),
		"slots": e.behaviour.Slots, "leaving": e.behaviour.Draining, "age_ms": now.Sub(shown.at).Milliseconds(),
		"models": e.behaviour.Loaded, "cache_hits": e.hits, "cache_misses": e.misses,
	})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var in Order
	if !readJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	if e.behaviour.ChecksFencing && in.Token < e.fence {
		e.mu.Unlock()
		http.Error(w, `{"error":{"message":"fenced off"}}`, http.StatusConflict)
		return
	}
	e.fence = max(e.fence, in.Token)
	e.orders = append(e.orders, in)
	wait := time.Duration(e.behaviour.LoadMillis) * time.Millisecond
	e.mu.Unlock()
	pause(r.Context(), wait)
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.behaviour.Loaded[:0:0]
	for _, m := range e.behaviour.Loaded {
		if m != in.Model {
			kept = append(kept, m)
		}
	}
	if in.Action == "load" {
		kept = append(kept, in.Model)
	}
	e.behaviour.Loaded = kept
	writeJSON(w, struct{}{})
}

func (e *Engine) ran(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, map[string]any{"runs": e.runs, "orders": e.orders})
}
