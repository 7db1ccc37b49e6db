package relay

import (
	"bytes"
	"errors"
	"io"
	"strings"
)

// event is one event of a stream.
type event struct {
	// raw holds the bytes of the event, including the empty line that ends it.
	raw []byte
	// id is the event ID from which the client can resume; "" if the event sets none.
	id string
}

// maxEventSize bounds one event in bytes; typical events have a few hundred.
const maxEventSize = 1 << 20

// events splits a stream (WHATWG HTML, "Server-sent events") into events.
type events struct {
	body io.Reader
	// unparsed holds bytes that do not form a whole event yet.
	unparsed   []byte
	readBuffer []byte
}

// newEvents returns the events of a stream.
func newEvents(body io.Reader) *events {
	return &events{body: body, readBuffer: make([]byte, readSize)}
}

// errTruncatedEvent means that the stream ended within an event.
var errTruncatedEvent = errors.New("stream ended within an event")

// next returns the next whole event, or io.EOF after the last one.
func (e *events) next() (event, error) {
	for {
		if end := eventEnd(e.unparsed); end > 0 {
			raw := bytes.Clone(e.unparsed[:end])
			e.unparsed = e.unparsed[end:]
			return event{raw: raw, id: eventID(raw)}, nil
		}
		if len(e.unparsed) > maxEventSize {
			return event{}, errors.New("event is too large")
		}
		n, err := e.body.Read(e.readBuffer)
		e.unparsed = append(e.unparsed, e.readBuffer[:n]...)
		switch {
		case n > 0:
		case errors.Is(err, io.EOF) && len(e.unparsed) > 0:
			return event{}, errTruncatedEvent
		case err != nil:
			return event{}, err
		}
	}
}

// eventEnd returns the length of the first event including its empty line; zero if it is
// incomplete.
func eventEnd(data []byte) int {
	end := 0
	for _, terminator := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(data, []byte(terminator)); i >= 0 && (end == 0 || i+len(terminator) < end) {
			end = i + len(terminator)
		}
	}
	return end
}

// eventID returns the ID that an event sets, "" for none.
func eventID(raw []byte) string {
	for line := range strings.Lines(string(raw)) {
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			return strings.TrimSpace(id)
		}
	}
	return ""
}
