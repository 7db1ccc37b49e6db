package dispatch

import (
	"context"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/internal/errs"
)

var (
	namespace = errs.Namespace("dispatch")

	// NotRun means that the request did not run on the server: the server said so, or it is
	// known from the connection.
	NotRun = namespace.NewType("not_run")
	// NoWay is NotRun because this node had no way to any server, which says nothing of the server.
	NoWay = NotRun.NewSubtype("no_way")
	// Failed means that the request may have run and that there is no complete response.
	Failed = namespace.NewType("failed")
	// TooLarge means that a response exceeds its size limit.
	TooLarge = namespace.NewType("too_large")
)

// EngineCall is a request as sent to an engine.
type EngineCall struct {
	RequestID string
	Model     string
	Body      []byte
	Stream    bool
	Priority  config.Priority
}

// EngineStream is the response of an engine. A response that is not streamed has one part.
type EngineStream interface {
	// Status and ContentType are those of the HTTP response.
	Status() int
	ContentType() string
	// ID returns the stream's ID for Resume, or "" if the stream cannot be resumed.
	ID() string
	// Next returns the next part. It returns io.EOF after the last one, and otherwise Failed or
	// TooLarge.
	Next() ([]byte, error)
	Close()
}

// Engines calls the model engines. Errors are NotRun, NoWay or Failed.
type Engines interface {
	Complete(ctx context.Context, server config.Server, call EngineCall) (EngineStream, error)
	// Resume continues a stream after the given number of parts.
	Resume(ctx context.Context, server config.Server, streamID string, after int, call EngineCall) (EngineStream, error)
}

// ServiceCall is a call as sent to a plain service.
type ServiceCall struct {
	RequestID   string
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
}

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// Services calls the plain services. Errors are NotRun, NoWay, Failed or TooLarge.
type Services interface {
	Call(ctx context.Context, server config.Server, call ServiceCall) (ServiceResponse, error)
}
