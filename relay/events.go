package relay

import (
	"bytes"
	"errors"
	"io"
	"strings"
)

// event is one event of a stream.
type event struct {
	// raw is the event as it came, with the empty line that ends it.
	raw []byte
	// id is what the client may resume after; "" if the event sets none.
	id string
}

// maxEventSize bounds one event in bytes. Those of the deployments have some
// hundred.
const maxEventSize = 1 << 20

// events splits a stream (WHATWG HTML, "Server-sent events") into events.
type events struct {
	body io.Reader
	// unparsed holds what was read and is not yet a whole event.
	unparsed   []byte
	readBuffer []byte
}

// newEvents returns the events of a stream.
func newEvents(body io.Reader) *events {
	return &events{body: body, readBuffer: make([]byte, readSize)}
}

// errTruncatedEvent says that a stream ended within an event.
var errTruncatedEvent = errors.New("stream ended within an event")

// next returns the next whole event, io.EOF after the last.
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

// eventEnd returns the length of the first event with its empty line; zero if
// it is not whole.
func eventEnd(data []byte) int {
	end := 0
	for _, mark := range []string{"\n\n", "\r\n\r\n"} {
		if at := bytes.Index(data, []byte(mark)); at >= 0 && (end == 0 || at+len(mark) < end) {
			end = at + len(mark)
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
