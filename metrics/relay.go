package metrics

import (
	"context"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/violettally/violettally/handoff"
	"github.com/violettally/violettally/rejection"
	"github.com/violettally/violettally/relay"
)

// RelayCounters implements relay.Counters.
type RelayCounters struct{ m *Metrics }

// Relay returns the counters for package relay.
func (m *Metrics) Relay() RelayCounters { return RelayCounters{m} }

// Refused counts a refused request.
func (r RelayCounters) Refused(reason relay.Reason, account string) {
	add(r.m.refusals, 1, attribute.String("reason", reason.String()), attribute.String("account", account))
}

// Retried counts a request that is sent again, by the reason.
func (r RelayCounters) Retried(reason relay.Reason) { r.m.Retried(reason.String()) }

// Escalated counts a response that was discarded in favor of the given, costlier model.
func (r RelayCounters) Escalated(model string) {
	add(r.m.escalations, 1, attribute.String("model", model))
}

// Resumed counts a stream that continues at another server.
func (r RelayCounters) Resumed() { add(r.m.resumes, 1) }

// GaveUp counts an attempt that was given up while its server might still run the request, by whether its
// connection had been silent.
func (r RelayCounters) GaveUp(silent bool) {
	add(r.m.givenUp, 1, attribute.Bool("silent", silent))
}

// RunStopped counts a run of a request given up that was to be ended at its server.
func (m *Metrics) RunStopped(o handoff.Outcome) {
	add(m.runStops, 1, attribute.String("outcome", o.String()))
}

// Sent records, for a request sent to a server, the age of the data from the platform's
// store by which the server was chosen.
func (r RelayCounters) Sent(age time.Duration) {
	r.m.storeViewAge.Record(context.Background(), age.Seconds())
}

// SentLimited counts a request sent to a server that names a request limit.
func (r RelayCounters) SentLimited() { add(r.m.limitedSends, 1) }

// ServerRejected counts a request that a server with a rejection limit rejected, by the basis on which it
// was sent.
func (r RelayCounters) ServerRejected(b rejection.Basis) {
	add(r.m.serverRejections, 1, attribute.String("basis", b.String()))
}

// Completed counts a response, and records the times to its first part and to its end.
// The times are not split by status, which would multiply the histograms.
func (r RelayCounters) Completed(route string, status int, first, total time.Duration) {
	name := attribute.String("route", route)
	add(r.m.responses, 1, name, attribute.String("status", strconv.Itoa(status)))
	r.m.recordTimes(first, total, name)
}
