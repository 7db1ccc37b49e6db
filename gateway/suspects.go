package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/share"
	"github.com/violettally/violettally/suspect"
)

// relaySuspects gives the relay access to the detection of requests that crash servers.
// It combines this gateway's evidence with that of its peers and the verdicts in the
// store.
type relaySuspects struct{ g *Gateway }

// Empty reports whether there is no evidence against any request.
func (s relaySuspects) Empty() bool { return s.g.detector.Empty() }

// Refused returns those of a request's features for which it is refused.
func (s relaySuspects) Refused(f suspect.Features) suspect.Features { return s.g.detector.Refused(f) }

// maxVerdictWait bounds how long a request waits for checks of servers. A check of a server that takes no
// connection has ended by then.
const maxVerdictWait = 400 * time.Millisecond

// Await waits while servers are being checked whose crashes may lead to a verdict on the request.
func (s relaySuspects) Await(ctx context.Context, f suspect.Features) {
	ctx, cancel := context.WithTimeout(ctx, maxVerdictWait)
	defer cancel()
	for ctx.Err() == nil {
		checked := s.g.serverChecks.next()
		if !s.g.detector.AwaitsVerdict(f) {
			return
		}
		select {
		case <-checked:
		case <-ctx.Done():
		}
	}
}

// AllowProbe reports whether this gateway is to probe verdicts now: to send a request that is
// refused for all of the given features, to see whether it still crashes servers.
func (s relaySuspects) AllowProbe(ctx context.Context, refused suspect.Features) bool {
	for _, f := range refused {
		if !s.g.verdictSyncer.Probe(ctx, f) {
			return false
		}
	}
	return true
}

// LossCounts returns for each feature how many requests with it were lost.
func (s relaySuspects) LossCounts(f suspect.Features) []int { return s.g.detector.LossCounts(f) }

// ReportLost reports that the connection to a server ended without a response to a request. It
// counts as a loss unless the server turns out to be running.
func (s relaySuspects) ReportLost(f suspect.Features, server registry.Server) {
	s.g.checkServer(server, suspect.Ending{Features: f})
}

// ReportUnframed reports an answer that ended with its connection. It counts as one only if the
// server turns out to be running, and as a loss otherwise. While there is no evidence against any
// request, it matters only if the server is found to have crashed.
func (s relaySuspects) ReportUnframed(f suspect.Features, server registry.Server, begun time.Time) {
	if s.g.detector.Empty() {
		s.ReportAbandoned(f, server.Incarnation().Hash())
		return
	}
	s.g.checkServer(server, suspect.Ending{Features: f, Answered: true, Begun: time.Since(begun)})
}

// checkServer finds out whether a server still runs at which an attempt has ended.
func (g *Gateway) checkServer(server registry.Server, e suspect.Ending) {
	hash := server.Incarnation().Hash()
	if !g.detector.AddUnconfirmed(hash, e) {
		return // the running check goes on with it
	}
	go func() {
		for count := g.detector.CountUnconfirmed(hash); count > 0; {
			running, answer, err := g.backends.Responds(context.Background(), server.Address)
			g.notices.Observe(server, answer)
			var endings []suspect.Ending
			endings, count = g.detector.TakeUnconfirmed(hash, count)
			for _, e := range endings {
				g.resolveEnding(hash, e, running, err == nil)
			}
			g.serverChecks.done()
		}
	}()
}

// resolveEnding records the end of an attempt at a server that was found to run or to have crashed.
// Nothing is recorded if this gateway has lost its way to the servers and cannot know.
func (g *Gateway) resolveEnding(server uint64, e suspect.Ending, running, known bool) {
	switch {
	case running && e.Ended >= suspect.MinRestartTime, !known:
	case running && e.Answered:
		g.recordAnswer(e.Features, e.Begun)
	case running:
		g.metrics.SuspectEvent(suspect.EventSurvived)
	default:
		g.recordLoss(suspect.Loss{Features: e.Features, Server: server, Ago: e.Ended, Own: true})
	}
}

// recordLoss records a loss of this gateway, and publishes it to the others, since clients may send
// the next such request to one of them.
func (g *Gateway) recordLoss(l suspect.Loss) {
	change, isNew := g.detector.RecordLoss(l)
	if !isNew {
		return
	}
	g.metrics.SuspectEvent(suspect.EventLost)
	l.Answered = g.detector.AnsweredLately(l.Features)
	if !g.exchange.PublishLoss(l, g.detector.Repeated(l.Features)) {
		g.metrics.SuspectEvent(suspect.EventNotPublished)
	}
	g.applyChange(change)
	g.recordAbandonedLosses(l.Server, l.Ago)
}

// recordAbandonedLosses records as lost the requests whose attempts at a server this gateway
// had abandoned just before the server crashed, the given time ago.
func (g *Gateway) recordAbandonedLosses(server uint64, ago time.Duration) {
	for _, f := range g.detector.TakeAbandoned(server, ago) {
		g.recordLoss(suspect.Loss{Features: f, Server: server, Ago: ago, Own: true})
	}
}

