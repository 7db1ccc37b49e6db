// Package logs provides a log writer that never blocks its callers.
//
// Lines go through a bounded queue to one goroutine that writes them out. If the
// output is too slow and the queue is full, new lines are dropped. The next line
// that is written is preceded by one with the number of dropped lines.
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

// defaultCapacity is the number of lines in the queue. It holds the log of some
// seconds of requests, and takes a few MB at most.
const defaultCapacity = 2048

// Option configures a Writer.
type Option func(*Writer)

// WithCapacity sets the capacity of the queue in lines.
func WithCapacity(n int) Option { return func(w *Writer) { w.capacity = n } }

// Writer is an io.Writer whose Write does not block. Each call writes one line.
// It is safe for concurrent use.
type Writer struct {
	out      io.Writer
	capacity int
	lines    chan []byte
	// dropped counts the dropped lines that have not been reported yet.
	dropped   atomic.Int64
	closeOnce sync.Once
	// closing is closed to stop run, done when run has returned.
	closing chan struct{}
	done    chan struct{}
}

// New returns a writer to out and starts it. Close must be called to flush the queue.
func New(out io.Writer, options ...Option) *Writer {
	w := &Writer{out: out, capacity: defaultCapacity, done: make(chan struct{}), closing: make(chan struct{})}
	for _, option := range options {
		option(w)
	}
	w.lines = make(chan []byte, w.capacity)
	go w.run()
	return w
}

// Write queues a line, or drops it if the queue is full. It never returns an error.
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

// Close writes out the queued lines and stops the writer. It never returns an error.
func (w *Writer) Close() error {
	w.closeOnce.Do(func() { close(w.closing) })
	<-w.done
	return nil
}

// run writes out lines until Close is called.
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

// flush writes out the queued lines.
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

// write writes out one line, after a line with the number of dropped ones if there
// are any. Errors of the output are ignored, since there is nowhere to report them.
func (w *Writer) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, `{"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", n)
	}
	_, _ = w.out.Write(line)
}
