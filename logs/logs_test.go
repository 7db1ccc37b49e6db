package logs_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/logs"
)

// blockedWriter is an output whose first Write blocks until unblock is closed.
type blockedWriter struct {
	blocked chan struct{}
	unblock chan struct{}
	once    sync.Once
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	w.once.Do(func() {
		close(w.blocked)
		<-w.unblock
	})
	return w.Buffer.Write(p)
}

// TestWriteNeverBlocks checks that while the output is blocked, lines beyond the queue's
// capacity are dropped, and that their number is written later.
func TestWriteNeverBlocks(t *testing.T) {
	out := &blockedWriter{blocked: make(chan struct{}), unblock: make(chan struct{})}
	w := logs.New(out, logs.WithCapacity(3))
	fmt.Fprintln(w, "first")
	<-out.blocked
	for i := range 10 {
		fmt.Fprintln(w, "line", i)
	}
	must.Eq(t, 7, w.Dropped())
	close(out.unblock)
	must.NoError(t, w.Close())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	must.Eq(t, []string{"first", `{"level":"WARN","msg":"log lines dropped","lines":7}`, "line 0", "line 1", "line 2"}, lines)
	must.NoError(t, w.Close())
}
