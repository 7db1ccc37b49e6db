package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// HeadEnd is how a server ends that stops within the head of its response.
type HeadEnd int

// The ends.
const (
	// HeadClosed closes the connection.
	HeadClosed HeadEnd = iota
	// HeadReset resets it.
	HeadReset
	// HeadSilent leaves it open.
	HeadSilent
)

// brokenHeads are the forms of a response whose head breaks off. Each %s is the request's ID.
var brokenHeads = []string{
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Stamp: s\r\nContent-Length: 1200\r\nContent-Type: text/event-stream\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 20\r\nContent-Type: application/json\r\nX-Stamp: s\r\nX-Attempt-Id: %s\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n",
	"HTTP/1.1 200 OK\nX-Attempt-Id: %s\nX-Stamp: s\nContent-Type: text/event-stream\nContent-Length: 120\n\n",
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Stamp: s\r\nConnection: close\r\nContent-Type: text/event-stream\r\n\r\n",
	"HTTP/1.0 200 OK\r\nX-Attempt-Id: %s\r\nX-Stamp: s\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: %s\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Stamp: s\r\n\r\n",
}

// wholeHead is the head of a whole response, with the request's ID and the length of the body.
const wholeHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Stamp: s\r\nContent-Length: %d\r\nConnection: close\r\nContent-Type: text/event-stream\r\n\r\n"

// brokenHead returns the nth form of a head for a request ID.
func brokenHead(n int, id string) string { return strings.ReplaceAll(brokenHeads[n], "%s", id) }

// WholeBody is the body of the responses of a BrokenHeadServer that are whole.
const WholeBody = "id: 1\ndata: whole\n\n"

// BrokenHeadServer is a server, or several, that stops within the head of its first response to the requests with
// a path, which tells where; see [BrokenHeadPaths]. Later ones get a whole response.
type BrokenHeadServer struct {
	listeners []net.Listener

	mu       sync.Mutex
	received map[string]int
	open     []net.Conn
}

// NewBrokenHeadServer starts a server that listens on the given addresses.
func NewBrokenHeadServer(addresses ...string) (*BrokenHeadServer, error) {
	s := &BrokenHeadServer{received: make(map[string]int)}
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.listeners = append(s.listeners, l)
		go s.accept(l)
	}
	return s, nil
}

// Addresses returns the addresses that the server listens on.
func (s *BrokenHeadServer) Addresses() []string {
	var addresses []string
	for _, l := range s.listeners {
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// Received returns how many requests with a path were received.
func (s *BrokenHeadServer) Received(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[path]
}

// Close stops the server and closes its connections.
func (s *BrokenHeadServer) Close() {
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		_ = c.Close()
	}
}

// BrokenHeadPaths returns the paths, after a prefix, of requests whose response breaks off after every step-th
// byte of every form of a head. A server that is silent sends one byte at least; others are only late.
func BrokenHeadPaths(prefix string, end HeadEnd, step int) []string {
	var paths []string
	first := 0
	if end == HeadSilent {
		first = 1
	}
	for form := range brokenHeads {
		for cut := first; cut < len(brokenHead(form, "r-100")); cut += step {
			paths = append(paths, fmt.Sprintf("%s%d/%d/%d", prefix, end, form, cut))
		}
	}
	return paths
}

func (s *BrokenHeadServer) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.open = append(s.open, c)
		s.mu.Unlock()
		go s.respond(c.(*net.TCPConn))
	}
}

// respond answers one request.
func (s *BrokenHeadServer) respond(c *net.TCPConn) {
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		_ = c.Close()
		return
	}
	s.mu.Lock()
	s.received[q.URL.Path]++
	count := s.received[q.URL.Path]
	s.mu.Unlock()
	end, form, cut, ok := decodeBrokenHeadPath(q.URL.Path)
	if !ok { // a check whether the server responds
		_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		_ = c.Close()
		return
	}
	id := q.Header.Get("X-Attempt-Id")
	if count > 1 {
		_, _ = fmt.Fprintf(c, wholeHead+"%s", id, len(WholeBody), WholeBody)
		_ = c.Close()
		return
	}
	head := brokenHead(form, id)
	_, _ = io.WriteString(c, head[:min(cut, len(head)-1)])
	switch end {
	case HeadReset:
		_ = c.SetLinger(0)
		_ = c.Close()
	case HeadClosed:
		_ = c.Close()
	}
}

// decodeBrokenHeadPath returns what a path of BrokenHeadPaths tells.
func decodeBrokenHeadPath(path string) (end HeadEnd, form, cut int, ok bool) {
	fields := strings.Split(path, "/")
	if len(fields) < 4 {
		return 0, 0, 0, false
	}
	var numbers [3]int
	for i, field := range fields[len(fields)-len(numbers):] {
		n, err := strconv.Atoi(field)
		if err != nil {
			return 0, 0, 0, false
		}
		numbers[i] = n
	}
	return HeadEnd(numbers[0]), numbers[1], numbers[2], true
}
