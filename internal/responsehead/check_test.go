package responsehead_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/responsehead"
)

// roundTrip sends a request to a server that writes an answer, once or without end, and returns the number of bytes that
// were taken of it.
func roundTrip(t *testing.T, answer string, endless bool) (taken int, response *http.Response, err error) {
	near, far := net.Pipe()
	written := make(chan int)
	go func() {
		_, _ = http.ReadRequest(bufio.NewReader(far))
		total := 0
		for more := true; more; more = endless {
			n, err := io.WriteString(far, answer)
			total += n
			if err != nil {
				break
			}
		}
		written <- total
	}()
	transport := responsehead.NewTransport(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return near, nil }})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://server/", nil)
	must.NoError(t, err)
	response, err = transport.RoundTrip(request)
	return <-written, response, err
}

// TestInterimResponsesWithoutEnd checks that interim responses are bounded together, be they small or large.
func TestInterimResponsesWithoutEnd(t *testing.T) {
	const buffers = 16 << 10
	for name, fields := range map[string]string{"empty": "", "large": "X-More: " + strings.Repeat("x", 60_000) + "\r\n"} {
		t.Run(name, func(t *testing.T) {
			taken, _, err := roundTrip(t, "HTTP/1.1 103 Early Hints\r\n"+fields+"\r\n", true)
			must.True(t, errs.IsOfType(err, responsehead.Malformed), must.Sprint(err))
			must.LessEq(t, 2*responsehead.MaxBytes+buffers, taken)
		})
	}
}

// TestSomeInterimResponses checks that a response may come after some interim ones.
func TestSomeInterimResponses(t *testing.T) {
	interim := strings.Repeat("HTTP/1.1 102 Processing\r\nX-Part: 1\r\n\r\n", 10)
	_, response, err := roundTrip(t, interim+"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
}
