// Package endless is a stand-in, for tests, of servers in trouble: they answer each request with bytes that never
// end, in the head of a response or in its body, until their caller closes the connection.
//
// # Usage
//
//	s := endless.New(endless.Head, time.Millisecond)
//	conn := s.Dial()  // in synthetic time
//	s.Serve(listener) // or for real clients
//	… s.Sent() …
package endless

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Kind is what the bytes look like.
type Kind struct {
	name string
	// begin is sent once, repeat without end.
	begin, repeat string
}

// String returns the kind's name.
func (k Kind) String() string { return k.name }

// What servers send; ID stands for the request's.
var (
	NoHTTP     = Kind{"no HTTP", "", "garbage "}
	Head       = Kind{"head", "HTTP/1.1 200 OK\r\n", "X-More: " + strings.Repeat("x", 40) + "\r\n"}
	HeaderLine = Kind{"line of a head", "HTTP/1.1 200 OK\r\nX-More: ", "x"}
	Interim    = Kind{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"}
	Body       = Kind{"body", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nConnection: close\r\n\r\n", "garbage "}
	ErrorBody  = Kind{"body of an error", "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: ID\r\nX-Not-Run: 1\r\nConnection: close\r\n\r\n", "garbage "}
	Event      = Kind{"event", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\ndata: ", "x"}
	Comments   = Kind{"comments", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", ": x\n"}
	JSON       = Kind{"JSON", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n{\"x\":\"", "x"}
)

// Heads are the kinds that never become a response, Bodies those whose head ends.
var (
	Heads  = []Kind{NoHTTP, Head, HeaderLine, Interim}
	Bodies = []Kind{Body, ErrorBody, Event, Comments, JSON}
)

// chunkSize is how many bytes are sent at once without a pause.
const chunkSize = 4 << 10

// Server is a server in trouble.
type Server struct {
	kind  Kind
	pause time.Duration
	sent  atomic.Int64
	open  atomic.Int64
}

// New returns a server. With a pause, it sends one byte at a time.
func New(kind Kind, pause time.Duration) *Server { return &Server{kind: kind, pause: pause} }

// Sent returns the number of bytes that callers have taken, Open that of open connections.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Open returns the number of connections that no caller has closed.
func (s *Server) Open() int64 { return s.open.Load() }

// Dial returns a connection to the server without a network, which holds back nothing.
func (s *Server) Dial() net.Conn {
	client, server := net.Pipe()
	go s.handle(server)
	return client
}

// Serve serves the connections of a listener until that is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.handle(conn)
	}
}

// handle answers the first request of a connection until it is closed.
func (s *Server) handle(conn net.Conn) {
	s.open.Add(1)
	defer s.open.Add(-1)
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	begin := strings.ReplaceAll(s.kind.begin, "ID", request.Header.Get("X-Attempt-Id"))
	if s.pause == 0 {
		s.send(conn, begin)
		for s.send(conn, strings.Repeat(s.kind.repeat, chunkSize/len(s.kind.repeat))) {
		}
		return
	}
	for next := begin; ; next = s.kind.repeat {
		for i := range len(next) {
			if !s.send(conn, next[i:i+1]) {
				return
			}
			time.Sleep(s.pause)
		}
	}
}

// send sends bytes, and reports whether the caller has taken them.
func (s *Server) send(conn net.Conn, data string) bool {
	n, err := conn.Write([]byte(data))
	s.sent.Add(int64(n))
	return err == nil
}
