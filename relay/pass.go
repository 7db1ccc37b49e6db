package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/route"
)

const (
	// headroom in bytes of a plain answer is held back, so that an answer that
	// breaks off within it can be asked for again elsewhere.
	headroom = 64 << 10
	// chunk is the size of one read in bytes.
	chunk = 16 << 10
	// toldInterval lies between two notes that a server goes on with a stream.
	toldInterval = 200 * time.Millisecond
)

// pass hands a server's answer to the client as it comes.
func (x *exchange) pass(ctx context.Context, use *route.Use, sent time.Time, answer Answer, watch *watch) *failure {
	if x.route.Kind == catalog.KindStream && answer.Status() == http.StatusOK {
		return x.passStream(ctx, use, sent, answer, watch)
	}
	return x.passPlain(ctx, use, answer, watch)
}

// passPlain hands on an answer as bytes. One that breaks off within the
// headroom gave the client nothing yet.
func (x *exchange) passPlain(ctx context.Context, use *route.Use, answer Answer, watch *watch) *failure {
	held, err := io.ReadAll(io.LimitReader(answer.Body(), headroom))
	if err != nil {
		return x.broken(ctx, use, err)
	}
	watch.stop() // what the client has a part of cannot be moved
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
			f := x.broken(ctx, use, err)
			f.partial = true
			return f
		}
	}
	x.answered(use, answer)
	return nil
}

// passStream hands on whole events only, so that a stream which breaks off in
// the middle of one can be taken up after the one before.
func (x *exchange) passStream(ctx context.Context, use *route.Use, sent time.Time, answer Answer, watch *watch) *failure {
	events := newEvents(answer.Body())
	told := sent
	for {
		watch.pause(time.Duration(pausePatience * float64(x.route.MaxPause)))
		event, err := events.next()
		watch.stop() // a client that reads slowly says nothing of the server
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return x.broken(ctx, use, err)
		}
		use.Progress()
		if time.Since(told) > toldInterval {
			told = time.Now()
			x.goesOn(use, sent, answer)
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
		x.first = max(1, x.elapsed())
		x.reply.Begin(answer)
	}
}

// answered ends an attempt whose answer the client has whole.
func (x *exchange) answered(use *route.Use, answer Answer) {
	use.End(route.OutcomeOK)
	x.cleared()
	if answer.Status() == http.StatusOK {
		x.learnLength(x.relay.lengths.learn)
	}
	x.relay.Counters.Answered(x.route.Name, answer.Status(), x.first, x.elapsed())
}

// clientLeft ends an attempt whose client does not read on.
func (x *exchange) clientLeft(use *route.Use) *failure {
	use.End(route.OutcomeNeutral)
	x.left(use)
	x.learnLength(x.relay.lengths.learnCut)
	x.record.AddStep("client left", "after event %q", x.after)
	return nil
}

// broken judges an answer that broke off.
func (x *exchange) broken(ctx context.Context, use *route.Use, err error) *failure {
	x.learnLength(x.relay.lengths.learnCut)
	switch {
	case stalled(ctx):
		use.Stall()
		x.left(use)
		return stall()
	case ctx.Err() != nil:
		use.End(route.OutcomeNeutral)
		x.left(use)
	default:
		use.End(route.OutcomeFailed)
		x.lost(ctx, use)
	}
	return &failure{reason: ReasonServerFailed, ran: true, lost: ctx.Err() == nil, cause: "answer broke off: " + err.Error()}
}
