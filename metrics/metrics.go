// Package metrics provides the process's metrics: OpenTelemetry instruments with a
// Prometheus exporter. Each refusal and each retry is counted by its reason.
//
// # Usage
//
//	m, err := metrics.New()
//	mux.Handle("/metrics", m.Handler())
//	m.Refused(dispatch.ReasonRateLimited, account)
package metrics

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/dispatch"
	"github.com/violettally/violettally/inbound"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/sendonce"
	"github.com/violettally/violettally/ledger"
	"github.com/violettally/violettally/member"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/suspect"
	"github.com/violettally/violettally/tunnel"
	"github.com/violettally/violettally/usage"
)

// Metrics holds the instruments of one process. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	meter    metric.Meter

	refusals        metric.Int64Counter
	retries         metric.Int64Counter
	responses       metric.Int64Counter
	firstToken      metric.Float64Histogram
	responseTime    metric.Float64Histogram
	storeViewAge    metric.Float64Histogram
	bills           metric.Int64Counter
	billedCost      metric.Int64Counter
	claimVerdicts   metric.Int64Counter
	memberStatuses  metric.Int64Counter
	platformCalls   metric.Int64Counter
	peerCalls       metric.Int64Counter
	peerBytes       metric.Int64Counter
	breakersOpened  metric.Int64Counter
	unusableEntries metric.Int64Counter
	loadReports     metric.Int64Counter
	mirrorEvents    metric.Int64Counter
	suspectEvents   metric.Int64Counter
	usageReports    metric.Int64Counter
	serverOrders    metric.Int64Counter
	limitChanges    metric.Int64Counter
	limitedSends    metric.Int64Counter
	serverDials     metric.Int64Counter
	connEvents      metric.Int64Counter
	inboundRefusals metric.Int64Counter

	rejectionLimitChanges        metric.Int64Counter
	serviceRejectionLimitChanges metric.Int64Counter
	leavings, rests              metric.Int64Counter
	serverRejections             metric.Int64Counter

	escalations metric.Int64Counter
	resumes     metric.Int64Counter
	givenUp     metric.Int64Counter
	runStops    metric.Int64Counter
}

// latencyBuckets are the histogram bounds of response times in seconds. The latency
// targets, 66 ms and 1 s, are bounds.
var latencyBuckets = []float64{0.002, 0.005, 0.01, 0.025, 0.05, 0.066, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60}

// ageBuckets are the histogram bounds, in seconds, of the age of the data from the
// platform's store. Deployments agree on limits of 2 to 4 s.
var ageBuckets = []float64{0.1, 0.25, 0.5, 0.75, 1, 1.25, 1.5, 2, 3, 4, 6, 10}

// New returns new instruments with their own registry.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	m := &Metrics{
		registry: registry,
		meter:    sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("violettally"),
	}
	return m, m.createInstruments()
}

