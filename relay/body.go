package relay

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"sync"
)

// MaxBufferedBody is how many bytes of a request body are buffered so that it can be sent
// again. The rest of a longer body is streamed and can be sent only once.
const MaxBufferedBody = 256 << 10

// firstBufferBytes is the size of a buffer that grows as a body comes: clients may announce more than they send.
const firstBufferBytes = 4 << 10

// errRestTaken fails the reads of an attempt after Detach, or once another attempt may read the rest of the body.
var errRestTaken = errors.New("the rest of the body is not for this attempt")

// Body is a request body. It must be used by one goroutine at a time, but an attempt may read it meanwhile.
type Body struct {
	prefix []byte
	// length of the whole body; -1 if unknown.
	length int64

	// reading is held while rest is read.
	reading sync.Mutex
	rest    io.Reader

	mu sync.Mutex
	// current is the reader of the attempt that may read the rest, the latest one; nil for none.
	current *restReader
	// restRead means that some of the rest may have been read.
	restRead bool
	// err is the error of reading the rest from the client.
	err error
}

// NewBody buffers the beginning of a body of the given length, -1 if unknown.
func NewBody(r io.Reader, length int64) (*Body, error) {
	prefix, err := readPrefix(r, length)
	if err != nil {
		return nil, err
	}
	b := &Body{prefix: prefix, length: length}
	if len(prefix) < MaxBufferedBody {
		b.length = int64(len(prefix))
	} else {
		b.rest = r
	}
	return b, nil
}

// readPrefix reads the beginning of a body of the given length, -1 if unknown.
func readPrefix(r io.Reader, length int64) ([]byte, error) {
	most := int64(MaxBufferedBody)
	if length >= 0 {
		most = min(most, length+1) // one more, for the read that finds the end
	}
	prefix := make([]byte, 0, min(firstBufferBytes, most))
	for len(prefix) < MaxBufferedBody {
		if len(prefix) == cap(prefix) {
			prefix = slices.Grow(prefix, int(max(1, min(most-int64(len(prefix)), int64(len(prefix))))))
		}
		n, err := r.Read(prefix[len(prefix):min(cap(prefix), MaxBufferedBody)])
		prefix = prefix[:len(prefix)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	return prefix, nil
}

// Buffered returns the buffered beginning of the body, which is all of it unless it is long.
func (b *Body) Buffered() []byte { return b.prefix }

// Length returns the length of the body, -1 if unknown.
func (b *Body) Length() int64 { return b.length }

// Replayable reports whether the body can be sent now: a fully buffered body always, any other
// one until some of its rest has been read.
func (b *Body) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.FullyBuffered() || !b.restRead
}

// FullyBuffered reports whether the whole body is in memory, so that it can be sent any number
// of times.
func (b *Body) FullyBuffered() bool { return b.rest == nil }

// Rewind ends the reading of an attempt that is over, and reports whether the body can be sent again.
func (b *Body) Rewind() bool {
	b.mu.Lock()
	b.current = nil
	b.mu.Unlock()
	return b.Replayable()
}

// Reader returns a reader of the whole body for one attempt. An earlier attempt can no longer read beyond what is
// buffered.
func (b *Body) Reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.prefix)
	}
	rest := &restReader{body: b}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = nil
	if !b.restRead {
		b.current = rest
	}
	return io.MultiReader(bytes.NewReader(b.prefix), rest)
}

// Err returns the error of reading the body from the client, if any.
func (b *Body) Err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// Detach keeps attempts from reading what is left of the body.
func (b *Body) Detach() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current, b.restRead = nil, true
}

// restReader reads the part that is not buffered, for one attempt.
type restReader struct{ body *Body }

// Read reads from the rest and keeps the error.
func (r *restReader) Read(p []byte) (int, error) {
	b := r.body
	b.reading.Lock()
	defer b.reading.Unlock()
	if !b.beginRest(r) {
		return 0, errRestTaken
	}
	n, err := b.rest.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.mu.Lock()
		b.err = err
		b.mu.Unlock()
	}
	return n, err
}

// beginRest reports whether a reader may read the rest, and records that it does.
func (b *Body) beginRest(r *restReader) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != r {
		return false
	}
	b.restRead = true
	return true
}
