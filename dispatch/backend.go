package dispatch

import (
	"context"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/internal/errs"
)

var (
	namespace = errs.Namespace("dispatch")

	// NotRun is a backend server's own word, or the connection's, that the
	// request did not run there.
	NotRun = namespace.NewType("not_run")
	// Failed says that the request may have run and that there is no answer.
	Failed = namespace.NewType("failed")
	// TooLarge says that an answer exceeds its bound.
	TooLarge = namespace.NewType("too_large")
)

// EngineCall is a request as an engine gets it.
type EngineCall struct {
	RequestID string
	Model     string
	Body      []byte
	Stream    bool
	Priority  config.Priority
}

// EngineStream is an engine's answer. An answer that is not streamed has one
// part.
type EngineStream interface {
	// Status and ContentType are those of the HTTP answer.
	Status() int
	ContentType() string
	// ID names the stream for Resume; "" if it cannot be resumed.
	ID() string
	// Next returns the next part, io.EOF after the last, or Failed.
	Next() ([]byte, error)
	Close()
}

// Engines reaches the model engines. Errors are NotRun or Failed.
type Engines interface {
	Complete(ctx context.Context, server config.Server, call EngineCall) (EngineStream, error)
	// Resume follows a stream again after the given number of parts.
	Resume(ctx context.Context, server config.Server, streamID string, after int, call EngineCall) (EngineStream, error)
}

// ServiceCall is a call as a plain service gets it.
type ServiceCall struct {
	RequestID   string
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
}

// ServiceResponse is a plain service's answer.
type ServiceResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// Services reaches the plain services. Errors are NotRun or Failed.
type Services interface {
	Call(ctx context.Context, server config.Server, call ServiceCall) (ServiceResponse, error)
}
