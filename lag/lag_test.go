package lag_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/lag"
)

// sampleLog is the log of three nodes as a log collector outputs it: each line has the
// node's name before the JSON object.
const sampleLog = `n1 {"time":"2026-01-01T00:00:00.100Z","msg":"starting","vm":"n1"}
n1 {"time":"2026-01-01T00:00:05.000Z","msg":"server","vm":"n1","server":"a","leaving":true,"revision":7}
n2 {"time":"2026-01-01T00:00:05.020Z","msg":"server","vm":"n2","server":"a","leaving":true,"revision":7}
n3 {"time":"2026-01-01T00:00:06.500Z","msg":"server","vm":"n3","server":"a","leaving":true,"revision":7}
n3 {"time":"2026-01-01T00:00:06.600Z","msg":"server","vm":"n3","server":"b","leaving":false,"revision":8}
n1 {"time":"2026-01-01T00:00:07.000Z","msg":"server is gone","vm":"n1","server":"a","revision":9}
n2 {"time":"2026-01-01T00:00:08.000Z","msg":"starting","vm":"n2"}
n2 {"time":"2026-01-01T00:00:09.000Z","msg":"server is gone","vm":"n2","server":"a","revision":9}
n2 {"time":"2026-01-01T00:00:09.100Z","msg":"declaration in force","vm":"n2","version":3,"revision":11}
n2 {"time":7,"msg":"decision"}
n2 {"time":7,"msg":"server"}
n2 {
`

func Example() {
	t := lag.New()
	if err := t.Read("day", strings.NewReader(sampleLog)); err != nil {
		fmt.Println(err)
	}
	if err := t.Print(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// 5 times learned; 2 broken lines passed over
	//
	// news         learned  p50 ms  p90 ms  p99 ms  most ms
	// leaving      3        20      20      20      1500
	// gone         1        0       0       0       0
	// declaration  1        0       0       0       0
	//
	// latest nodes  learned  p50 ms  p90 ms  p99 ms  most ms
	// n3            1        1500    1500    1500    1500
	// n2            2        0       0       0       20
	// n1            2        0       0       0       0
}

func TestUnreadable(t *testing.T) {
	err := lag.New().Read("cut", iotest.ErrReader(os.ErrClosed))
	must.True(t, errorx.IsOfType(err, lag.Unreadable))
	must.ErrorContains(t, err, "cut")
}

// FuzzRead checks that a log with any content is read to its end, and that no lag is
// negative.
func FuzzRead(f *testing.F) {
	f.Add(sampleLog)
	f.Fuzz(func(t *testing.T, log string) {
		table := lag.New()
		must.NoError(t, table.Read("log", strings.NewReader(log)))
		for _, s := range table.Samples() {
			must.True(t, s.Lag() >= 0)
		}
	})
}
