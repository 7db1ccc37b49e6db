// Package responsehead bounds the heads of HTTP responses, and refuses malformed ones that net/http accepts: a server
// in trouble may send bytes without end, or one at a time, that never become a response, or such as only look like one.
//
// # Usage
//
//	transport := responsehead.NewTransport(&http.Transport{DialContext: dial})
//	ctx, head := responsehead.Watch(ctx)
//	response, err := transport.RoundTrip(request.WithContext(ctx))
//	head.End()
package responsehead

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	// MaxBytes bounds the size of a head.
	MaxBytes = 64 << 10
	// Timeout is how long a head may take from its first byte on: one packet may be lost and sent again.
	Timeout = 1200 * time.Millisecond
)

// errLate is the cause of the cancellation of requests whose heads take too long.
var errLate = errors.New("the head of the response did not end")

// Head is the head of one response that is awaited. It is safe for concurrent use.
type Head struct {
	cancel context.CancelCauseFunc

	mu           sync.Mutex
	timer        *time.Timer
	begun, ended bool
}

// Watch returns a context for a request that is canceled if the head of the response takes too long. It has to
// be used for one request alone; End must be called once the request has returned.
func Watch(ctx context.Context) (context.Context, *Head) {
	ctx, cancel := context.WithCancelCause(ctx)
	h := &Head{cancel: cancel}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: h.begin}), h
}

// begin starts the time of the head.
func (h *Head) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.begun = true
	if !h.ended && h.timer == nil {
		h.timer = time.AfterFunc(Timeout, func() { h.cancel(errLate) })
	}
}

// End ends the time of the head. It reports whether any byte of a response has come.
func (h *Head) End() (begun bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	if h.timer != nil {
		h.timer.Stop()
	}
	return h.begun
}

// Cancel ends the request, and the body of its response.
func (h *Head) Cancel() { h.cancel(nil) }
