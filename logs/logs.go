// Package logs writes log lines without ever holding up who writes them.
//
// Lines go through a bounded queue to one task that writes them out. When the
// output is slower than the lines come, the newest are dropped, and a line
// that says how many follows as soon as there is room.
//
// # Usage
//
//	w := logs.New(os.Stdout, logs.WithCapacity(4096))
//	defer w.Close()
//	slog.SetDefault(slog.New(slog.NewJSONHandler(w, nil)))
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// defaultCapacity is the number of lines in the queue: some seconds of a
// node's requests, a few MB at most.
const defaultCapacity = 2048

// Option changes a Writer as New makes it.
type Option func(*Writer)

// WithCapacity sets the number of lines in the queue.
func WithCapacity(n int) Option { return func(w *Writer) { w.capacity = n } }

// Writer is an io.Writer whose Write does not block. Each call is one line.
// It is safe for concurrent use.
type Writer struct {
	out      io.Writer
	capacity int
	lines    chan []byte
	// dropped counts lines that no line has told of yet.
	dropped   atomic.Int64
	closeOnce sync.Once
	// closing asks the task to end, done says that it has.
	closing chan struct{}
	done    chan struct{}
}

// New returns a running writer.
func New(out io.Writer, options ...Option) *Writer {
	w := &Writer{out: out, capacity: defaultCapacity, done: make(chan struct{}), closing: make(chan struct{})}
	for _, option := range options {
		option(w)
	}
	w.lines = make(chan []byte, w.capacity)
	go w.run()
	return w
}

// Write queues a line, or drops it if the queue is full. It never fails.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(p):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines have been dropped and not yet reported.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes out what is queued and ends the writer.
func (w *Writer) Close() error {
	w.closeOnce.Do(func() { close(w.closing) })
	<-w.done
	return nil
}

// run is the task that writes lines out until Close.
func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closing:
			w.flush()
			return
		}
	}
}

// flush writes out what is queued.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write writes one line out, after the number of those dropped before it. It
// has nowhere to report a failure of the output itself.
func (w *Writer) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, `{"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", n)
	}
	_, _ = w.out.Write(line)
}
