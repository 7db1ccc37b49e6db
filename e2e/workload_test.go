package e2e_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/violettally/violettally/internal/standin"
)

// requestKind of a request in the workload.
type requestKind int

const (
	kindChat requestKind = iota
	kindStream
	kindSession
	kindNonIdempotent
	kindAsync
	kindForbidden
	kindCount
)

func (k requestKind) String() string {
	return [...]string{"chat", "stream", "session", "proof", "patient", "forbidden"}[k]
}

// requestRecord is one request of the workload with all that its caller saw.
type requestRecord struct {
	id       string
	kind     requestKind
	session  string
	prompt   string
	start    time.Time
	duration time.Duration
	attempts []string
	// completed holds the whole answer's version, text and body.
	completed bool
	version   string
	text      string
	body      string
	// notRun is set if the caller was told so last, and did not try again.
	notRun bool
	// unknown is set if the caller was told that nobody knows.
	unknown bool
}

// workload is a few callers who do what users do: they ask for addresses,
// keep them for their time to live, and try again under the same id.
type workload struct {
	f       *fleet
	cancel  context.CancelFunc
	clients sync.WaitGroup
	// completed counts the requests that have been answered.
	completed atomic.Int64

	mu       sync.Mutex
	requests []*requestRecord
	notes    []note
}

// note is something that the fault schedule did.
type note struct {
	at   time.Time
	text string
}

const (
	clientCount    = 6
	sessionCount   = 8
	maxAttempts    = 40
	retryDelay     = 150 * time.Millisecond
	thinkTime      = 15 * time.Millisecond
	responseTokens = 16
)

// startWorkload runs callers until stop. The seed decides what they ask for.
func startWorkload(f *fleet, seed uint64) *workload {
	ctx, cancel := context.WithCancel(context.Background())
	w := &workload{f: f, cancel: cancel}
	for i := range clientCount {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		w.clients.Go(func() { w.run(ctx, i, rng) })
	}
	return w
}

// stop lets every caller end the request that it is at.
func (w *workload) stop() {
	w.cancel()
	w.clients.Wait()
}

func (w *workload) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, note{time.Now(), fmt.Sprintf(format, args...)})
}

func (w *workload) run(ctx context.Context, caller int, rng *rand.Rand) {
	known := &addressCache{f: w.f, rng: rng}
	for n := 0; ctx.Err() == nil; n++ {
		e := &requestRecord{id: fmt.Sprintf("c%d-%d", caller, n), kind: requestKind(rng.IntN(int(kindCount))), start: time.Now()}
		e.prompt = "prompt of " + e.id
		if e.kind == kindSession {
			e.session = fmt.Sprintf("s%d", rng.IntN(sessionCount))
		}
		w.mu.Lock()
		w.requests = append(w.requests, e)
		w.mu.Unlock()
		w.sendWithRetries(e, known, rng.IntN(2) == 0)
		e.duration = time.Since(e.start)
		if e.completed {
			w.completed.Add(1)
		}
		time.Sleep(thinkTime)
	}
}

// addressCache is what a caller knows of the nodes' addresses.
type addressCache struct {
	f         *fleet
	rng       *rand.Rand
	addresses []string
	expiresAt time.Time
}

// randomNode returns a node to call, asking any node that answers for addresses
// when the last ones are too old.
func (b *addressCache) randomNode() *node {
	if time.Now().After(b.expiresAt) {
		b.refresh()
	}
	if len(b.addresses) == 0 {
		return b.f.nodes[b.rng.IntN(len(b.f.nodes))]
	}
	address := b.addresses[b.rng.IntN(len(b.addresses))]
	return &node{clientAddr: address}
}

func (b *addressCache) refresh() {
	for _, i := range b.rng.Perm(len(b.f.nodes)) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r := b.f.call(ctx, b.f.nodes[i], http.MethodGet, "/v1/addresses", "")
		cancel()
		var in struct {
			Addresses []struct{ Address string }
			TTL       int64 `json:"ttl_ms"`
		}
		if r.err != nil || json.Unmarshal([]byte(r.body), &in) != nil || len(in.Addresses) == 0 {
			continue
		}
		b.addresses = nil
		for _, a := range in.Addresses {
			b.addresses = append(b.addresses, a.Address)
		}
		b.expiresAt = time.Now().Add(time.Duration(in.TTL) * time.Millisecond)
		return
	}
}

