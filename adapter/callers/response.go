package callers

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/dispatch"
)

// errorBody is a refusal in the error format of the OpenAI API. It adds whether
// the request ran, and when to retry.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message     string  `json:"message"`
	Type        string  `json:"type"`
	Code        string  `json:"code"`
	Param       *string `json:"param"`
	Ran         string  `json:"ran"`
	RetryMillis int64   `json:"retry_after_ms,omitempty"`
	RequestID   string  `json:"request_id,omitempty"`
}

func newErrorBody(f *answer.Failure, requestID string) errorBody {
	kind := "server_error"
	if f.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return errorBody{Error: errorDetail{
		Message:     f.Message,
		Type:        kind,
		Code:        f.Reason,
		Ran:         f.Ran,
		RetryMillis: f.RetryMillis,
		RequestID:   requestID,
	}}
}

// handleError writes the response for an error: an answer.Failure, a refusal, an
// error from echo, or any other.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var failure *answer.Failure
	var refusal *dispatch.Refusal
	var httpErr *echo.HTTPError
	switch {
	case errors.As(err, &failure):
	case errors.As(err, &refusal):
		failure = refusal.Failure()
	case errors.As(err, &httpErr):
		failure = &answer.Failure{
			Reason:  errorCode(httpErr.Code),
			Message: http.StatusText(httpErr.Code),
			Status:  httpErr.Code,
			Ran:     ranWithoutAccount(c.Request()).String(),
		}
		if text, ok := httpErr.Message.(string); ok {
			failure.Message = text
		}
	default:
		failure = &answer.Failure{
			Reason:  "internal",
			Message: "the node failed while it answered",
			Status:  http.StatusInternalServerError,
			Ran:     dispatch.RanUnknown.String(),
		}
	}
	setRetryAfter(c, time.Duration(failure.RetryMillis)*time.Millisecond)
	body, err := json.Marshal(newErrorBody(failure, c.Response().Header().Get(requestIDHeader)))
	if err != nil {
		slog.Error("cannot encode an error", "error", err)
	}
	// With its length the client knows the end of the answer before the rest of its body is read.
	c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	_ = c.JSONBlob(failure.Status, body)
}

// ranWithoutAccount returns whether a request that is refused before its account
// is determined may have run. One with an id chosen by the client may have run
// before; only the account's claims record that.
func ranWithoutAccount(r *http.Request) dispatch.Ran {
	if r.Method == http.MethodPost && r.Header.Get(idempotencyHeader) == "" {
		return dispatch.RanNo
	}
	return dispatch.RanUnknown
}

// errorCode returns the error code for the status of an error from echo.
func errorCode(status int) string {
	switch status {
	case http.StatusUnauthorized:
		return "unauthorized"
	case http.StatusRequestEntityTooLarge:
		return "body_too_large"
	case http.StatusNotFound:
		return "route_not_found"
	case http.StatusMethodNotAllowed:
		return "method_not_allowed"
	default:
		return "invalid"
	}
}

func unauthorized(message string) error {
	return echo.NewHTTPError(http.StatusUnauthorized, message)
}

// setRetryAfter sets the Retry-After header in whole seconds, rounded up. The
// body gives milliseconds.
func setRetryAfter(c echo.Context, wait time.Duration) {
	if wait > 0 {
		seconds := int64((wait + time.Second - 1) / time.Second)
		c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
}

// writeResponse writes a response as its parts arrive, until it is complete or
// the client disconnects.
func writeResponse(c echo.Context, x *answer.Response, wantsUsage bool) error {
	w := &responseWriter{c: c, wantsUsage: wantsUsage}
	for sent := 0; ; {
		state := x.StateFrom(sent)
		sent += len(state.Parts)
		if state.HasHead {
			w.writeHead(state.Head)
		}
		for _, part := range state.Parts {
			if err := w.writePart(part); err != nil {
				return err
			}
		}
		if state.Done {
			return w.finish(state.Failure)
		}
		w.flush()
		select {
		case <-state.Changed:
		case <-c.Request().Context().Done():
			return c.Request().Context().Err()
		}
	}
}

// responseWriter writes one response, in one piece or as server-sent events.
type responseWriter struct {
	c          echo.Context
	wantsUsage bool
	hasHead    bool
	head       answer.Head
	buffered   []byte
}

func (w *responseWriter) writeHead(head answer.Head) {
	if w.hasHead {
		return
	}
	w.hasHead, w.head = true, head
	if head.Version != "" {
		w.c.Response().Header().Set(modelHeader, head.Model+"@"+head.Version)
	}
	if !head.Streamed {
		return
	}
	w.c.Response().Header().Set("Content-Type", "text/event-stream")
	w.c.Response().Header().Set("Cache-Control", "no-cache")
	w.c.Response().WriteHeader(head.Status)
}

func (w *responseWriter) writePart(part []byte) error {
	if !w.head.Streamed {
		w.buffered = append(w.buffered, part...)
		return nil
	}
	if !w.wantsUsage && dispatch.UsageOnly(part) {
		return nil
	}
	return w.writeEvent(part)
}

func (w *responseWriter) writeEvent(data []byte) error {
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	_, err := w.c.Response().Write(line)
	return err
}

// flush sends the events written so far, so that events that arrived together
// are sent together.
func (w *responseWriter) flush() {
	if w.head.Streamed {
		w.c.Response().Flush()
	}
}

// finish ends the response. A stream that failed after its start ends with the
// error as its last event and without [DONE], so that no client takes it for
// complete.
func (w *responseWriter) finish(failure *answer.Failure) error {
	switch {
	case failure != nil && w.c.Response().Committed:
		data, err := json.Marshal(newErrorBody(failure, w.c.Response().Header().Get(requestIDHeader)))
		if err != nil {
			return err
		}
		return w.writeEvent(data)
	case failure != nil:
		return failure
	case w.head.Streamed:
		return w.writeEvent([]byte("[DONE]"))
	default:
		return w.c.Blob(w.head.Status, w.head.ContentType, w.buffered)
	}
}
