package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

func init() { cases["pause"] = playPause }

const (
	// pauseRequests is the number of requests with long bodies, each on a kept connection of its own.
	pauseRequests = 10
	// pauseBody is the length of their bodies; the configuration allows 4,194,304.
	pauseBody = 7 << 19
	// readPause is how long the runner does not read on after its answer has begun.
	readPause = 7 * time.Second
	// pauseEvents and pauseInterval make an answer of 8 s; the client waits 20 s.
	pauseEvents   = 40
	pauseInterval = 200 * time.Millisecond
	// runnerBuffer is the size of the runner's receive buffers. Windows are small on the platform.
	runnerBuffer = 256 << 10
)

// pauseRunner answers with streams. With pause set, it begins its answer to a long body after the first
// part of it, reads on later, and keeps the connection.
type pauseRunner struct {
	w     *world
	pause bool
}

func (r *pauseRunner) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go r.serveConn(conn)
	}
}

func (r *pauseRunner) serveConn(conn net.Conn) {
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
		long := request.ContentLength < 0
		answered := make(chan struct{})
		if r.pause && long {
			_, _ = io.CopyN(io.Discard, request.Body, earlyAfter)
			r.w.record("runner: request %s: answer begins, the rest of the body is read later", id)
			go r.answer(conn, id, pauseEvents, answered)
			time.Sleep(readPause)
		}
		n, err := io.Copy(io.Discard, request.Body)
		r.w.record("runner: request %s: body ended, %d bytes more: %v", id, n, err)
		switch {
		case long && !r.pause:
			go r.answer(conn, id, pauseEvents, answered)
		case !long:
			go r.answer(conn, id, 1, answered)
		}
		<-answered
		if err != nil {
			return
		}
	}
}

// answer sends a stream of events.
func (r *pauseRunner) answer(conn net.Conn, id string, count int, answered chan<- struct{}) {
	defer close(answered)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Stamp: stamp-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	for n := range count {
		event := fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n+1, id, n+1)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			r.w.record("runner: request %s: the connection ended at event %d: %v", id, n+1, err)
			return
		}
		if n+1 < count {
			time.Sleep(pauseInterval)
		}
	}
	fmt.Fprint(conn, "0\r\n\r\n")
	r.w.record("runner: request %s: answered whole", id)
}

func playPause(w *world) int {
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, runnerBuffer)
		})
	}}
	l, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("%v", err)
	}
	go (&pauseRunner{w: w, pause: w.trouble}).serve(l)
	w.declare(1,
		[]map[string]any{{"name": "put", "host": testHost, "path_prefix": "/put/", "kind": "stream", "resumable": false, "timeout_ms": 20000, "goal_ms": 2000, "gap_aim_ms": 1200, "priority": 1, "service": "records", "attempts": 1}},
		[]map[string]any{{"name": "records", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}})
	w.announce(runnerID, "records", l.Addr().String(), "zone-a", "v1", "ready", 32)
	g := w.startGateways(1)[0]
	time.Sleep(500 * time.Millisecond)

	cut := make(chan bool, pauseRequests)
	for n := range pauseRequests {
		go func() { cut <- w.sendKept(g, n) }()
		time.Sleep(300 * time.Millisecond)
	}
	lost := 0
	for range pauseRequests {
		if <-cut {
			lost++
		}
	}
	w.record("judge: %d of %d requests from kept connections ended without a whole answer; the rule allows 3", lost, pauseRequests)
	if lost > 3 {
		return exitBroken
	}
	return exitHeld
}

// sendKept sends a small request and then one with a long body on the same connection. It reports whether
// the connection was closed without a whole answer to the second one.
func (w *world) sendKept(g *gateway, n int) (cut bool) {
	conn, err := net.DialTimeout("tcp", g.caller, time.Second)
	if err != nil {
		w.fail("%v", err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(25 * time.Second))
	reader := bufio.NewReader(conn)
	head := func(id string) string {
		return fmt.Sprintf("POST /put/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: 20000\r\nAuthorization: Bearer %s\r\n", id, testHost, id, testKey)
	}
	id := "s" + strconv.Itoa(n)
	fmt.Fprintf(conn, "%sContent-Length: 5\r\n\r\nsmall", head(id))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		w.record("client: request %s: no answer: %v", id, err)
		return false
	}
	answer, err := io.ReadAll(response.Body)
	w.record("client: request %s: %d, %d bytes (%v)", id, response.StatusCode, len(answer), err)

	id = "a" + strconv.Itoa(n)
	go func() {
		fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n", head(id))
		for rest := body(id, pauseBody); len(rest) > 0; {
			part := rest[:min(16<<10, len(rest))]
			rest = rest[len(part):]
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part); err != nil {
				w.record("client: request %s: sending ended %d bytes before the end: %v", id, len(rest), err)
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
		fmt.Fprint(conn, "0\r\n\r\n")
		w.record("client: request %s: sent", id)
	}()
	response, err = http.ReadResponse(reader, nil)
	if err != nil {
		w.record("client: request %s: no answer: %v", id, err)
		return true
	}
	answer, err = io.ReadAll(response.Body)
	w.record("client: request %s: %d, %d of %d events (%v)", id, response.StatusCode, bytes.Count(answer, []byte("\n\n")), pauseEvents, err)
	return err != nil
}
