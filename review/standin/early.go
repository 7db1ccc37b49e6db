package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["early"] = playEarly }

const (
	// bodySize is the length of a request's body; the configuration allows 4,194,304.
	bodySize = 2 << 20
	// earlyAfter is how much of a body the runner has read when it answers early.
	earlyAfter = 300 << 10
	// events is the number of events of an answer.
	events        = 30
	eventInterval = 40 * time.Millisecond

	runnerID = "r-1"
)

// body returns the body of a request: numbered lines, so that a gap shows where it is.
func body(id string, size int) []byte {
	var b bytes.Buffer
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "%s %08d\n", id, n)
	}
	return b.Bytes()[:size]
}

// arrival is what a runner has received of a request's body.
type arrival struct {
	id    string
	bytes []byte
	whole bool
}

// earlyRunner answers requests on kept connections. With early set, it answers when it has read a
// part of a long body, keeps the connection, and reads on.
type earlyRunner struct {
	w     *world
	early bool

	mu       sync.Mutex
	arrivals []arrival
}

func (r *earlyRunner) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go r.serveConn(conn)
	}
}

func (r *earlyRunner) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Attempt-Id")
		if request.Header.Get("X-Expect-Runner") != runnerID {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Run: 1\r\nX-Runner-Id: %s\r\nContent-Length: 0\r\n\r\n", id, runnerID)
			continue
		}
		r.w.record("runner: request %s: %s %s, Content-Length %d, Transfer-Encoding %v", id, request.Method, request.URL, request.ContentLength, request.TransferEncoding)
		var got bytes.Buffer
		answered := make(chan struct{})
		if r.early {
			_, err = io.CopyN(&got, request.Body, earlyAfter)
			r.w.record("runner: request %s: answer begins after %d bytes of its body (%v)", id, got.Len(), err)
			go r.answer(conn, id, answered)
		}
		_, err = io.Copy(&got, request.Body)
		r.w.record("runner: request %s: body ended after %d bytes: %v", id, got.Len(), err)
		if !r.early {
			go r.answer(conn, id, answered)
		}
		<-answered
		r.mu.Lock()
		r.arrivals = append(r.arrivals, arrival{id, got.Bytes(), err == nil})
		r.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// answer sends a stream of events.
func (r *earlyRunner) answer(conn net.Conn, id string, answered chan<- struct{}) {
	defer close(answered)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Stamp: stamp-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	for n := range events {
		event := fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n+1, id, n+1)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			r.w.record("runner: request %s: the connection ended at event %d: %v", id, n+1, err)
			return
		}
		time.Sleep(eventInterval)
	}
	fmt.Fprint(conn, "0\r\n\r\n")
}

func playEarly(w *world) int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("%v", err)
	}
	runner := &earlyRunner{w: w, early: w.trouble}
	go runner.serve(l)
	w.declare(1,
		[]map[string]any{{"name": "put", "host": testHost, "path_prefix": "/put/", "kind": "stream", "resumable": false, "timeout_ms": 10000, "goal_ms": 1000, "priority": 1, "service": "records", "attempts": 1}},
		[]map[string]any{{"name": "records", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}})
	w.announce(runnerID, "records", l.Addr().String(), "zone-a", "v1", "ready", 6)
	g := w.startGateways(1)[0]
	time.Sleep(500 * time.Millisecond)

	const requests = 6
	sent := make(map[string][]byte)
	for n := range requests {
		id := "a" + strconv.Itoa(n)
		sent[id] = body(id, bodySize)
		w.send(g, id, sent[id], n%2 == 1)
	}
	time.Sleep(time.Second)
	return w.judgeBodies(runner, sent)
}

// judgeBodies checks that the runner got no other bytes than the client's. A body that ends early, with
// its connection, is no break of this rule.
func (w *world) judgeBodies(runner *earlyRunner, sent map[string][]byte) int {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	broken := 0
	for _, a := range runner.arrivals {
		want := sent[a.id]
		if bytes.HasPrefix(want, a.bytes) && (len(a.bytes) == len(want) || !a.whole) {
			w.record("judge: request %s: the runner got the first %d of %d bytes, and no others", a.id, len(a.bytes), len(want))
			continue
		}
		broken++
		at := 0
		for at < len(a.bytes) && at < len(want) && a.bytes[at] == want[at] {
			at++
		}
		w.record("judge: request %s: UNASKED: from byte %d on the runner got %q in place of %q; %d bytes in place of %d; looked whole: %t",
			a.id, at, excerpt(a.bytes, at), excerpt(want, at), len(a.bytes), len(want), a.whole)
	}
	switch {
	case broken > 0:
		return exitBroken
	case len(runner.arrivals) < len(sent):
		w.fail("only %d of %d requests reached the runner", len(runner.arrivals), len(sent))
	}
	return exitHeld
}

func excerpt(b []byte, at int) string { return string(b[min(at, len(b)):min(at+24, len(b))]) }

// send sends a request with a body that takes some time, on a connection of its own, and records the answer.
func (w *world) send(g *gateway, id string, content []byte, chunked bool) {
	conn, err := net.DialTimeout("tcp", g.caller, time.Second)
	if err != nil {
		w.fail("%v", err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	length := "Content-Length: " + strconv.Itoa(len(content))
	if chunked {
		length = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(conn, "POST /put/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: 8000\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n", id, testHost, id, testKey, length)
	w.record("client: request %s sent, %s, %d bytes", id, strings.SplitN(length, ":", 2)[0], len(content))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for rest := content; len(rest) > 0; {
			part := rest[:min(16<<10, len(rest))]
			rest = rest[len(part):]
			var err error
			if chunked {
				_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
			} else {
				_, err = conn.Write(part)
			}
			if err != nil {
				w.record("client: request %s: sending ended %d bytes before the end: %v", id, len(rest), err)
				return
			}
			time.Sleep(4 * time.Millisecond)
		}
		if chunked {
			fmt.Fprint(conn, "0\r\n\r\n")
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		w.record("client: request %s: no answer: %v", id, err)
	} else {
		answer, err := io.ReadAll(response.Body)
		w.record("client: request %s: %d, %d bytes, X-Stamp %q, Connection %q (%v)", id, response.StatusCode, len(answer), response.Header.Get("X-Stamp"), response.Header.Get("Connection"), err)
	}
	<-done
}
