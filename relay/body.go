package relay

import (
	"bytes"
	"errors"
	"io"
	"sync"
)

// maxBufferedBody is how many bytes of a request body are buffered so that it can be sent
// again. The rest of a longer body is streamed and can be sent only once.
const maxBufferedBody = 256 << 10

// errDiscarded fails the reads of an attempt after Discard.
var errDiscarded = errors.New("the rest of the body is discarded")

// Body is a request body. It must be used by one goroutine at a time, but an attempt may read it meanwhile.
type Body struct {
	prefix []byte
	// length of the whole body; -1 if unknown.
	length int64
	sent   bool

	// reading is held while rest is read.
	reading   sync.Mutex
	rest      io.Reader
	discarded bool

	mu sync.Mutex
	// err is the error of reading the rest from the client.
	err error
}

// NewBody buffers the beginning of a body of the given length, -1 if unknown.
func NewBody(r io.Reader, length int64) (*Body, error) {
	prefix, err := io.ReadAll(io.LimitReader(r, maxBufferedBody))
	if err != nil {
		return nil, err
	}
	b := &Body{prefix: prefix, length: length}
	if len(prefix) < maxBufferedBody {
		b.length = int64(len(prefix))
	} else {
		b.rest = r
	}
	return b, nil
}

// Buffered returns the buffered beginning of the body, which is all of it unless it is long.
func (b *Body) Buffered() []byte { return b.prefix }

// Length returns the length of the body, -1 if unknown.
func (b *Body) Length() int64 { return b.length }

// Replayable reports whether the body can be sent now: a fully buffered body always, any other
// one only once.
func (b *Body) Replayable() bool { return b.FullyBuffered() || !b.sent }

// FullyBuffered reports whether the whole body is in memory, so that it can be sent any number
// of times.
func (b *Body) FullyBuffered() bool { return b.rest == nil }

// Reader returns a reader of the whole body for one attempt.
func (b *Body) Reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.prefix)
	}
	b.sent = true
	return io.MultiReader(bytes.NewReader(b.prefix), restReader{b})
}

// Err returns the error of reading the body from the client, if any.
func (b *Body) Err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// Discard reads what is left of the body, and drops it. Attempts can no longer read the body.
func (b *Body) Discard() error {
	if b.FullyBuffered() {
		return nil
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	b.discarded = true
	_, err := io.Copy(io.Discard, b.rest)
	return err
}

// restReader reads the part that is not buffered and keeps the error.
type restReader struct{ b *Body }

func (r restReader) Read(p []byte) (int, error) {
	r.b.reading.Lock()
	defer r.b.reading.Unlock()
	if r.b.discarded {
		return 0, errDiscarded
	}
	n, err := r.b.rest.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.b.mu.Lock()
		r.b.err = err
		r.b.mu.Unlock()
	}
	return n, err
}
