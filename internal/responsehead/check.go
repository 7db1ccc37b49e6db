package responsehead

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"

	"github.com/violettally/violettally/internal/errs"
)

// Malformed means that a server sent something that is no HTTP response.
var Malformed = errs.Namespace("responsehead").NewType("malformed")

// Check returns an error if the head of a response is malformed in a way that net/http accepts.
func Check(response *http.Response) error {
	if response.StatusCode < http.StatusContinue {
		return errs.New(Malformed, "check", "the status %q is below 100", response.Status)
	}
	return checkNames(response.Header)
}

// checkNames returns an error if the name of a field has a blank in it. net/http takes such fields for unknown ones, also
// where they say how the body is framed.
func checkNames(fields map[string][]string) error {
	for name := range fields {
		if strings.Contains(name, " ") {
			return errs.New(Malformed, "check", "the field name %q has a blank in it", name)
		}
	}
	return nil
}

// CheckedBody returns the body of a response. Reading it fails at its end if the trailer is malformed.
func CheckedBody(response *http.Response) io.ReadCloser {
	if response.Body == http.NoBody {
		return response.Body
	}
	return &checkedBody{ReadCloser: response.Body, response: response}
}

// checkedBody is a body whose trailer is checked.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read reads from the body.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = cmp.Or(checkNames(b.response.Trailer), err)
	}
	return n, err
}

// Transport is an http.RoundTripper that bounds the heads of responses, and refuses malformed heads and trailers. It is
// safe for concurrent use.
type Transport struct{ next *http.Transport }

// NewTransport returns a transport that sends requests by another one, which nothing else may use.
func NewTransport(next *http.Transport) *Transport {
	next.MaxResponseHeaderBytes = MaxBytes
	return &Transport{next: next}
}

// RoundTrip sends a request and returns the head of its response.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request.WithContext(withInterimCheck(request.Context())))
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		response.Body.Close()
		return nil, err
	}
	response.Body = CheckedBody(response)
	return response, nil
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// minInterimBytes is what each interim response counts at least against MaxBytes. net/http bounds them one by one only,
// once they are looked at.
const minInterimBytes = 4 << 10

// withInterimCheck returns a context for a request whose interim responses are checked, and bounded together.
func withInterimCheck(ctx context.Context) context.Context {
	left := MaxBytes
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error {
		if left -= max(minInterimBytes, fieldBytes(fields)); left < 0 {
			return errs.New(Malformed, "check", "the interim responses exceed %d bytes", MaxBytes)
		}
		return checkNames(fields)
	}})
}

// fieldBytes returns the number of bytes of the names and values of fields.
func fieldBytes(fields map[string][]string) int {
	total := 0
	for name, values := range fields {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total
}
