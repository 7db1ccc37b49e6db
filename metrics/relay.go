package metrics

import (
	"context"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/violettally/violettally/relay"
)

// RelayCounters counts what package relay decides.
type RelayCounters struct{ m *Metrics }

// Relay returns the instruments of package relay.
func (m *Metrics) Relay() RelayCounters { return RelayCounters{m} }

// Refused counts a refusal.
func (r RelayCounters) Refused(reason relay.Reason, account string) {
	add(r.m.refusals, 1, attribute.String("reason", reason.String()), attribute.String("account", account))
}

// Retried counts a request that is sent again.
func (r RelayCounters) Retried(reason relay.Reason) { r.m.Retried(reason.String()) }

// Escalated counts an answer that was dropped for one of a costlier model.
func (r RelayCounters) Escalated(model string) {
	add(r.m.escalations, 1, attribute.String("model", model))
}

// Resumed counts a stream that goes on at another server.
func (r RelayCounters) Resumed() { add(r.m.resumes, 1) }

// Sent counts a request that goes to a server, with the age of the news of the
// platform's store by which the server was chosen.
func (r RelayCounters) Sent(age time.Duration) {
	r.m.storeViewAge.Record(context.Background(), age.Seconds())
}

// Answered counts an answer and its times. The times are not told apart by
// status, which would multiply the histograms.
func (r RelayCounters) Answered(route string, status int, first, total time.Duration) {
	name := attribute.String("route", route)
	add(r.m.responses, 1, name, attribute.String("status", strconv.Itoa(status)))
	r.m.recordTimes(first, total, name)
}
