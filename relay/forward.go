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
	// plainBufferSize in bytes of a plain answer is held back, so that an answer that
	// breaks off within it can be asked for again elsewhere.
	plainBufferSize = 64 << 10
	// readSize is the size of one read in bytes.
	readSize = 16 << 10
	// progressInterval lies between two notes that a server goes on with a stream.
	progressInterval = 200 * time.Millisecond
)

// forward hands a server's answer to the client as it comes.
func (x *exchange) forward(ctx context.Context, use *route.Use, sent time.Time, answer Response, watch *watchdog) *failure {
	if x.route.Kind == catalog.KindStream && answer.Status() == http.StatusOK {
		return x.forwardStream(ctx, use, sent, answer, watch)
	}
	return x.forwardPlain(ctx, use, answer, watch)
}

// forwardPlain hands on an answer as bytes. One that breaks off within the
// headroom gave the client nothing yet.
func (x *exchange) forwardPlain(ctx context.Context, use *route.Use, answer Response, watch *watchdog) *failure {
	held, err := io.ReadAll(io.LimitReader(answer.Body(), plainBufferSize))
	if err != nil {
		return x.interrupted(ctx, use, err)
	}
	watch.stop() // what the client has a part of cannot be moved
	x.startResponse(answer)
	if x.writer.Write(held) != nil {
		return x.clientGone(use)
	}
	buffer := make([]byte, readSize)
	for len(held) == plainBufferSize {
		n, err := answer.Body().Read(buffer)
		if x.writer.Write(buffer[:n]) != nil {
			return x.clientGone(use)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			f := x.interrupted(ctx, use, err)
			f.partial = true
			return f
		}
	}
	x.complete(use, answer)
	return nil
}

// forwardStream hands on whole events only, so that a stream which breaks off in
// the middle of one can be taken up after the one before.
func (x *exchange) forwardStream(ctx context.Context, use *route.Use, sent time.Time, answer Response, watch *watchdog) *failure {
	events := newEvents(answer.Body())
	told := sent
	for {
		watch.reset(time.Duration(maxPauseFactor * float64(x.route.MaxPause)))
		event, err := events.next()
		watch.stop() // a client that reads slowly says nothing of the server
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return x.interrupted(ctx, use, err)
		}
		use.Progress()
		if time.Since(told) > progressInterval {
			told = time.Now()
			x.reportProgress(use, sent, answer)
		}
		x.startResponse(answer)
		if x.writer.Write(event.raw) != nil {
			return x.clientGone(use)
		}
		if event.id != "" {
			x.lastEventID = event.id
		}
	}
	x.startResponse(answer)
	x.complete(use, answer)
	return nil
}

// startResponse sends the head of the first answer; later ones go on inside it.
func (x *exchange) startResponse(answer Response) {
	if !x.responseStarted {
		x.responseStarted = true
		x.firstByte = max(1, x.elapsed())
		x.writer.WriteHeader(answer)
	}
}

// complete ends an attempt whose answer the client has whole.
func (x *exchange) complete(use *route.Use, answer Response) {
	use.End(route.OutcomeOK)
	x.reportAnswered()
	if answer.Status() == http.StatusOK {
		x.learnDuration(x.relay.durations.learn)
	}
	x.relay.Counters.Completed(x.route.Name, answer.Status(), x.firstByte, x.elapsed())
}

// clientGone ends an attempt whose client does not read on.
func (x *exchange) clientGone(use *route.Use) *failure {
	use.End(route.OutcomeNeutral)
	x.reportAbandoned(use)
	x.learnDuration(x.relay.durations.learnTruncated)
	x.record.Note("client left", "after event %q", x.lastEventID)
	return nil
}

// interrupted judges an answer that broke off.
func (x *exchange) interrupted(ctx context.Context, use *route.Use, err error) *failure {
	x.learnDuration(x.relay.durations.learnTruncated)
	switch {
	case stalled(ctx):
		use.Stall()
		x.reportAbandoned(use)
		return stalledFailure()
	case ctx.Err() != nil:
		use.End(route.OutcomeNeutral)
		x.reportAbandoned(use)
	default:
		use.End(route.OutcomeFailed)
		x.reportLost(ctx, use)
	}
	return &failure{reason: ReasonServerFailed, ran: true, serverLost: ctx.Err() == nil, cause: "answer broke off: " + err.Error()}
}
