package dispatch

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/ledger"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/route"
)

const (
	// maxTries bounds the servers that are tried for the response of one model.
	maxTries = 3
	// maxResumes bounds how often one stream is resumed at its server.
	maxResumes = 2
	// ratingTimeout bounds how long a response waits for its rating.
	ratingTimeout = 2 * time.Second
	// noRating is the rating of a response that was not rated.
	noRating = -1
)

// modelResponse is the response of one model to a request.
type modelResponse struct {
	model      string
	version    *config.Version
	head       answer.Head
	parts      [][]byte
	usage      usage
	firstToken time.Duration
	total      time.Duration
	// sent is the number of parts that have gone to the client.
	sent int
	// cost is in millionths of the currency unit.
	cost int64
}

func (r *modelResponse) text() string { return textOf(r.parts, r.head.Streamed) }

// runChat runs a request to a model or a cascade.
func (d *Dispatcher) runChat(ctx context.Context, r *Request, x *answer.Response, record *decision.Record) *Refusal {
	t, ok := resolve(d.Config(), r.Account, r.Chat.Model)
	if !ok {
		return refuse(ReasonModelNotFound, RanNo, 0, "model %q is not one that account %q may use", r.Chat.Model, r.Account.Name)
	}
	if t.cascade != nil {
		return d.runCascade(ctx, r, x, t, record)
	}
	resp, refusal := d.runModel(ctx, r, x, t, t.models[0], record)
	if refusal != nil {
		return refusal
	}
	d.countForRollout(r, resp, noRating)
	return d.deliver(r, x, resp, resp.cost, record)
}

// runCascade tries the planned models in order until a response may be released.
func (d *Dispatcher) runCascade(ctx context.Context, r *Request, x *answer.Response, t target, record *decision.Record) *Refusal {
	plan := d.Planner.Plan(t.cascade, r.Chat.Class, d.timeLeft(r))
	record.AddStep("cascade", "plan %s", strings.Join(plan, ", "))
	spent := int64(0)
	for i, model := range plan {
		last := i == len(plan)-1
		resp, refusal := d.runModel(ctx, r, nil, t, model, record)
		if refusal != nil {
			if last || refusal.reason == ReasonCancelled || refusal.reason == ReasonDeadline {
				return refusal
			}
			record.AddStep("cascade", "%s gave no answer: %s", model, refusal.Error())
			continue
		}
		spent += resp.cost
		rating := d.rate(ctx, r, resp, record)
		if rating >= 0 {
			d.Planner.RecordRating(t.cascade, r.Chat.Class, model, rating, resp.total)
		}
		d.countForRollout(r, resp, rating)
		if !last && !d.mayRelease(t.cascade, r.Chat.Class, model, rating) {
			record.AddStep("cascade", "%s is held back: rating %.2f, bound %.2f", model, rating, d.Planner.Threshold(t.cascade))
			continue
		}
		if rating >= 0 {
			d.Planner.RecordReleased(t.cascade, rating)
		}
		return d.deliver(r, x, resp, spent, record)
	}
	return refuse(ReasonServerFailed, RanYes, retryAfterShort, "no model of the cascade gave an answer")
}

func (d *Dispatcher) timeLeft(r *Request) time.Duration {
	if r.Deadline.IsZero() {
		return 0
	}
	return r.Deadline.Sub(d.Timers.Now())
}

func (d *Dispatcher) mayRelease(c *config.Cascade, class, model string, rating float64) bool {
	if rating < 0 {
		return d.Planner.MayReleaseUnrated(c, class, model)
	}
	return d.Planner.MayRelease(c, rating)
}

// rate returns a response's rating, or noRating if the rater fails or takes too long.
func (d *Dispatcher) rate(ctx context.Context, r *Request, resp *modelResponse, record *decision.Record) float64 {
	ctx, cancel := context.WithTimeout(ctx, ratingTimeout)
	defer cancel()
	rating, err := d.Rater.Rate(ctx, resp.model, resp.version.Name, r.Chat.Prompt, resp.text())
	if err != nil {
		record.AddStep("rating", "none: %v", err)
		return noRating
	}
	record.AddStep("rating", "%s@%s got %.2f", resp.model, resp.version.Name, rating)
	return rating
}

// countForRollout counts a response for its model's rollout. A response that no cascade has
// rated is rated in the background.
func (d *Dispatcher) countForRollout(r *Request, resp *modelResponse, rating float64) {
	m := d.Config().Model(resp.model)
	if m == nil || m.Rollout == nil {
		return
	}
	count := func(rating float64) {
		d.Picker.Count(m, resp.version.Name, rollout.IsBad(m.Rollout.Guards, false, rating, resp.firstToken))
	}
	if rating >= 0 {
		count(rating)
		return
	}
	text := resp.text()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), ratingTimeout)
		defer cancel()
		rating, err := d.Rater.Rate(ctx, resp.model, resp.version.Name, r.Chat.Prompt, text)
		if err != nil {
			rating = noRating
		}
		count(rating)
	}()
}