// ReportAbandoned records an attempt that this gateway has abandoned at a server.
func (s relaySuspects) ReportAbandoned(f suspect.Features, server uint64) {
	if s.g.detector.RecordAbandoned(f, server) {
		s.g.recordLoss(suspect.Loss{Features: f, Server: server, Own: true})
	}
}

// ReportAnswered clears a request that a server has answered.
func (s relaySuspects) ReportAnswered(f suspect.Features, begun time.Time) {
	s.g.recordAnswer(f, time.Since(begun))
}

// ReportSurvival records that a server has been answering a request for a while.
func (s relaySuspects) ReportSurvival(f suspect.Features) { s.g.detector.RecordSurvival(f) }

// recordAnswer records an answer that this gateway got, and publishes it to the others if there was
// evidence against the request.
func (g *Gateway) recordAnswer(f suspect.Features, begunAgo time.Duration) {
	answer := g.detector.RecordAnswer(f, begunAgo)
	if len(answer.Cleared) > 0 {
		g.exchange.PublishAnswer(answer.Cleared, answer.Ago, answer.Repeated)
	}
	g.applyChange(answer.Change)
}

// ReportProgress records that a server has just sent data in response to a request sent at the
// given time, on a connection opened at the given time. Earlier losses at that server are
// dropped if this shows that it kept running.
func (s relaySuspects) ReportProgress(server uint64, sent, opened time.Time) {
	s.g.applyChange(s.g.detector.ServerResponded(server, time.Since(sent), time.Since(opened)))
}

// handleRecord handles a record that another gateway has published.
func (g *Gateway) handleRecord(r share.Record) {
	switch {
	case len(r.Lost) > 0:
		g.handlePeerLoss(r)
	case len(r.Answered) > 0:
		g.applyChange(g.detector.RecordPeerAnswer(r.Answered, r.Age()))
	case r.Notice != notice.KindNone:
		g.notices.ObserveReport(r.Report())
	default:
		g.balancer.ObserveSend(r)
	}
}

// handlePeerLoss handles a loss that another gateway has published.
func (g *Gateway) handlePeerLoss(r share.Record) {
	change, isNew := g.detector.RecordLoss(suspect.Loss{Features: r.Lost, Server: r.Server, Ago: r.Age(), Answered: r.Answered})
	if !isNew {
		return
	}
	g.metrics.SuspectEvent(suspect.EventReceived)
	g.applyChange(change)
	g.recordAbandonedLosses(r.Server, r.Age())
}

// applyChange acts on what new evidence has changed: it cancels the attempts that have no response
// yet of requests that are refused from now on, and schedules the writes of verdicts to the store.
func (g *Gateway) applyChange(change suspect.Change) {
	for _, f := range change.Refused {
		g.beginVerdict(f)
	}
	for _, f := range change.Withdrawn {
		g.metrics.SuspectEvent(suspect.EventWithdrawn)
		slog.Warn("requests are no longer refused", "feature", f.String())
		g.verdictSyncer.ScheduleWrite(f, true)
	}
	for _, f := range change.Contested {
		g.metrics.SuspectEvent(suspect.EventContested)
		slog.Warn("a stored verdict is wrong: such a request was answered here since", "feature", f.String())
		g.verdictSyncer.ScheduleWrite(f, true)
	}
}

// beginVerdict acts on a new verdict.
func (g *Gateway) beginVerdict(f suspect.Feature) {
	event, kind := suspect.EventPartVerdict, "prompt part"
	if g.detector.IsContent(f) {
		event, kind = suspect.EventVerdict, "content"
	}
	own := g.detector.HasOwnLoss(f)
	g.metrics.SuspectEvent(event)
	slog.Warn("refusing requests that crash servers", "feature", f.String(), "kind", kind,
		"lost", g.detector.LossCounts(suspect.Features{f})[0], "own", own)
	g.relay.CancelPending(f)
	g.verdictSyncer.ScheduleWrite(f, own)
}

// serverChecks tells when a check of a server has ended. Its zero value is ready to use.
type serverChecks struct {
	mu    sync.Mutex
	ended chan struct{}
}

// next returns a channel that is closed when the next check ends.
func (c *serverChecks) next() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended == nil {
		c.ended = make(chan struct{})
	}
	return c.ended
}

// done tells that a check has ended.
func (c *serverChecks) done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended != nil {
		close(c.ended)
		c.ended = nil
	}
}

// reviewInterval is how often the losses are checked against the servers that are still
// running.
const reviewInterval = 500 * time.Millisecond

// maxReviewStaleness is the maximum age of the server entries for such a check: during an
// outage of the store, the entries of crashed servers remain.
const maxReviewStaleness = 2 * time.Second

// reviewSuspects periodically drops the losses at servers that are still running, until
// the context ends.
func (g *Gateway) reviewSuspects(ctx context.Context) {
	g.timers.Every(ctx, reviewInterval, func() {
		if g.mirror.Age() > maxReviewStaleness {
			g.detector.MarkRegistryStale()
			return
		}
		if g.detector.Empty() {
			return
		}
		running := make(map[uint64]bool)
		for incarnation := range g.registry.Incarnations() {
			running[incarnation.Hash()] = true
		}
		g.applyChange(g.detector.Review(running))
	})
}
