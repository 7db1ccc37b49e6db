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
	// maxTries bounds the servers that one model's answer is tried on.
	maxTries = 3
	// maxResumes bounds how often one stream is resumed at its server.
	maxResumes = 2
	// rateTimeout bounds the rating that an answer waits for.
	rateTimeout = 2 * time.Second
	// noRating stands for an answer that was not rated.
	noRating = -1
)

// result is one model's answer to a request.
type result struct {
	model      string
	version    *config.Version
	head       answer.Head
	parts      [][]byte
	usage      usage
	firstToken time.Duration
	total      time.Duration
	// sent counts the parts that have gone to the caller already.
	sent int
	// cost of this answer, in millionths.
	cost int64
}

func (r *result) text() string { return textOf(r.parts, r.head.Streamed) }

// runChat answers a request to a model or a cascade.
func (d *Dispatcher) runChat(ctx context.Context, r *Request, x *answer.Exchange, record *decision.Record) *Refusal {
	t, ok := resolve(d.Config(), r.Account, r.Chat.Model)
	if !ok {
		return refuse(ReasonModelNotFound, RanNo, 0, "model %q is not one that account %q may use", r.Chat.Model, r.Account.Name)
	}
	if t.cascade != nil {
		return d.runCascade(ctx, r, x, t, record)
	}
	got, refusal := d.runModel(ctx, r, x, t, t.models[0], record)
	if refusal != nil {
		return refusal
	}
	d.observe(r, got, noRating)
	return d.release(r, x, got, got.cost, record)
}

// runCascade tries the planned models until an answer may be released.
func (d *Dispatcher) runCascade(ctx context.Context, r *Request, x *answer.Exchange, t target, record *decision.Record) *Refusal {
	plan := d.Planner.Plan(t.cascade, r.Chat.Class, d.timeLeft(r))
	record.Note("cascade", "plan %s", strings.Join(plan, ", "))
	spent := int64(0)
	for i, model := range plan {
		last := i == len(plan)-1
		got, refusal := d.runModel(ctx, r, nil, t, model, record)
		if refusal != nil {
			if last || refusal.reason == ReasonCancelled || refusal.reason == ReasonDeadline {
				return refusal
			}
			record.Note("cascade", "%s gave no answer: %s", model, refusal.Error())
			continue
		}
		spent += got.cost
		rating := d.rate(ctx, r, got, record)
		if rating >= 0 {
			d.Planner.Learn(t.cascade, r.Chat.Class, model, rating, got.total)
		}
		d.observe(r, got, rating)
		if !last && !d.releases(t.cascade, r.Chat.Class, model, rating) {
			record.Note("cascade", "%s is held back: rating %.2f, bound %.2f", model, rating, d.Planner.Threshold(t.cascade))
			continue
		}
		if rating >= 0 {
			d.Planner.Released(t.cascade, rating)
		}
		return d.release(r, x, got, spent, record)
	}
	return refuse(ReasonServerFailed, RanYes, comeBackSoon, "no model of the cascade gave an answer")
}

func (d *Dispatcher) timeLeft(r *Request) time.Duration {
	if r.Deadline.IsZero() {
		return 0
	}
	return r.Deadline.Sub(d.Timers.Now())
}

func (d *Dispatcher) releases(c *config.Cascade, class, model string, rating float64) bool {
	if rating < 0 {
		return d.Planner.ReleasesUnrated(c, class, model)
	}
	return d.Planner.Releases(c, rating)
}

// rate returns an answer's rating, or noRating if none is to be had in time.
func (d *Dispatcher) rate(ctx context.Context, r *Request, got *result, record *decision.Record) float64 {
	ctx, cancel := context.WithTimeout(ctx, rateTimeout)
	defer cancel()
	rating, err := d.Rater.Rate(ctx, got.model, got.version.Name, r.Chat.Prompt, got.text())
	if err != nil {
		record.Note("rating", "none: %v", err)
		return noRating
	}
	record.Note("rating", "%s@%s got %.2f", got.model, got.version.Name, rating)
	return rating
}