// deliver bills a response and passes it to the client. The bill comes before the last part, so
// that no complete response goes out without a bill.
func (d *Dispatcher) deliver(r *Request, x *answer.Response, resp *modelResponse, cost int64, record *decision.Record) *Refusal {
	if resp.head.Status < 300 {
		d.bill(r, resp, cost, record)
	}
	x.SetHead(resp.head)
	for _, part := range resp.parts[resp.sent:] {
		x.Append(part)
	}
	d.Counters.Answered(resp.model, resp.version.Name, resp.firstToken, resp.total)
	return nil
}

// runModel gets the response of one model. If x is set, the parts of a stream are passed on as
// they arrive, up to the one that ends the response; if x is nil, none is.
func (d *Dispatcher) runModel(ctx context.Context, r *Request, x *answer.Response, t target, model string, record *decision.Record) (*modelResponse, *Refusal) {
	version, refusal := d.chooseVersion(ctx, r, t, model, record)
	if refusal != nil {
		return nil, refusal
	}
	v, refusal := d.recheckAllowed(r, t, model, version)
	if refusal != nil {
		return nil, refusal
	}
	release, refusal := d.admit(ctx, r, v.Pool, record)
	if refusal != nil {
		return nil, refusal
	}
	defer release()
	run := &modelRun{
		d: d, r: r, x: x, t: t, record: record, model: model, version: version,
		tried: make(map[string]bool), resp: &modelResponse{model: model}, start: d.Timers.Now(),
	}
	return run.runWithRetries(ctx)
}

// modelRun is the state of getting one model's response from one or more servers.
type modelRun struct {
	d       *Dispatcher
	r       *Request
	x       *answer.Response
	t       target
	record  *decision.Record
	model   string
	version string
	tried   map[string]bool
	resp    *modelResponse
	start   time.Time
	// partsRead is the number of parts read in the current try, including those that repeat an
	// earlier try.
	partsRead int
}

// runWithRetries runs the request on one server after another, as long as the failure allows a
// retry and the pool's retry budget is not used up.
func (m *modelRun) runWithRetries(ctx context.Context) (*modelResponse, *Refusal) {
	var last *Refusal
	for try := 1; ; try++ {
		v, refusal := m.d.recheckAllowed(m.r, m.t, m.model, m.version)
		if refusal != nil {
			return nil, refusal
		}
		m.resp.version = v
		refusal = m.runOnce(ctx, v)
		if refusal == nil {
			m.resp.total = m.d.Timers.Now().Sub(m.start)
			m.resp.cost = m.resp.usage.cost(v)
			return m.resp, nil
		}
		if refusal.reason == ReasonCancelled {
			m.billPartial(refusal)
		}
		if refusal.noServerLeft() {
			return nil, refusal.orLast(last)
		}
		if refusal.reason != ReasonServerFailed {
			return nil, refusal
		}
		last = refusal
		m.countResult(true)
		if try == maxTries || ctx.Err() != nil || !m.d.Budgets.Take(v.Pool) {
			return nil, refusal
		}
		m.d.Counters.Retried(refusal.reason.String())
		m.record.AddStep("retry", "%s", refusal.Error())
	}
}

// countResult counts a failed try for the model's rollout, if there is one.
func (m *modelRun) countResult(failed bool) {
	if declared := m.d.Config().Model(m.model); declared != nil && declared.Rollout != nil && failed {
		m.d.Picker.Count(declared, m.version, true)
	}
}

// billPartial bills the parts that went to the client before the request was cancelled.
func (m *modelRun) billPartial(refusal *Refusal) {
	if m.resp.sent > 0 {
		m.resp.usage.estimateMissing(m.r.Chat.Prompt, len(m.resp.parts))
		m.d.bill(m.r, m.resp, m.resp.usage.cost(m.resp.version), m.record)
		refusal.ran = RanYes
	}
}

// runOnce runs the request on one server.
func (m *modelRun) runOnce(ctx context.Context, v *config.Version) *Refusal {
	d := m.d
	s := d.Config()
	if p := s.Pool(v.Pool); p != nil {
		d.Budgets.RecordRequest(v.Pool, p.RetryRatio())
	}
	attempt, err := d.Chooser.Choose(route.Request{
		Pool:        v.Pool,
		Servers:     s.Servers(v.Pool),
		EngineModel: v.EngineName(m.model),
		Prefix:      m.r.Chat.Prefix,
		Exclude:     m.tried,
	})
	if err != nil {
		return noServerRefusal(err)
	}
	server := attempt.Server()
	m.tried[server.Name] = true
	m.record.SetServer(m.model, m.version, server.Name)
	m.record.AddStep("server", "%s of pool %s", server.Name, v.Pool)
	start := d.Timers.Now()
	err = m.readResponse(ctx, attempt, EngineCall{
		RequestID: m.r.ID,
		Model:     v.EngineName(m.model),
		Body:      m.r.Body,
		Stream:    m.r.Chat.Stream,
		Priority:  m.r.Account.Priority,
	})
	attempt.End(outcomeOf(ctx, err), d.Timers.Now().Sub(start))
	m.r.mayHaveRun = m.r.mayHaveRun || !errorx.IsOfType(err, NotRun)
	if err != nil {
		return backendRefusal(ctx, err, true)
	}
	return nil
}

