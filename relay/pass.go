package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/route"
)

const (
	// headroom of a plain answer is held back, so that an answer that breaks
	// off within it can be asked for again elsewhere.
	headroom = 64 << 10
	// chunk is the size of one read.
	chunk = 16 << 10
)

// pass hands a server's answer to the client as it comes.
func (x *exchange) pass(ctx context.Context, use *route.Use, answer Answer) *failure {
	if x.route.Kind == catalog.KindStream && answer.Status() == http.StatusOK {
		return x.passStream(ctx, use, answer)
	}
	return x.passPlain(ctx, use, answer)
}

func (x *exchange) passPlain(ctx context.Context, use *route.Use, answer Answer) *failure {
	held, err := io.ReadAll(io.LimitReader(answer.Body(), headroom))
	if err != nil {
		return x.broken(ctx, use, err)
	}
	x.begin(answer)
	if x.reply.Write(held) != nil {
		return x.clientLeft(use)
	}
	buffer := make([]byte, chunk)
	for len(held) == headroom {
		n, err := answer.Body().Read(buffer)
		if x.reply.Write(buffer[:n]) != nil {
			return x.clientLeft(use)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return x.broken(ctx, use, err)
		}
	}
	x.answered(use, answer)
	return nil
}

// passStream hands on whole events only, so that a stream which breaks off in
// the middle of one can be taken up after the one before.
func (x *exchange) passStream(ctx context.Context, use *route.Use, answer Answer) *failure {
	events := newEvents(answer.Body())
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return x.broken(ctx, use, err)
		}
		x.begin(answer)
		if x.reply.Write(event.raw) != nil {
			return x.clientLeft(use)
		}
		if event.id != "" {
			x.after = event.id
		}
	}
	x.begin(answer)
	x.answered(use, answer)
	return nil
}

// begin sends the head of the first answer; later ones go on inside it.
func (x *exchange) begin(answer Answer) {
	if !x.begun {
		x.begun = true
		x.markFirst()
		x.reply.Begin(answer)
	}
}

func (x *exchange) answered(use *route.Use, answer Answer) {
	use.End(route.OutcomeOK)
	x.relay.Counters.Answered(x.route.Name, answer.Status(), x.first, x.elapsed())
}

// clientLeft ends an attempt whose client does not read on.
func (x *exchange) clientLeft(use *route.Use) *failure {
	use.End(route.OutcomeNeutral)
	x.record.Note("client left", "after event %q", x.after)
	return nil
}

// broken judges an answer that broke off.
func (x *exchange) broken(ctx context.Context, use *route.Use, err error) *failure {
	if ctx.Err() != nil {
		use.End(route.OutcomeNeutral)
	} else {
		use.End(route.OutcomeFailed)
	}
	return &failure{reason: ReasonServerFailed, ran: true, cause: "answer broke off: " + err.Error()}
}

// event is one event of a stream, with the empty line that ends it.
type event struct {
	raw []byte
	id  string
}

// maxEvent bounds one event. Those of the deployments have some hundred bytes.
const maxEvent = 1 << 20

// events splits a stream (WHATWG HTML, "Server-sent events") into events.
type events struct {
	body   io.Reader
	buffer []byte
	chunk  []byte
}

func newEvents(body io.Reader) *events {
	return &events{body: body, chunk: make([]byte, chunk)}
}

// errCutEvent says that a stream ended within an event.
var errCutEvent = errors.New("stream ended within an event")

// next returns the next whole event, io.EOF after the last.
func (e *events) next() (event, error) {
	for {
		if end := eventEnd(e.buffer); end > 0 {
			raw := bytes.Clone(e.buffer[:end])
			e.buffer = e.buffer[end:]
			return event{raw: raw, id: eventID(raw)}, nil
		}
		if len(e.buffer) > maxEvent {
			return event{}, errors.New("event is too large")
		}
		n, err := e.body.Read(e.chunk)
		e.buffer = append(e.buffer, e.chunk[:n]...)
		switch {
		case n > 0:
		case errors.Is(err, io.EOF) && len(e.buffer) > 0:
			return event{}, errCutEvent
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
