package duplex_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/duplex"
)

const (
	bodySize = 200 << 10
	// readBeforeResponse is how much of a body the server reads before it responds.
	readBeforeResponse = 50 << 10
	// pause is how long the server then waits before it reads on.
	pause = time.Second
	// timeLeft is the time that a request has.
	timeLeft = 10 * time.Second
)

// refused fails requests that must not go by the other RoundTripper.
type refused struct{}

func (refused) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("not by this one")
}

// server responds before it has read a body, on one end of a pipe, and reads on after a pause.
type server struct {
	conn net.Conn
	head string
	got  chan []byte
	err  chan error
}

func (s server) serve() {
	request, err := http.ReadRequest(bufio.NewReader(s.conn))
	if err != nil {
		s.err <- err
		return
	}
	var got bytes.Buffer
	_, _ = io.CopyN(&got, request.Body, readBeforeResponse)
	_, _ = io.WriteString(s.conn, s.head)
	time.Sleep(pause)
	_, err = io.Copy(&got, request.Body)
	s.got <- got.Bytes()
	s.err <- err
	_ = s.conn.Close()
}

// start starts a server whose response begins with the given text, and returns a transport that reaches it.
func start(head string) (server, *duplex.Transport) {
	near, far := net.Pipe() // takes nothing that is not read
	s := server{conn: far, head: head, got: make(chan []byte, 1), err: make(chan error, 1)}
	go s.serve()
	dial := func(context.Context, string, string) (net.Conn, error) { return near, nil }
	return s, duplex.NewTransport(dial, refused{}, 4<<10)
}

// newRequest returns a request with a long body.
func newRequest(ctx context.Context, t *testing.T, body io.Reader) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1:1/x", body)
	must.NoError(t, err)
	return r
}

// testBody returns a body in which each place differs.
func testBody() []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < bodySize; i++ {
		fmt.Fprintf(&b, "%08d\n", i)
	}
	return b.Bytes()
}

// TestBodyCutShortAfterWholeResponse checks that a server gets the whole of a body that it reads on after the response
// has ended, though the context of the request ends with the response.
func TestBodyCutShortAfterWholeResponse(t *testing.T) {
	heads := map[string]string{
		"length":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"none":        "HTTP/1.1 204 No Content\r\n\r\n",
		"after a 1xx": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	}
	for name, head := range heads {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, body in chunks %t", name, chunked), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s, transport := start(head)
					ctx, cancel := context.WithTimeout(context.Background(), timeLeft)
					body := testBody()
					var reader io.Reader = bytes.NewReader(body)
					if chunked {
						reader = io.MultiReader(reader)
					}
					began := time.Now()
					response, err := transport.RoundTrip(newRequest(ctx, t, reader))
					must.NoError(t, err)
					_, err = io.ReadAll(response.Body)
					must.NoError(t, err)
					must.NoError(t, response.Body.Close())
					must.True(t, duplex.Lingers(response.Body))
					must.Eq(t, began, time.Now(), must.Sprint("the response was held back"))
					cancel()
					must.True(t, bytes.Equal(body, <-s.got), must.Sprint("the server got another body"))
					must.NoError(t, <-s.err)
				})
			})
		}
	}
}

// TestAwaitSent checks that the end of sending is awaited.
func TestAwaitSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, transport := start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		ctx, cancel := context.WithTimeout(context.Background(), timeLeft)
		defer cancel()
		began := time.Now()
		response, err := transport.RoundTrip(newRequest(ctx, t, bytes.NewReader(testBody())))
		must.NoError(t, err)
		must.NoError(t, duplex.AwaitSent(ctx, response.Body), must.Sprint("before the response was read"))
		must.Eq(t, began, time.Now())
		_, err = io.ReadAll(response.Body)
		must.NoError(t, err)
		must.NoError(t, duplex.AwaitSent(ctx, response.Body))
		must.Eq(t, pause, time.Since(began))
		must.NoError(t, response.Body.Close())
		must.NoError(t, <-s.err)
	})
}

// TestSendingEnds checks what ends the sending of a body: a response that is given up, the request's deadline, and a
// body that breaks off, which must not look whole.
func TestSendingEnds(t *testing.T) {
	endless := func() io.Reader { return io.MultiReader(strings.NewReader(strings.Repeat("x", bodySize)), forever{}) }
	tests := []struct {
		name string
		body io.Reader
		// read has the response read before it is closed.
		read bool
	}{
		{"given up", bytes.NewReader(testBody()), false},
		{"deadline", endless(), true},
		{"broken off", io.MultiReader(strings.NewReader(strings.Repeat("x", bodySize)), brokenReader{}), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, transport := start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				ctx, cancel := context.WithTimeout(context.Background(), timeLeft)
				defer cancel()
				response, err := transport.RoundTrip(newRequest(ctx, t, tt.body))
				must.NoError(t, err)
				if tt.read {
					_, err = io.ReadAll(response.Body)
					must.NoError(t, err)
				}
				must.NoError(t, response.Body.Close())
				must.Error(t, <-s.err)
				time.Sleep(2 * time.Second) // a read of the body that is under way ends in the bubble
			})
		})
	}
}

// TestNoResponse checks the errors of requests that get no response.
func TestNoResponse(t *testing.T) {
	heads := map[string]string{
		"endless head": "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 8<<10),
		"no response":  "bytes\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, transport := start(head)
				_, err := transport.RoundTrip(newRequest(context.Background(), t, bytes.NewReader(testBody())))
				must.Error(t, err)
				<-s.err
			})
		})
	}
	t.Run("deadline", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s, transport := start("")
			ctx, cancel := context.WithTimeout(context.Background(), pause/2)
			defer cancel()
			_, err := transport.RoundTrip(newRequest(ctx, t, bytes.NewReader(testBody())))
			must.ErrorIs(t, err, context.DeadlineExceeded)
			must.Error(t, <-s.err)
		})
	})
}

// TestShortBody checks that short bodies go by the other RoundTripper.
func TestShortBody(t *testing.T) {
	dial := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("dialed") }
	transport := duplex.NewTransport(dial, refused{}, 4<<10)
	for _, body := range []io.Reader{nil, strings.NewReader(""), strings.NewReader("short")} {
		_, err := transport.RoundTrip(newRequest(context.Background(), t, body))
		must.EqError(t, err, "not by this one")
	}
	_, err := transport.RoundTrip(newRequest(context.Background(), t, bytes.NewReader(testBody())))
	must.EqError(t, err, "dialed")
}

// forever is a body that never ends, a byte a second.
type forever struct{}

func (forever) Read(p []byte) (int, error) {
	time.Sleep(time.Second)
	p[0] = 'x'
	return 1, nil
}

// brokenReader is a body that breaks off.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("broken off") }