// sendWithRetries tries a request until its caller has an answer or gives up. A caller
// that is not stubborn takes the first "not run" for its last word.
func (w *workload) sendWithRetries(e *requestRecord, known *addressCache, stubborn bool) {
	for range maxAttempts {
		r := w.attempt(e, known.randomNode())
		e.attempts = append(e.attempts, fmt.Sprintf("%d %s %s", r.status, r.code, r.ran))
		e.notRun, e.unknown = false, false
		switch {
		case r.complete():
			e.completed, e.version, e.body = true, r.header.Get("X-Model-Version"), r.body
			e.text = completionText(r.body, e.kind == kindStream)
			return
		case r.err == nil && r.status == http.StatusAccepted:
		case r.err != nil || r.ran == "":
			e.attempts[len(e.attempts)-1] = fmt.Sprint(r.err)
		case r.code == "outcome_unknown":
			e.unknown = true
			return
		case r.ran == "no" && (!stubborn || e.kind == kindForbidden):
			e.notRun = true
			return
		}
		time.Sleep(retryDelay)
	}
}

// attemptTimeout bounds one try; a frozen node does not answer.
const attemptTimeout = 5 * time.Second

func (w *workload) attempt(e *requestRecord, n *node) clientResponse {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	chat := func(model string, headers ...string) clientResponse {
		body := fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, model, e.kind == kindStream, e.prompt)
		return w.f.call(ctx, n, http.MethodPost, "/v1/chat/completions", body, append(headers, "Idempotency-Key", e.id)...)
	}
	switch e.kind {
	case kindSession:
		return chat("brief", "X-Session-Id", e.session)
	case kindNonIdempotent:
		return w.f.call(ctx, n, http.MethodPost, "/v1/services/records/proofs", e.prompt, "Idempotency-Key", e.id)
	case kindAsync:
		if len(e.attempts) > 0 && strings.HasPrefix(e.attempts[len(e.attempts)-1], "202") {
			return w.f.call(ctx, n, http.MethodGet, "/v1/requests/"+e.id, "")
		}
		return chat("brief", "Prefer", "respond-async")
	case kindForbidden:
		return chat("small", "Authorization", "Bearer "+otherKey)
	default:
		return chat("brief")
	}
}

// completionText reads the text of a completion; "" if it is not whole.
func completionText(body string, streamed bool) string {
	if !streamed {
		var in struct {
			Choices []struct{ Message struct{ Content string } }
		}
		if json.Unmarshal([]byte(body), &in) != nil || len(in.Choices) == 0 {
			return ""
		}
		return in.Choices[0].Message.Content
	}
	var text strings.Builder
	whole := false
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			whole = true
			continue
		}
		var in struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &in) == nil && len(in.Choices) > 0 {
			text.WriteString(in.Choices[0].Delta.Content)
		}
	}
	if !whole {
		return ""
	}
	return text.String()
}

// check judges the ten points by what callers got, backend servers ran, and
// the ledger has.
func (w *workload) check(t testing.TB) {
	t.Helper()
	plainRuns, engineRuns := w.f.runsByRequestID(w.f.plainAddrs), w.f.runsByRequestID(w.f.engineAddrs)
	for _, e := range w.requests {
		w.checkResponse(t, e)
		w.checkRuns(t, e, plainRuns[e.id], engineRuns[e.id])
	}
	w.checkSessions(t)
	w.checkBills(t)
	if t.Failed() {
		w.printHistory(t)
	}
}

// checkAnswer: a caller gets the whole answer to its own request.
func (w *workload) checkResponse(t testing.TB, e *requestRecord) {
	switch {
	case !e.completed:
	case e.kind == kindForbidden:
		t.Errorf("%s: an account was answered by a model it may not use", e.id)
	case e.kind == kindNonIdempotent:
		if !strings.Contains(e.body, `"echo":"`+e.prompt+`"`) {
			t.Errorf("%s: the answer is another's: %s", e.id, e.body)
		}
	case e.text != standin.AnswerText(e.version, e.prompt, responseTokens):
		t.Errorf("%s: the answer is not whole or another's: %q by %s", e.id, e.text, e.version)
	}
}

