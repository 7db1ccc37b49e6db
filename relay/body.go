package relay

import (
	"bytes"
	"errors"
	"io"
)

// maxBufferedBody is how much of a request's body is read before it is passed on, so
// that it can be sent again. Longer bodies pass as they come, once.
const maxBufferedBody = 256 << 10

// Body is a request's body. It is used by one task at a time.
type Body struct {
	prefix []byte
	rest   io.Reader
	// length of the whole; -1 if it came without.
	length int64
	sent   bool
	// err is how reading from the client failed.
	err error
}

// NewBody reads the beginning of a body of the given length, -1 if unknown.
func NewBody(r io.Reader, length int64) (*Body, error) {
	head, err := io.ReadAll(io.LimitReader(r, maxBufferedBody))
	if err != nil {
		return nil, err
	}
	b := &Body{prefix: head, length: length}
	if len(head) < maxBufferedBody {
		b.length = int64(len(head))
	} else {
		b.rest = r
	}
	return b, nil
}

// Buffered returns the beginning of the body, all of it unless it is long.
func (b *Body) Buffered() []byte { return b.prefix }

// Length returns the body's length, -1 if it is not known.
func (b *Body) Length() int64 { return b.length }

// Replayable reports whether the body can be sent now: always if it was read
// whole, otherwise once.
func (b *Body) Replayable() bool { return b.FullyBuffered() || !b.sent }

// FullyBuffered reports whether the whole body is held, so that it can be sent again at
// any time.
func (b *Body) FullyBuffered() bool { return b.rest == nil }

// Reader returns the whole body for one attempt.
func (b *Body) Reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.prefix)
	}
	b.sent = true
	return io.MultiReader(bytes.NewReader(b.prefix), restReader{b})
}

// Err returns how reading the body from the client failed, nil if it did not.
// It must be called after the attempt that read it.
func (b *Body) Err() error { return b.err }

// restReader reads what was not kept, and remembers a failure.
type restReader struct{ b *Body }

func (r restReader) Read(p []byte) (int, error) {
	n, err := r.b.rest.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.b.err = err
	}
	return n, err
}