// observe counts an answer for its model's roll-out. Answers that no cascade
// has rated are rated beside the request.
func (d *Dispatcher) observe(r *Request, got *result, rating float64) {
	m := d.Config().Model(got.model)
	if m == nil || m.Rollout == nil {
		return
	}
	count := func(rating float64) {
		d.Picker.Count(got.model, got.version.Name, rollout.IsBad(m.Rollout.Guards, false, rating, got.firstToken))
	}
	if rating >= 0 {
		count(rating)
		return
	}
	text := got.text()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), rateTimeout)
		defer cancel()
		rating, err := d.Rater.Rate(ctx, got.model, got.version.Name, r.Chat.Prompt, text)
		if err != nil {
			rating = noRating
		}
		count(rating)
	}()
}

// release bills an answer and gives it to the caller. The bill comes before
// the last part, so that no whole answer goes out unbilled.
func (d *Dispatcher) release(r *Request, x *answer.Exchange, got *result, cost int64, record *decision.Record) *Refusal {
	if got.head.Status < 300 {
		d.bill(r, got, cost, record)
	}
	x.Begin(got.head)
	for _, part := range got.parts[got.sent:] {
		x.Append(part)
	}
	d.Counters.Answered(got.model, got.version.Name, got.firstToken, got.total)
	return nil
}

// runModel gets one model's answer. With an exchange, the parts of a stream go
// out as they come, up to the one that ends the answer; without, none does.
func (d *Dispatcher) runModel(ctx context.Context, r *Request, x *answer.Exchange, t target, model string, record *decision.Record) (*result, *Refusal) {
	version, refusal := d.versionOf(ctx, r, t, model, record)
	if refusal != nil {
		return nil, refusal
	}
	v, refusal := d.stillAllowed(r, t, model, version)
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
		tried: make(map[string]bool), got: &result{model: model}, start: d.Timers.Now(),
	}
	return run.tries(ctx)
}

// modelRun is one model's answer under way, over one or more servers.
type modelRun struct {
	d       *Dispatcher
	r       *Request
	x       *answer.Exchange
	t       target
	record  *decision.Record
	model   string
	version string
	tried   map[string]bool
	got     *result
	start   time.Time
	// matched counts the parts that a later try has repeated so far.
	matched int
}

// tries runs the request on one server after another, as far as that is safe
// and the pool's budget allows.
func (m *modelRun) tries(ctx context.Context) (*result, *Refusal) {
	var last *Refusal
	for try := 1; ; try++ {
		v, refusal := m.d.stillAllowed(m.r, m.t, m.model, m.version)
		if refusal != nil {
			return nil, refusal
		}
		m.got.version = v
		refusal = m.once(ctx, v)
		if refusal == nil {
			m.got.total = m.d.Timers.Now().Sub(m.start)
			m.got.cost = m.got.usage.cost(v)
			return m.got, nil
		}
		if refusal.reason == ReasonCancelled {
			m.billPart(refusal)
		}
		if refusal.reason == ReasonNoServer && last != nil {
			return nil, last
		}
		if refusal.reason != ReasonServerFailed {
			return nil, refusal
		}
		last = refusal
		m.count(true)
		if try == maxTries || ctx.Err() != nil || !m.d.Budgets.Take(v.Pool) {
			return nil, refusal
		}
		m.d.Counters.Retried(refusal.reason.String())
		m.record.Note("retry", "%s", refusal.Error())
	}
}

// count counts a failed answer for the model's roll-out.
func (m *modelRun) count(failed bool) {
	if declared := m.d.Config().Model(m.model); declared != nil && declared.Rollout != nil && failed {
		m.d.Picker.Count(m.model, m.version, true)
	}
}

// billPart bills what a cancelled request was given.
func (m *modelRun) billPart(refusal *Refusal) {
	if m.got.sent > 0 {
		m.got.usage.complete(m.r.Chat.Prompt, len(m.got.parts))
		m.d.bill(m.r, m.got, m.got.usage.cost(m.got.version), m.record)
		refusal.ran = RanYes
	}
}

// once runs the request on one server.
func (m *modelRun) once(ctx context.Context, v *config.Version) *Refusal {
	d := m.d
	s := d.Config()
	if p := s.Pool(v.Pool); p != nil {
		d.Budgets.Paid(v.Pool, p.RetryRatio())
	}
	attempt, err := d.Chooser.Choose(route.Request{
		Pool:        v.Pool,
		Servers:     s.Servers(v.Pool),
		EngineModel: v.EngineName(m.model),
		Prefix:      m.r.Chat.Prefix,
		Exclude:     m.tried,
	})
	if err != nil {
		return refuse(ReasonNoServer, RanNo, comeBackSoon, "%v", err)
	}
	server := attempt.Server()
	m.tried[server.Name] = true
	m.record.Choose(m.model, m.version, server.Name)
	m.record.Note("server", "%s of pool %s", server.Name, v.Pool)
	begun := d.Timers.Now()
	err = m.follow(ctx, server, EngineCall{
		RequestID: m.r.ID,
		Model:     v.EngineName(m.model),
		Body:      m.r.Body,
		Stream:    m.r.Chat.Stream,
		Priority:  m.r.Account.Priority,
	})
	attempt.End(outcomeOf(ctx, err), d.Timers.Now().Sub(begun))
	m.r.reached = m.r.reached || !errorx.IsOfType(err, NotRun)
	if err != nil {
		return backendRefusal(ctx, err, true)
	}
	return nil
}