// checkRuns: "not run" is true, and what may not be repeated ran once at most.
func (w *workload) checkRuns(t testing.TB, e *requestRecord, plain, engine []standin.Run) {
	runs := len(plain) + len(engine)
	if e.notRun && runs > 0 {
		t.Errorf("%s (%s): ran although its caller was told 'not run' at last: %q", e.id, e.kind, e.attempts)
	}
	if e.kind == kindNonIdempotent && len(plain) > 1 {
		t.Errorf("%s: ran %d times", e.id, len(plain))
	}
	if e.kind == kindNonIdempotent && e.completed && len(plain) != 1 {
		t.Errorf("%s: answered, and ran %d times", e.id, len(plain))
	}
	if e.kind == kindForbidden && runs > 0 {
		t.Errorf("%s: ran on a model that the account may not use", e.id)
	}
}

func allNotRun(tries []string) bool {
	for _, try := range tries {
		if !strings.HasSuffix(try, " no") {
			return false
		}
	}
	return true
}

// checkSessions: a session keeps its version.
func (w *workload) checkSessions(t testing.TB) {
	versions := make(map[string]string)
	for _, e := range w.requests {
		if e.kind != kindSession || !e.completed {
			continue
		}
		if before, ok := versions[e.session]; ok && before != e.version {
			t.Errorf("session %s was on %s and then on %s", e.session, before, e.version)
		}
		versions[e.session] = e.version
	}
}

// checkBills: each request is billed exactly once. Requests whose callers do
// not know their fate may have been billed or not.
func (w *workload) checkBills(t testing.TB) {
	answered, open := 0, 0
	for _, e := range w.requests {
		switch {
		case e.kind == kindNonIdempotent || e.kind == kindForbidden:
		case e.completed:
			answered++
		case !allNotRun(e.attempts):
			open++
		}
	}
	billed := w.billedRequests()
	for deadline := time.Now().Add(waitTimeout); billed < answered && time.Now().Before(deadline); {
		runFor(100 * time.Millisecond)
		billed = w.billedRequests()
	}
	if billed < answered || billed > answered+open {
		t.Errorf("%d requests were answered, of %d more nobody knows, and %d were billed", answered, open, billed)
		_, out := w.f.runOperatorCommand(w.f.nodes[0], "show", "ledger")
		t.Log(out)
	}
}

func (w *workload) billedRequests() int {
	sum := 0
	for _, n := range w.f.nodes {
		if w.f.get(n.operatorAddr, "/health") == nil {
			continue
		}
		for _, line := range w.f.ledgerTotals(n) {
			sum += int(line.Requests)
		}
		return sum
	}
	return 0
}

// summary counts what callers got, for the history and the measurements.
func (w *workload) summary() string {
	answered, refused := 0, make(map[string]int)
	for _, e := range w.requests {
		if e.completed {
			answered++
		}
		for _, try := range e.attempts {
			if !strings.HasPrefix(try, "200") && !strings.HasPrefix(try, "202") {
				refused[try]++
			}
		}
	}
	var reasons []string
	for reason, n := range refused {
		reasons = append(reasons, fmt.Sprintf("%d× %s", n, reason))
	}
	sort.Strings(reasons)
	return fmt.Sprintf("%d requests, %d answered; tries that failed: %s", len(w.requests), answered, strings.Join(reasons, "; "))
}

// maxHistoryLines is how many events a failed run prints.
const maxHistoryLines = 60

// printHistory writes the history: what the schedule did, and the requests that were
// not answered at the first try.
func (w *workload) printHistory(t testing.TB) {
	t.Log(w.summary())
	var lines []string
	for _, n := range w.notes {
		lines = append(lines, n.at.Format("15:04:05.000")+"  **** "+n.text)
	}
	for _, e := range w.requests {
		if len(e.attempts) > 1 || !e.completed {
			lines = append(lines, fmt.Sprintf("%s  %s %s answered=%t notRun=%t unknown=%t tries=%q", e.start.Format("15:04:05.000"), e.id, e.kind, e.completed, e.notRun, e.unknown, e.attempts))
		}
	}
	sort.Strings(lines)
	for _, line := range lines[:min(maxHistoryLines, len(lines))] {
		t.Log(line)
	}
}

// runFor lets the workload go on for a while under the present fault. It is not
// synchronisation: whatever happens in that time has to be right.
func runFor(d time.Duration) { time.Sleep(d) }

// waitForResponses waits until callers are being answered again.
func (w *workload) waitForResponses() {
	w.f.t.Helper()
	before := w.completed.Load()
	w.f.waitFor("answers to flow", func() bool { return w.completed.Load() >= before+2*clientCount })
}
