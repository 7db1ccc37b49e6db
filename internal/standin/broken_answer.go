package standin

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/violettally/violettally/internal/duplex"
)

// Answer is what an AnswerServer sends.
type Answer struct {
	Name string
	// raw is sent as it is; ID stands for the request's.
	raw string
	// reset has the connection reset after that, in place of an end in order.
	reset bool
}

// Sound reports whether the answer may reach clients.
func (a Answer) Sound() bool { return slices.Contains(SoundAnswers, a) }

// AnswerBody is the body of the sound answers. It begins with a JSON value, and is the last event of a stream.
const AnswerBody = "{}\ndata: [DONE]\n\n"

const (
	// answerHead begins the head of an answer, answerRest ends that of a sound one, with its body.
	answerHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Stamp: s\r\n"
	answerRest = "Content-Length: 17\r\n\r\n" + AnswerBody
	// answerChunk is the body as a chunk, answerChunks all chunks, up to the trailer.
	answerChunk  = "11\r\n" + AnswerBody + "\r\n"
	answerChunks = answerChunk + "0\r\n"
)

// Answers that may reach clients, and such that may not, by what is wrong with them.
var (
	SoundAnswers = []Answer{
		{Name: "length", raw: answerHead + answerRest},
		{Name: "chunks", raw: answerHead + "Transfer-Encoding: chunked\r\n\r\n" + answerChunks + "\r\n"},
		{Name: "chunks and trailer", raw: answerHead + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n" + answerChunks + "X-Sum: 1\r\n\r\n"},
		{Name: "ends with its connection", raw: answerHead + "\r\n" + AnswerBody},
		{Name: "ends with its connection, HTTP/1.0", raw: "HTTP/1.0 200 OK\r\nX-Attempt-Id: ID\r\n\r\n" + AnswerBody},
		{Name: "after an interim one", raw: "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n" + answerHead + answerRest},
		{Name: "after 100 and 102", raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + answerHead + answerRest},
	}
	// ResetAnswers break off with a reset.
	ResetAnswers = []Answer{
		{Name: "no length", raw: answerHead + "\r\n" + AnswerBody, reset: true},
		{Name: "no length, Connection: close", raw: answerHead + "Connection: close\r\n\r\n" + AnswerBody, reset: true},
		{Name: "no length, HTTP/1.0", raw: "HTTP/1.0 200 OK\r\nX-Attempt-Id: ID\r\n\r\n" + AnswerBody, reset: true},
		{Name: "length", raw: answerHead + "Content-Length: 40\r\n\r\n" + AnswerBody, reset: true},
		{Name: "chunks", raw: answerHead + "Transfer-Encoding: chunked\r\n\r\n" + answerChunk, reset: true},
	}
	// BadStatusAnswers have a status below 100.
	BadStatusAnswers = []Answer{
		{Name: "000", raw: "HTTP/1.1 000 X\r\nX-Attempt-Id: ID\r\n" + answerRest},
		{Name: "000 without body", raw: "HTTP/1.1 000 X\r\nX-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n"},
		{Name: "000 without length", raw: "HTTP/1.1 000 X\r\nX-Attempt-Id: ID\r\n\r\n" + AnswerBody},
		{Name: "001", raw: "HTTP/1.1 001 X\r\nX-Attempt-Id: ID\r\n" + answerRest},
		{Name: "099", raw: "HTTP/1.1 099 X\r\nX-Attempt-Id: ID\r\n" + answerRest},
		{Name: "+20", raw: "HTTP/1.1 +20 X\r\nX-Attempt-Id: ID\r\n" + answerRest},
		{Name: "000, then 200", raw: "HTTP/1.1 000 X\r\nX-Attempt-Id: ID\r\n\r\n" + answerHead + answerRest},
		{Name: "100, then 000", raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\nX-Attempt-Id: ID\r\n" + answerRest},
	}
	// BadNameAnswers have a blank in the name of a field.
	BadNameAnswers = []Answer{
		{Name: "blank within a name", raw: answerHead + "X Bad: v\r\n" + answerRest},
		{Name: "blank before the colon", raw: answerHead + "X-Bad : v\r\n" + answerRest},
		{Name: "blank in a name, no body", raw: answerHead + "X Bad: v\r\nContent-Length: 0\r\n\r\n"},
		{Name: "blank after the length's name", raw: answerHead + "Content-Length : 4\r\n\r\npartjunkjunk"},
		{Name: "blank after the coding's name", raw: answerHead + "Transfer-Encoding : chunked\r\n\r\n" + answerChunks + "\r\n"},
		{Name: "blank within the coding's name", raw: answerHead + "Transfer Encoding: chunked\r\n\r\n" + answerChunks + "\r\n"},
		{Name: "blank after the coding's name, with a length", raw: answerHead + "Transfer-Encoding : chunked\r\nContent-Length: 28\r\n\r\n" + answerChunks + "\r\n"},
		{Name: "blank in an interim answer", raw: "HTTP/1.1 103 Early Hints\r\nX Bad: v\r\n\r\n" + answerHead + answerRest},
		{Name: "blank in a second interim answer", raw: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Bad : v\r\n\r\n" + answerHead + answerRest},
	}
	// BadTrailerAnswers have a trailer that breaks off, or a blank in the name of a field of it.
	BadTrailerAnswers = []Answer{
		{Name: "cut", raw: answerHead + "Transfer-Encoding: chunked\r\n\r\n" + answerChunks + "X-Sum: 1\r\n"},
		{Name: "blank within a name", raw: answerHead + "Transfer-Encoding: chunked\r\n\r\n" + answerChunks + "X Bad: v\r\n\r\n"},
		{Name: "blank before the colon", raw: answerHead + "Transfer-Encoding: chunked\r\nTrailer: X-Bad\r\n\r\n" + answerChunks + "X-Bad : v\r\n\r\n"},
	}
	// BadAnswers are malformed in other ways.
	BadAnswers = []Answer{
		{Name: "control byte in a name", raw: answerHead + "X\x01Bad: v\r\n" + answerRest},
		{Name: "NUL in a name", raw: answerHead + "X\x00Bad: v\r\n" + answerRest},
		{Name: "tab in a name", raw: answerHead + "X\tBad: v\r\n" + answerRest},
		{Name: "tab before the colon", raw: answerHead + "X-Bad\t: v\r\n" + answerRest},
		{Name: "CR in a name", raw: answerHead + "X\rBad: v\r\n" + answerRest},
		{Name: "DEL in a name", raw: answerHead + "X\x7fBad: v\r\n" + answerRest},
		{Name: "byte over 127 in a name", raw: answerHead + "X\xe9Bad: v\r\n" + answerRest},
		{Name: "empty name", raw: answerHead + ": v\r\n" + answerRest},
		{Name: "no colon", raw: answerHead + "X-Bad\r\n" + answerRest},
		{Name: "folded first line", raw: "HTTP/1.1 200 OK\r\n X-Bad: v\r\nX-Attempt-Id: ID\r\n" + answerRest},
		{Name: "NUL in a value", raw: answerHead + "X-Bad: v\x00\r\n" + answerRest},
		{Name: "CR in a value", raw: answerHead + "X-Bad: v\rw\r\n" + answerRest},
		{Name: "lengths that differ", raw: answerHead + "Content-Length: 4\r\n" + answerRest},
		{Name: "signed length", raw: answerHead + "Content-Length: +4\r\n\r\npart"},
		{Name: "odd chunk size", raw: answerHead + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n" + AnswerBody},
		{Name: "unknown coding", raw: answerHead + "Transfer-Encoding: odd\r\n\r\n" + AnswerBody},
	}
)

const (
	// resetPause lets what was sent arrive before the reset.
	resetPause = 20 * time.Millisecond
	// answerReadBuffer is the size of the receive buffers of an AnswerServer in bytes, so that long bodies wait.
	answerReadBuffer = 16 << 10
)

// AnswerServer sends one answer to every request, as soon as it has read its head.
type AnswerServer struct {
	answer   Answer
	listener net.Listener
	received atomic.Int64
}

// NewAnswerServer starts a server at an address.
func NewAnswerServer(address string, answer Answer) (*AnswerServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &AnswerServer{answer: answer, listener: listener}
	go s.accept()
	return s, nil
}

// Address returns the server's address.
func (s *AnswerServer) Address() string { return s.listener.Addr().String() }

// Received returns the number of requests that were answered, other than checks whether the server responds.
func (s *AnswerServer) Received() int { return int(s.received.Load()) }

// Close stops the server.
func (s *AnswerServer) Close() { _ = s.listener.Close() }

func (s *AnswerServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.respond(c.(*net.TCPConn))
	}
}

// respond answers one request.
func (s *AnswerServer) respond(c *net.TCPConn) {
	defer c.Close()
	_ = c.SetReadBuffer(answerReadBuffer)
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if request.Header.Get("X-Attempt-Id") == "check" {
		_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		return
	}
	s.received.Add(1)
	_, _ = io.WriteString(c, strings.ReplaceAll(s.answer.raw, "ID", request.Header.Get("X-Attempt-Id")))
	if s.answer.reset {
		time.Sleep(resetPause)
		_ = c.SetLinger(0)
		return
	}
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c) // a close before that would reset the connection
}

// DialWriterFirst returns a function that opens connections by dial on which a writer meets the end of the
// connection before a reader does, if it writes a long body: once something has been received, reads wait until
// a write fails.
func DialWriterFirst(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &writerFirstConn{Conn: inner, over: make(chan struct{})}, nil
	}
}

// writerFirstConn is a connection of DialWriterFirst.
type writerFirstConn struct {
	net.Conn
	written, read atomic.Int64
	// over is closed once a write has failed or the connection is closed.
	over     chan struct{}
	overOnce sync.Once
}

// Read reads from the connection.
func (c *writerFirstConn) Read(p []byte) (int, error) {
	if c.read.Load() > 0 && c.written.Load() > duplex.SocketBytes {
		<-c.over
	}
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Write writes to the connection.
func (c *writerFirstConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	if err != nil {
		c.overOnce.Do(func() { close(c.over) })
	}
	return n, err
}

// CloseWrite closes the sending end of the connection.
func (c *writerFirstConn) CloseWrite() error { return duplex.CloseWrite(c.Conn) }

// Close closes the connection.
func (c *writerFirstConn) Close() error {
	c.overOnce.Do(func() { close(c.over) })
	return c.Conn.Close()
}
