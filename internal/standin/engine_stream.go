package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// completionStream is a completion in progress. Generation continues for
// resumeTimeout after a disconnect, so that the client can resume.
type completionStream struct {
	mu      sync.Mutex
	tokens  []string
	ended   bool
	changed chan struct{}
	cancel  context.CancelFunc
	readers int
}

// resumeTimeout is how long a stream without readers continues.
const resumeTimeout = 300 * time.Millisecond

func (s *completionStream) append(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = append(s.tokens, token)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *completionStream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *completionStream) tokensFrom(n int) (tokens []string, ended bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens[min(n, len(s.tokens)):], s.ended, s.changed
}

// addReader registers a reader and returns a function that removes it. The stream is
// cancelled if it has no reader resumeTimeout after that.
func (s *completionStream) addReader() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
	return func() {
		s.mu.Lock()
		s.readers--
		s.mu.Unlock()
		time.AfterFunc(resumeTimeout, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.readers == 0 && !s.ended {
				s.cancel()
			}
		})
	}
}

// writeCompletion writes the completion, skipping its first n tokens.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, s *completionStream, in completionJSON, b Behaviour, n int) {
	defer s.addReader()()
	if in.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	first := n
	var text strings.Builder
	for {
		tokens, ended, changed := s.tokensFrom(n)
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
