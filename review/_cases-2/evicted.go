package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["evicted"] = evicted }

const (
	// reportBytes is the size of an answer, readPiece what its client reads of it every readPause: 150 kB a second.
	reportBytes = 1_500_000
	readPiece   = 15_000
	readPause   = 100 * time.Millisecond
	// segmentBytes is the segment size of the clients' links, as on ordinary networks; that of loopback is 64 kB.
	segmentBytes = 1400
	// readers is how many clients fetch such an answer at a time, on kept channels.
	readers = 30
	// uploadBytes is the size of a body; usualUploads are sent at a time, burstUploads in the burst: 1.7 times as many.
	uploadBytes  = 300_000
	usualUploads = 44
	burstUploads = 74
	// uploadTime is how long a client takes to send a body, in pieces of uploadPiece.
	uploadTime  = time.Second
	uploadPiece = 10_000
	usualTime   = 14 * time.Second
	burstTime   = 3 * time.Second
)

// evicted lets clients fetch reports over slow links while others send bodies, of which 1.7 times as many come for a
// while.
func evicted(w *world) bool {
	seen := &runs{}
	w.store.Put("op/config", configuration(1,
		route("r-report", "/puxa403/", "non_idempotent", records, 20000, 1),
		route("r-upload", "/lohu930/", "non_idempotent", pool, 20000, 1)))
	report := strings.Repeat("0123456789", reportBytes/10)
	for i := range 3 {
		w.startRunner(&runner{id: fmt.Sprintf("i-rep-%d", i), service: records, version: "v1", zone: halls[i], slots: 64, runs: seen, work: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(reportBytes))
			_, _ = io.WriteString(w, report)
		}})
		w.startRunner(&runner{id: fmt.Sprintf("i-up-%d", i), service: pool, version: "v1", zone: halls[i], slots: 64, runs: seen, work: func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(60 * time.Millisecond)
			_, _ = io.WriteString(w, "ok")
		}})
	}
	peer := freeAddress("127.0.0.1")
	g := w.newGateway(place{"front-kig-1", halls[0], peer}, []string{peer}, w.storeAt, func(settings map[string]any) {
		settings["limits"] = map[string]any{"memory_mb": 134, "descriptors": 4100, "link_mbps": 1000.0}
	})
	g.start()
	g.awaitReady()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var whole, cut, refused atomic.Int64
	for n := range readers {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 300 * time.Millisecond)
			w.fetchReports(g.client, n, stop, &whole, &cut, &refused)
		})
	}
	var uploads tally
	upload := func(worker int, until <-chan struct{}) {
		for n := 0; ; n++ {
			select {
			case <-until:
				return
			default:
			}
			uploads.count(w.upload(g.client, fmt.Sprintf("up-%d-%d", worker, n)), false)
		}
	}
	for n := range usualUploads {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * uploadTime / usualUploads)
			upload(n, stop)
		})
	}
	time.Sleep(usualTime)
	before := cut.Load()
	w.note("so far: %d reports whole, %d cut", whole.Load(), before)
	if w.trouble {
		w.note("trouble: a burst, %d uploads at a time in place of %d", burstUploads, usualUploads)
		over := make(chan struct{})
		for n := range burstUploads - usualUploads {
			clients.Go(func() { upload(1000+n, over) })
		}
		time.Sleep(burstTime)
		close(over)
		w.note("trouble over")
	} else {
		time.Sleep(burstTime)
	}
	time.Sleep(14 * time.Second)
	close(stop)
	clients.Wait()
	ran := make(map[string]int)
	for _, r := range seen.list() {
		ran[r.id]++
	}
	w.say("uploads: %d, by status %v", uploads.sent, uploads.statuses)
	w.say("reports: %d whole, %d cut by the gateway in the middle of the answer (%d of these before the burst), %d refused; allowed: 3", whole.Load(), cut.Load(), before, refused.Load())
	return cut.Load() > 3
}

// fetchReports fetches reports on a kept channel, one after the other, over a slow link.
func (w *world) fetchReports(address string, client int, stop <-chan struct{}, whole, cut, refused *atomic.Int64) {
	var c net.Conn
	var answers *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if c == nil {
			c = slowLink(address)
			answers = bufio.NewReaderSize(c, readPiece)
		}
		id := fmt.Sprintf("rep-%d-%d", client, n)
		w.note("sent %s: report", id)
		_, err := fmt.Fprintf(c, "POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: 20000\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}", host, id, key)
		var response *http.Response
		if err == nil {
			response, err = http.ReadResponse(answers, nil)
		}
		if err == nil && response.StatusCode != http.StatusOK {
			refused.Add(1)
			w.note("answered %s: status %d", id, response.StatusCode)
			c.Close()
			c = nil
			time.Sleep(time.Second)
			continue
		}
		got := 0
		for piece := make([]byte, readPiece); err == nil; time.Sleep(readPause) {
			var k int
			k, err = io.ReadFull(response.Body, piece)
			got += k
		}
		if got == reportBytes {
			whole.Add(1)
			w.note("answered %s: whole", id)
			continue
		}
		cut.Add(1)
		w.note("answered %s: cut after %d of %d bytes: %v", id, got, reportBytes, err)
		c.Close()
		c = nil
	}
}

// slowLink opens a channel with small segments and a small window.
func slowLink(address string) net.Conn {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 32<<10)
		})
	}}
	c, err := dialer.Dial("tcp", address)
	if err != nil {
		panic(notRun{err.Error()})
	}
	return c
}

// upload sends a body at an even pace and returns the status of the answer.
func (w *world) upload(address, id string) int {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(21 * time.Second))
	w.note("sent %s: upload", id)
	_, err = fmt.Fprintf(c, "POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: 20000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", host, id, key, uploadBytes)
	answered := make(chan int, 1)
	go func() {
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			answered <- 0
			return
		}
		answered <- response.StatusCode
	}()
	piece := []byte(strings.Repeat("x", uploadPiece))
	status := -1
	for sent := 0; sent < uploadBytes && err == nil && status < 0; sent += uploadPiece {
		select {
		case status = <-answered: // refused meanwhile
		case <-time.After(uploadTime * uploadPiece / uploadBytes):
			_, err = c.Write(piece)
		}
	}
	if status < 0 {
		status = <-answered
	}
	w.note("answered %s: status %d", id, status)
	if status == http.StatusServiceUnavailable {
		time.Sleep(300 * time.Millisecond)
	}
	return status
}
