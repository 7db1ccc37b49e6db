package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/suspect"
)

const (
	// plainBufferSize is how many bytes of a plain response are buffered before the client gets
	// any, so that a response that breaks off before that can be retried elsewhere.
	plainBufferSize = 64 << 10
	// readSize is the size of one read in bytes.
	readSize = 16 << 10
	// progressInterval is the time between two reports of a stream's progress.
	progressInterval = 200 * time.Millisecond
)

// forward copies a response to the client as it arrives.
func (x *exchange) forward(ctx context.Context, assignment *route.Assignment, sent time.Time, resp Response, wd *watchdog, awaited *rollout.Awaited) *failure {
	if x.route.Kind == catalog.KindStream && resp.Status() == http.StatusOK {
		return x.forwardStream(ctx, assignment, sent, resp, wd, awaited)
	}
	return x.forwardPlain(ctx, assignment, resp, wd)
}

// forwardPlain forwards a response that is not a stream. If it breaks off within the first
// plainBufferSize bytes, the client has received nothing yet.
func (x *exchange) forwardPlain(ctx context.Context, assignment *route.Assignment, resp Response, wd *watchdog) *failure {
	buffered, err := io.ReadAll(io.LimitReader(resp.Body(), plainBufferSize))
	if err != nil {
		return x.interrupted(ctx, assignment, err)
	}
	wd.stop() // a response that the client has part of can't be rerouted
	if len(buffered) < plainBufferSize {
		x.setLength(resp, len(buffered))
	}
	x.startResponse(resp)
	if x.writer.Write(buffered) != nil {
		return x.clientDisconnected(assignment)
	}
	chunk := make([]byte, readSize)
	for len(buffered) == plainBufferSize {
		n, err := resp.Body().Read(chunk)
		if x.writer.Write(chunk[:n]) != nil {
			return x.clientDisconnected(assignment)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			f := x.interrupted(ctx, assignment, err)
			f.partial = true
			return f
		}
	}
	x.complete(assignment, resp)
	return nil
}

// setLength gives a whole response without a length one, so that its end reaches the client before the request's body
// has been read.
func (x *exchange) setLength(resp Response, length int) {
	if !x.request.Body.FullyBuffered() && length > 0 && resp.Header().Get("Content-Length") == "" {
		resp.Header().Set("Content-Length", strconv.Itoa(length))
	}
}

// forwardStream forwards whole events only, so that a stream that breaks off within an event
// can be resumed after the previous one.
func (x *exchange) forwardStream(ctx context.Context, assignment *route.Assignment, sent time.Time, resp Response, wd *watchdog, awaited *rollout.Awaited) *failure {
	events := newEvents(resp.Body())
	lastReport := sent
	begun, survived := !x.fromFirstEvent, false
	for {
		wd.reset(time.Duration(maxPauseFactor * float64(x.route.MaxPause)))
		event, err := events.next()
		wd.stop() // a slow client says nothing about the server
		if errors.Is(err, io.EOF) && (begun || resp.Framed()) {
			break // a connection that closes before the first event ends no whole stream
		}
		if err != nil {
			return x.interrupted(ctx, assignment, err)
		}
		begun = true
		x.connection.hear()
		awaited.Event()
		assignment.RecordProgress()
		if time.Since(lastReport) > progressInterval {
			lastReport = time.Now()
			x.reportProgress(assignment, sent)
		}
		if !survived && time.Since(x.headerReceived) > suspect.SurvivalTime {
			survived = true
			x.relay.Suspects.ReportSurvival(x.features())
		}
		x.startResponse(resp)
		if x.writer.Write(event.raw) != nil {
			return x.clientDisconnected(assignment)
		}
		if event.id != "" {
			x.lastEventID = event.id
		}
	}
	x.startResponse(resp)
	x.complete(assignment, resp)
	return nil
}

// startResponse sends the header, unless an earlier attempt of the same request has sent it.
func (x *exchange) startResponse(resp Response) {
	if !x.responseStarted {
		x.responseStarted = true
		x.firstByte = max(1, x.elapsed())
		x.record.SetStatus(resp.Status())
		x.writer.WriteHeader(resp)
	}
}

// complete ends an attempt whose whole response has been forwarded.
func (x *exchange) complete(assignment *route.Assignment, resp Response) {
	assignment.End(route.OutcomeOK)
	x.reportEnd(assignment, resp)
	if resp.Status() == http.StatusOK {
		x.learnDuration(x.relay.durations.learn)
	}
	x.relay.Counters.Completed(x.route.Name, resp.Status(), x.firstByte, x.elapsed())
}

// clientDisconnected ends an attempt whose client has stopped reading.
func (x *exchange) clientDisconnected(assignment *route.Assignment) *failure {
	assignment.End(route.OutcomeNeutral)
	x.reportAbandoned(assignment)
	x.learnDuration(x.relay.durations.learnTruncated)
	x.record.AddStep("client left", "after event %q", x.lastEventID)
	x.writer.Abort()
	return nil
}

// interrupted returns the failure for a response that broke off.
func (x *exchange) interrupted(ctx context.Context, assignment *route.Assignment, err error) *failure {
	x.learnDuration(x.relay.durations.learnTruncated)
	switch {
	case stalled(ctx):
		assignment.EndStalled()
		x.reportAbandoned(assignment)
		return stalledFailure()
	case ctx.Err() != nil:
		assignment.End(route.OutcomeNeutral)
		x.reportAbandoned(assignment)
	default:
		assignment.End(route.OutcomeFailed)
		x.reportLost(ctx, assignment)
	}
	return &failure{reason: ReasonServerFailed, ran: true, serverLost: ctx.Err() == nil, cause: "answer broke off: " + err.Error()}
}