// follow reads an engine's answer to its end, resuming its stream where the
// connection breaks.
func (m *modelRun) follow(ctx context.Context, server config.Server, call EngineCall) error {
	m.matched = 0
	stream, err := m.d.Engines.Complete(ctx, server, call)
	if err != nil {
		return err
	}
	m.begin(stream)
	for resumes := 0; ; resumes++ {
		err := m.read(stream)
		id := stream.ID()
		stream.Close()
		if err == nil || !call.Stream || id == "" || resumes == maxResumes || ctx.Err() != nil {
			return err
		}
		m.record.Note("resume", "stream %s after %d parts", id, m.matched)
		m.d.Counters.Retried("resume")
		resumed, resumeErr := m.d.Engines.Resume(ctx, server, id, m.matched, call)
		if resumeErr != nil {
			return err
		}
		stream = resumed
	}
}

func (m *modelRun) begin(stream EngineStream) {
	m.got.head = answer.Head{
		Status:      stream.Status(),
		ContentType: stream.ContentType(),
		Model:       m.model,
		Version:     m.version,
		Streamed:    m.r.Chat.Stream && stream.Status() < 300,
	}
	if m.x != nil && m.got.head.Streamed {
		m.x.Begin(m.got.head)
	}
}

// read takes in the parts of one connection.
func (m *modelRun) read(stream EngineStream) error {
	for {
		part, err := stream.Next()
		if errors.Is(err, io.EOF) {
			m.got.usage.complete(m.r.Chat.Prompt, len(m.got.parts))
			return nil
		}
		if err != nil {
			return err
		}
		if err := m.take(part); err != nil {
			return err
		}
	}
}

// take adds one part. A later try on another server has to repeat what was
// given out already; if it does not, the answer cannot be made whole.
func (m *modelRun) take(part []byte) error {
	if m.matched < len(m.got.parts) {
		before := inspect(m.got.parts[m.matched], m.got.head.Streamed)
		if before.text != inspect(part, m.got.head.Streamed).text {
			return errs.New(Failed, "take", "another server's answer differs from what was given out already")
		}
		m.matched++
		return nil
	}
	if len(m.got.parts) == 0 {
		m.got.firstToken = m.d.Timers.Now().Sub(m.start)
	}
	last := false
	if !isRunning(part) {
		info := inspect(part, m.got.head.Streamed)
		last = info.last
		if info.usage.known() {
			m.got.usage = info.usage
		}
	}
	m.got.parts = append(m.got.parts, part)
	m.matched++
	if m.x != nil && m.got.head.Streamed && !last && m.got.sent == len(m.got.parts)-1 {
		m.x.Append(part)
		m.got.sent++
	}
	return nil
}

// mintedBillLife is how long a bill is remembered whose request nobody can come
// back with. Any bill is kept until it is folded.
const mintedBillLife = time.Second

// bill claims the request's bill and enters it in the journal. Of all who
// finish a request, on whatever nodes, only one wins the claim.
func (d *Dispatcher) bill(r *Request, got *result, cost int64, record *decision.Record) {
	b := ledger.Bill{
		Account:          r.Account.Name,
		Model:            got.model,
		Version:          got.version.Name,
		RequestID:        r.ID,
		PromptTokens:     got.usage.Prompt,
		CompletionTokens: got.usage.Completion,
		Cost:             cost,
	}
	life := 2 * d.AnswerLife
	if !r.Given {
		life = mintedBillLife
	}
	if d.Bills.Bill(b, life) {
		record.Note("bill", "%d prompt and %d completion tokens, cost %d", b.PromptTokens, b.CompletionTokens, b.Cost)
		return
	}
	record.Note("bill", "billed elsewhere, or claimed again later")
}