// createInstruments creates all counters and histograms.
func (m *Metrics) createInstruments() error {
	counters := []struct {
		target *metric.Int64Counter
		name   string
		help   string
	}{
		{&m.refusals, "violettally_refusals", "Requests refused, by reason and account."},
		{&m.retries, "violettally_retries", "Attempts made again, by reason."},
		{&m.responses, "violettally_answers", "Answers given, by model and version."},
		{&m.bills, "violettally_bills", "Bills won, by account, model and version."},
		{&m.billedCost, "violettally_billed_cost", "Cost billed, in millionths of the currency unit."},
		{&m.claimVerdicts, "violettally_claim_votes", "Replies of claim replicas, by verdict."},
		{&m.memberStatuses, "violettally_member_status", "Changes of opinion on members, by new status."},
		{&m.platformCalls, "violettally_platform_calls", "Calls to the platform's key-value service, by operation."},
		{&m.peerCalls, "violettally_peer_calls", "Calls to other nodes, by call."},
		{&m.peerBytes, "violettally_peer_sent_bytes", "Bytes sent to other nodes before framing, by call."},
		{&m.loadReports, "violettally_load_reports", "Load reports asked of backend servers."},
		{&m.escalations, "violettally_escalations", "Answers dropped for one of a costlier model, by that model."},
		{&m.resumes, "violettally_resumes", "Streams that went on at another backend server."},
		{&m.givenUp, "violettally_given_up_attempts", "Attempts given up while the backend server might still run the request, by whether the connection had been silent."},
		{&m.runStops, "violettally_run_stops", "Runs of requests given up that were to be ended at their backend servers, by outcome."},
		{&m.unusableEntries, "violettally_entries_unusable", "Entries in the platform's store that name no server or node to use, by reason."},
		{&m.mirrorEvents, "violettally_news", "What happened to the news of the platform's store, by event."},
		{&m.suspectEvents, "violettally_suspects", "What happened to the evidence on requests under which servers end, by event."},
		{&m.usageReports, "violettally_usage_reports", "Windows whose usage was to be reported, by result."},
		{&m.serverOrders, "violettally_server_orders", "Orders of backend servers, by result."},
		{&m.limitChanges, "violettally_server_limits", "Changes of the request limits that backend servers name, by change and source."},
		{&m.limitedSends, "violettally_limited_sends", "Requests sent to backend servers that name a request limit."},
		{&m.rejectionLimitChanges, "violettally_rejection_limits", "Changes of the rejection limits that backend servers name, by change and source."},
		{&m.serviceRejectionLimitChanges, "violettally_service_rejection_limits", "Changes of the rejection limits that servers of a service are known to name, by change and source."},
		{&m.leavings, "violettally_server_leavings", "Backend servers whose answers say that they leave, by change and source."},
		{&m.rests, "violettally_server_rests", "Rests that backend servers want of this node, by change and source."},
		{&m.serverRejections, "violettally_server_rejections", "Requests that backend servers with a rejection limit rejected."},
		{&m.inboundRefusals, "violettally_inbound_refusals", "Requests and connections of clients refused or closed before a handler got them, by reason."},
		{&m.serverDials, "violettally_server_connections", "Connections to backend servers that were to be opened, by way and outcome."},
		{&m.connEvents, "violettally_server_connection_events", "Events on connections to backend servers that could let requests run twice, by event."},
		{&m.breakersOpened, "violettally_breakers_opened", "Backend servers taken out after failures."},
	}
	for _, c := range counters {
		counter, err := m.meter.Int64Counter(c.name, metric.WithDescription(c.help))
		if err != nil {
			return err
		}
		*c.target = counter
	}
	var err error
	m.firstToken, err = m.meter.Float64Histogram("violettally_first_token_seconds",
		metric.WithDescription("Time to the first token, from the choice of the model on."),
		metric.WithExplicitBucketBoundaries(latencyBuckets...))
	if err != nil {
		return err
	}
	m.responseTime, err = m.meter.Float64Histogram("violettally_answer_seconds",
		metric.WithDescription("Time to the whole answer, from the choice of the model on."),
		metric.WithExplicitBucketBoundaries(latencyBuckets...))
	if err != nil {
		return err
	}
	m.storeViewAge, err = m.meter.Float64Histogram("violettally_news_age_seconds",
		metric.WithDescription("Age of the news of the platform's store by which a request was sent to a server."),
		metric.WithExplicitBucketBoundaries(ageBuckets...))
	return err
}

// Gauge registers a gauge whose value is read at each scrape.
func (m *Metrics) Gauge(name, help string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(help),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return err
}

// Handler returns the HTTP handler for scrapes.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func add(c metric.Int64Counter, n int64, attributes ...attribute.KeyValue) {
	c.Add(context.Background(), n, metric.WithAttributes(attributes...))
}

// Refused counts a refused request.
func (m *Metrics) Refused(reason dispatch.Reason, account string) {
	add(m.refusals, 1, attribute.String("reason", reason.String()), attribute.String("account", account))
}

// Retried counts a retry by its reason.
func (m *Metrics) Retried(reason string) { add(m.retries, 1, attribute.String("reason", reason)) }

// Answered counts a response, and records the times to its first token and to its end.
func (m *Metrics) Answered(model, version string, firstToken, total time.Duration) {
	attributes := []attribute.KeyValue{attribute.String("model", model), attribute.String("version", version)}
	add(m.responses, 1, attributes...)
	m.recordTimes(firstToken, total, attributes...)
}

// recordTimes records the times to the first part and to the end of a response.
func (m *Metrics) recordTimes(first, total time.Duration, attributes ...attribute.KeyValue) {
	m.firstToken.Record(context.Background(), first.Seconds(), metric.WithAttributes(attributes...))
	m.responseTime.Record(context.Background(), total.Seconds(), metric.WithAttributes(attributes...))
}

