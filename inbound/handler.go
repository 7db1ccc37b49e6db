package inbound

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/violettally/violettally/internal/errs"
)

// handler passes requests on to next. It tells their connections what to read.
type handler struct{ next http.Handler }

// ServeHTTP handles a request that came by a [Listener].
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := fromContext(r.Context())
	c.begin(r.ContentLength)
	if r.ContentLength == 0 {
		h.next.ServeHTTP(w, r)
		return
	}
	// A handler may answer before it has read the body, and must not wait for the rest first.
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		slog.Error("cannot read and write at once", "error", err)
	}
	body := &awaitedBody{ReadCloser: r.Body, conn: c}
	// The server's own request keeps its body, by which the server knows whether the client was asked for it.
	request := r.WithContext(r.Context())
	request.Body = body
	h.next.ServeHTTP(w, request)
	if !body.ended.Load() {
		c.dropRest(w, body)
	}
}

// dropRest delivers the answer and reads what is left of the body, for a while. The server must not find the end of the
// body itself, after the handler: it would begin to watch the connection, and panic when it reads the next request.
func (c *Conn) dropRest(w http.ResponseWriter, body *awaitedBody) {
	if !c.restIsHere.Load() && !c.deliver(w) {
		return
	}
	_, _ = io.Copy(io.Discard, body)
	_ = body.Close()
	c.spent = c.chunked && !body.ended.Load()
}

// deliver sends the whole answer, and bounds reading the rest of the body. It returns false if the connection ends after
// the answer, or has ended. An answer without a length ends only when the handler returns, and must not wait for the
// body.
func (c *Conn) deliver(w http.ResponseWriter) bool {
	if err := c.SetReadDeadline(time.Now().Add(restTime)); err != nil {
		return false
	}
	closing := w.Header().Get("Connection") == "close"
	if !closing && w.Header().Get("Content-Length") != "" {
		return http.NewResponseController(w).Flush() == nil
	}
	if !closing {
		closeAfterAnswer(w)
	}
	c.readSince.Store(clock(time.Now())) // the server reads the rest
	return false
}

// closeAfterAnswer makes the server close the connection after the answer, as after any body beyond a limit.
func closeAfterAnswer(w http.ResponseWriter) {
	beyond := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0)
	_, _ = io.ReadAll(beyond)
}

// awaitedBody is a request's body. While it is read, the client makes this process wait.
type awaitedBody struct {
	io.ReadCloser
	conn *Conn
	// ended means that all of it was read.
	ended atomic.Bool
}

// Read reads from the body. Its error is NoRoom if the connection was closed in favour of others.
func (b *awaitedBody) Read(p []byte) (int, error) {
	b.conn.readSince.Store(clock(time.Now()))
	n, err := b.ReadCloser.Read(p)
	b.conn.endWait(&b.conn.readSince, n)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && b.conn.isInterrupted() {
		err = errs.New(NoRoom, "read", "the body stopped, and others needed the room")
	}
	return n, err
}

// ChargedBody is the body of a request, of which a handler keeps the first bytes in memory.
type ChargedBody struct {
	inner io.Reader
	conn  *Conn
	// perByte is what each byte takes in memory; toCharge is how many bytes are still to be charged.
	perByte, toCharge int64
	// prepaid is how many bytes have been charged and not yet read.
	prepaid int64
	refused bool
}

// chargeStep is for how many bytes a body of unknown length is charged at a time.
const chargeStep = 8 << 10

// ChargeBody returns the body of a request, of which a handler keeps the first bytes, up to most. Each takes perByte
// bytes of memory. If the length is known, it waits until there is room.
func ChargeBody(r *http.Request, perByte, most int64) *ChargedBody {
	b := &ChargedBody{inner: r.Body, conn: fromContext(r.Context()), perByte: perByte, toCharge: most}
	if b.conn == nil || r.ContentLength <= 0 {
		return b
	}
	b.prepaid = min(r.ContentLength, most)
	b.toCharge -= b.prepaid
	b.refused = !b.conn.listener.budget.await(b.conn, b.prepaid*perByte)
	if !b.refused && r.ContentLength > HeadReceiveBuffer {
		b.conn.widen()
	}
	return b
}

// Read reads from the body. Its error is NoRoom if there is no room for more.
func (b *ChargedBody) Read(p []byte) (int, error) {
	if b.conn != nil && !b.charge() {
		b.conn.listener.budget.observe(RefusalNoRoom, b.conn.RemoteAddr())
		return 0, errs.New(NoRoom, "read", "there is no room for the body now")
	}
	n, err := b.inner.Read(p)
	b.prepaid = max(0, b.prepaid-int64(n))
	return n, err
}

// charge charges the next bytes, if they have not been. It returns false if there is no room for them.
func (b *ChargedBody) charge() bool {
	if b.refused || b.prepaid > 0 || b.toCharge <= 0 {
		return !b.refused
	}
	step := min(chargeStep, b.toCharge)
	b.refused = !b.conn.listener.budget.take(b.conn, step*b.perByte)
	b.prepaid, b.toCharge = step, b.toCharge-step
	if !b.refused {
		b.conn.widen()
	}
	return !b.refused
}