// readResponse reads an engine's response to its end. It resumes the stream if the connection
// breaks.
func (m *modelRun) readResponse(ctx context.Context, attempt *route.Attempt, call EngineCall) error {
	m.partsRead = 0
	server := attempt.Server()
	stream, err := m.d.Engines.Complete(ctx, server, call)
	if err != nil {
		return err
	}
	m.setHead(stream)
	for resumes := 0; ; resumes++ {
		err := m.readParts(stream)
		id := stream.ID()
		stream.Close()
		if err == nil || !call.Stream || id == "" || resumes == maxResumes || ctx.Err() != nil {
			return err
		}
		if !attempt.Repeat() {
			m.record.AddStep("resume", "not at %s, which gets no more requests from this node now", server.Name)
			return err
		}
		m.record.AddStep("resume", "stream %s after %d parts", id, m.partsRead)
		m.d.Counters.Retried("resume")
		resumed, resumeErr := m.d.Engines.Resume(ctx, server, id, m.partsRead, call)
		if resumeErr != nil {
			return err
		}
		stream = resumed
	}
}

func (m *modelRun) setHead(stream EngineStream) {
	m.resp.head = answer.Head{
		Status:      stream.Status(),
		ContentType: stream.ContentType(),
		Model:       m.model,
		Version:     m.version,
		Streamed:    m.r.Chat.Stream && stream.Status() < 300,
	}
	if m.x != nil && m.resp.head.Streamed {
		m.x.SetHead(m.resp.head)
	}
}

// readParts reads the parts that come on one connection.
func (m *modelRun) readParts(stream EngineStream) error {
	for {
		part, err := stream.Next()
		if errors.Is(err, io.EOF) {
			m.resp.usage.estimateMissing(m.r.Chat.Prompt, len(m.resp.parts))
			return nil
		}
		if err != nil {
			return err
		}
		if err := m.addPart(part); err != nil {
			return err
		}
	}
}

// addPart adds one part. A try on another server has to repeat the text of the parts read so
// far, since they may have gone to the client. If it does not, the response cannot be
// completed.
func (m *modelRun) addPart(part []byte) error {
	if m.partsRead < len(m.resp.parts) {
		before := parsePart(m.resp.parts[m.partsRead], m.resp.head.Streamed)
		if before.text != parsePart(part, m.resp.head.Streamed).text {
			return errs.New(Failed, "take", "another server's answer differs from what was given out already")
		}
		m.partsRead++
		return nil
	}
	if len(m.resp.parts) == 0 {
		m.resp.firstToken = m.d.Timers.Now().Sub(m.start)
	}
	last := false
	if !isMidChunk(part) {
		info := parsePart(part, m.resp.head.Streamed)
		last = info.last
		if info.usage.known() {
			m.resp.usage = info.usage
		}
	}
	m.resp.parts = append(m.resp.parts, part)
	m.partsRead++
	if m.x != nil && m.resp.head.Streamed && !last && m.resp.sent == len(m.resp.parts)-1 {
		m.x.Append(part)
		m.resp.sent++
	}
	return nil
}

// generatedIDBillTTL is how long replicas keep the bill of a request with a generated ID at
// least. It is short, since no client can send such a request again. Every bill is kept until it
// is durable (package ledger).
const generatedIDBillTTL = time.Second

// bill claims the request's bill and enters it in the journal. If several nodes finish the same
// request, only one of them wins the claim.
func (d *Dispatcher) bill(r *Request, resp *modelResponse, cost int64, record *decision.Record) {
	b := ledger.Bill{
		Account:          r.Account.Name,
		Model:            resp.model,
		Version:          resp.version.Name,
		RequestID:        r.ID,
		PromptTokens:     resp.usage.Prompt,
		CompletionTokens: resp.usage.Completion,
		Cost:             cost,
	}
	ttl := 2 * d.ResponseTTL
	if !r.IDFromClient {
		ttl = generatedIDBillTTL
	}
	if d.Bills.Bill(b, ttl) {
		record.AddStep("bill", "%d prompt and %d completion tokens, cost %d", b.PromptTokens, b.CompletionTokens, b.Cost)
		return
	}
	record.AddStep("bill", "billed elsewhere, or claimed again later")
}
