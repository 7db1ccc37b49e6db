package responsehead

import (
	"net/http"

	"github.com/violettally/violettally/internal/errs"
)

// Malformed means that a server sent something that is no HTTP response.
var Malformed = errs.Namespace("responsehead").NewType("malformed")

// Check returns an error if the head of a response is malformed in a way that net/http accepts.
func Check(response *http.Response) error {
	if response.StatusCode < http.StatusContinue {
		return errs.New(Malformed, "check", "the status %q is below 100", response.Status)
	}
	return nil
}

// Transport is an http.RoundTripper that bounds the heads of responses and refuses malformed ones. It is safe for
// concurrent use.
type Transport struct{ next *http.Transport }

// NewTransport returns a transport that sends requests by another one, which nothing else may use.
func NewTransport(next *http.Transport) *Transport {
	next.MaxResponseHeaderBytes = MaxBytes
	return &Transport{next: next}
}

// RoundTrip sends a request and returns the head of its response.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.next.CloseIdleConnections() }
