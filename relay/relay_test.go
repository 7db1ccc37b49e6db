package relay_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/relay"
)

func TestEvents(t *testing.T) {
	tests := []struct {
		name, stream string
		ids          []string
		whole        bool
	}{
		{"empty", "", nil, true},
		{"two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, true},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", []string{"1", "2"}, true},
		{"without id", "data: a\n\n", []string{""}, true},
		{"without space", "id:7\n\n", []string{"7"}, true},
		{"id in data", "data: id: 9\n\n", []string{""}, true},
		{"version line first", "x-weight-versions: 2\nid: 3\n\n", []string{"3"}, true},
		{"truncated within an event", "id: 1\n\nid: 2\ndat", []string{"1"}, false},
		{"truncated before the empty line", "id: 1\n", nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, body := range []io.Reader{strings.NewReader(tt.stream), iotest.OneByteReader(strings.NewReader(tt.stream))} {
				raw, ids, err := relay.SplitEvents(body)
				must.Eq(t, tt.ids, ids)
				must.Eq(t, tt.whole, errors.Is(err, io.EOF))
				must.StrHasPrefix(t, strings.Join(raw, ""), tt.stream)
			}
		})
	}
}

// FuzzEvents checks that the joined events are the stream, however it is split into reads.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Add("\r\n\r\n\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		whole, ids, _ := relay.SplitEvents(strings.NewReader(stream))
		bytewise, idsAgain, _ := relay.SplitEvents(iotest.OneByteReader(strings.NewReader(stream)))
		must.StrHasPrefix(t, strings.Join(whole, ""), stream)
		must.Eq(t, whole, bytewise)
		must.Eq(t, ids, idsAgain)
	})
}

func TestBody(t *testing.T) {
	const long = 300 << 10
	tests := []struct {
		name       string
		size       int
		declared   int64
		length     int64
		replayable bool
	}{
		{"none", 0, 0, 0, true},
		{"short", 10, 10, 10, true},
		{"short, in chunks", 10, -1, 10, true},
		{"long", long, long, long, false},
		{"long, in chunks", long, -1, -1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, err := relay.NewBody(strings.NewReader(strings.Repeat("x", tt.size)), tt.declared)
			must.NoError(t, err)
			must.Eq(t, tt.length, b.Length())
			must.True(t, b.Replayable())
			data, err := io.ReadAll(b.Reader())
			must.NoError(t, err)
			must.Eq(t, tt.size, len(data))
			must.Eq(t, tt.replayable, b.Replayable())
			must.NoError(t, b.Err())
		})
	}
}

// TestBodyOfTwoAttempts checks that of two attempts with a long body only the later one reads beyond what is buffered, and
// that it gets all of the body or an error.
func TestBodyOfTwoAttempts(t *testing.T) {
	const size = 300 << 10
	for _, earlierReads := range []int{0, 1000, 256 << 10, 256<<10 + 1} {
		b, err := relay.NewBody(strings.NewReader(strings.Repeat("x", size)), -1)
		must.NoError(t, err)
		earlier := b.Reader()
		_, err = io.CopyN(io.Discard, earlier, int64(earlierReads))
		must.NoError(t, err)
		restUnread := earlierReads <= 256<<10
		must.Eq(t, restUnread, b.Rewind())
		_, err = io.Copy(io.Discard, earlier)
		must.Error(t, err)
		later := b.Reader()
		data, err := io.ReadAll(later)
		must.Eq(t, restUnread, err == nil)
		must.Eq(t, restUnread, len(data) == size)
		must.False(t, b.Replayable())
		must.NoError(t, b.Err())
	}
}

// TestBodyReadError checks that a failure of the client is distinguished from one of the
// server.
func TestBodyReadError(t *testing.T) {
	broken := errors.New("client gone")
	body := io.MultiReader(strings.NewReader(strings.Repeat("x", 300<<10)), iotest.ErrReader(broken))
	b, err := relay.NewBody(body, -1)
	must.NoError(t, err)
	_, err = io.ReadAll(b.Reader())
	must.ErrorIs(t, err, broken)
	must.ErrorIs(t, b.Err(), broken)
	_, err = relay.NewBody(iotest.ErrReader(broken), -1)
	must.ErrorIs(t, err, broken)
}