// Billed counts a bill and its cost.
func (m *Metrics) Billed(b ledger.Bill) {
	attributes := []attribute.KeyValue{
		attribute.String("account", b.Account), attribute.String("model", b.Model), attribute.String("version", b.Version),
	}
	add(m.bills, 1, attributes...)
	add(m.billedCost, b.Cost, attributes...)
}

// ClaimVerdict counts a reply of a claim replica by its verdict.
func (m *Metrics) ClaimVerdict(v claim.Verdict) {
	add(m.claimVerdicts, 1, attribute.String("verdict", v.String()))
}

// MemberStatus counts a change of a member's status as this node sees it.
func (m *Metrics) MemberStatus(s member.Status) {
	add(m.memberStatuses, 1, attribute.String("status", s.String()))
}

// PlatformCall counts a call to the platform's key-value service.
func (m *Metrics) PlatformCall(operation string) {
	add(m.platformCalls, 1, attribute.String("operation", operation))
}

// PeerCall counts a call to another node and the bytes sent, before framing.
func (m *Metrics) PeerCall(call string, sent int) {
	add(m.peerCalls, 1, attribute.String("call", call))
	add(m.peerBytes, int64(sent), attribute.String("call", call))
}

// EntryUnusable counts an invalid entry of a server or node in the platform's store.
func (m *Metrics) EntryUnusable(reason string) {
	add(m.unusableEntries, 1, attribute.String("reason", reason))
}

// MirrorEvent counts an event of the copy of the platform's store.
func (m *Metrics) MirrorEvent(e mirror.Event) {
	add(m.mirrorEvents, 1, attribute.String("event", e.String()))
}

// SuspectEvent counts an event of the detection of requests that crash servers.
func (m *Metrics) SuspectEvent(e suspect.Event) {
	add(m.suspectEvents, 1, attribute.String("event", e.String()))
}

// UsageReport counts what became of the usage report on a window.
func (m *Metrics) UsageReport(r usage.Result) {
	add(m.usageReports, 1, attribute.String("result", r.String()))
}

// ServersOrdered counts an order of backend servers, by the kind of its error.
func (m *Metrics) ServersOrdered(err error) {
	result := "accepted"
	if err != nil {
		result = errs.Kind(err)
	}
	add(m.serverOrders, 1, attribute.String("result", result))
}

// NoticeChanged counts a change of what a backend server says of itself.
func (m *Metrics) NoticeChanged(c notice.Change) {
	counters := map[notice.Kind]metric.Int64Counter{
		notice.KindRequestLimit:          m.limitChanges,
		notice.KindRejectionLimit:        m.rejectionLimitChanges,
		notice.KindServiceRejectionLimit: m.serviceRejectionLimitChanges,
		notice.KindLeaving:               m.leavings,
		notice.KindRest:                  m.rests,
	}
	if counter, ok := counters[c.Kind]; ok {
		add(counter, 1, attribute.String("change", c.Name()), attribute.String("source", c.Source.String()))
	}
}

// ServerDialed counts a connection to a backend server that was to be opened, by its way and outcome.
func (m *Metrics) ServerDialed(w tunnel.Way, o tunnel.Outcome) {
	add(m.serverDials, 1, attribute.String("way", w.String()), attribute.String("outcome", o.String()))
}

// ConnEvent counts an event on a connection to a backend server.
func (m *Metrics) ConnEvent(e sendonce.Event) {
	add(m.connEvents, 1, attribute.String("event", e.String()))
}

// InboundRefused counts a request or a connection that was refused or closed before a handler got it.
func (m *Metrics) InboundRefused(r inbound.Refusal) {
	add(m.inboundRefusals, 1, attribute.String("reason", r.String()))
}

// ServerRejected counts a request that a server with a rejection limit rejected.
func (m *Metrics) ServerRejected() { add(m.serverRejections, 1) }

// BreakerOpened counts a server whose circuit breaker opened.
func (m *Metrics) BreakerOpened(server string) {
	add(m.breakersOpened, 1, attribute.String("server", server))
}

// LoadReport counts a load report requested from a backend server.
func (m *Metrics) LoadReport() { add(m.loadReports, 1) }
