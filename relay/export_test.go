package relay

import "io"

// SplitEvents reads all events of a stream. It is exported for external tests.
func SplitEvents(body io.Reader) (raw, ids []string, err error) {
	events := newEvents(body)
	for {
		e, err := events.next()
		if err != nil {
			return raw, ids, err
		}
		raw, ids = append(raw, string(e.raw)), append(ids, e.id)
	}
}
