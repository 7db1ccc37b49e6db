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

// requestKind is the kind of a request in the workload.
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
	return [...]string{"chat", "stream", "session", "non-idempotent", "async", "forbidden"}[k]
}

// requestRecord is one request of the workload and what its client saw of it.
type requestRecord struct {
	id       string
	kind     requestKind
	session  string
	prompt   string
	start    time.Time
	duration time.Duration
	// attempts holds status, code and ran of each attempt, or its error.
	attempts []string
	// completed is set once the client has a complete response; version, text and
	// body are those of that response.
	completed bool
	version   string
	text      string
	body      string
	// notRun is set if the last attempt was refused as not run and the client gave up.
	notRun bool
	// unknown is set if the last response says that the outcome is unknown.
	unknown bool
}

// workload is a group of clients that behave as clients should: they fetch node
// addresses, cache them for their TTL, and retry with the same request ID.
type workload struct {
	f       *fleet
	cancel  context.CancelFunc
	clients sync.WaitGroup
	// completed counts the requests with a complete response.
	completed atomic.Int64

	mu       sync.Mutex
	requests []*requestRecord
	notes    []note
}

// note is a step of the fault schedule, as the history shows it.
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

// startWorkload runs clients until stop. The seed determines their requests.
func startWorkload(f *fleet, seed uint64) *workload {
	ctx, cancel := context.WithCancel(context.Background())
	w := &workload{f: f, cancel: cancel}
	for i := range clientCount {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		w.clients.Go(func() { w.run(ctx, i, rng) })
	}
	return w
}

// stop waits until every client has finished its current request.
func (w *workload) stop() {
	w.cancel()
	w.clients.Wait()
}

func (w *workload) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, note{time.Now(), fmt.Sprintf(format, args...)})
}

func (w *workload) run(ctx context.Context, client int, rng *rand.Rand) {
	addresses := &addressCache{f: w.f, rng: rng}
	for n := 0; ctx.Err() == nil; n++ {
		e := &requestRecord{id: fmt.Sprintf("c%d-%d", client, n), kind: requestKind(rng.IntN(int(kindCount))), start: time.Now()}
		e.prompt = "prompt of " + e.id
		if e.kind == kindSession {
			e.session = fmt.Sprintf("s%d", rng.IntN(sessionCount))
		}
		w.mu.Lock()
		w.requests = append(w.requests, e)
		w.mu.Unlock()
		w.sendWithRetries(e, addresses, rng.IntN(2) == 0)
		e.duration = time.Since(e.start)
		if e.completed {
			w.completed.Add(1)
		}
		time.Sleep(thinkTime)
	}
}

// addressCache holds the node addresses that a client has fetched.
type addressCache struct {
	f         *fleet
	rng       *rand.Rand
	addresses []string
	expiresAt time.Time
}

// randomNode returns a node to send a request to. It refreshes expired addresses from
// the first node that responds.
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

// sendWithRetries sends a request until there is a complete response or the client
// gives up. A client without retryNotRun gives up at the first "not run".
func (w *workload) sendWithRetries(e *requestRecord, addresses *addressCache, retryNotRun bool) {
	for range maxAttempts {
		r := w.attempt(e, addresses.randomNode())
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
		case r.ran == "no" && (!retryNotRun || e.kind == kindForbidden):
			e.notRun = true
			return
		}
		time.Sleep(retryDelay)
	}
}

// attemptTimeout bounds one attempt, as a frozen node does not respond.
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

// completionText returns the text of a completion; "" if the body is not a complete
// one.
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
	done := false
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var in struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &in) == nil && len(in.Choices) > 0 {
			text.WriteString(in.Choices[0].Delta.Content)
		}
	}
	if !done {
		return ""
	}
	return text.String()
}

// check verifies the guarantees by the responses to clients, the runs of the backend
// servers and the bills in the ledger.
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

// checkResponse verifies that a client gets the complete response to its own request.
func (w *workload) checkResponse(t testing.TB, e *requestRecord) {
	switch {
	case !e.completed:
	case e.kind == kindForbidden:
		t.Errorf("%s: got a response of a model that the account may not use", e.id)
	case e.kind == kindNonIdempotent:
		if !strings.Contains(e.body, `"echo":"`+e.prompt+`"`) {
			t.Errorf("%s: got the response to another request: %s", e.id, e.body)
		}
	case e.text != standin.CompletionText(e.version, e.prompt, responseTokens):
		t.Errorf("%s: response is incomplete or that to another request: %q by %s", e.id, e.text, e.version)
	}
}

// checkRuns verifies that a request reported as "not run" has not run, and that a
// non-idempotent one ran at most once, and exactly once if it has a response.
func (w *workload) checkRuns(t testing.TB, e *requestRecord, plain, engine []standin.Run) {
	runs := len(plain) + len(engine)
	if e.notRun && runs > 0 {
		t.Errorf("%s (%s): ran although its last attempt was refused as not run: %q", e.id, e.kind, e.attempts)
	}
	if e.kind == kindNonIdempotent && len(plain) > 1 {
		t.Errorf("%s: ran %d times", e.id, len(plain))
	}
	if e.kind == kindNonIdempotent && e.completed && len(plain) != 1 {
		t.Errorf("%s: has a response, but ran %d times", e.id, len(plain))
	}
	if e.kind == kindForbidden && runs > 0 {
		t.Errorf("%s: ran on a model that the account may not use", e.id)
	}
}

// allNotRun reports whether every attempt was refused as not run.
func allNotRun(attempts []string) bool {
	for _, attempt := range attempts {
		if !strings.HasSuffix(attempt, " no") {
			return false
		}
	}
	return true
}

// checkSessions verifies that a session keeps its model version.
func (w *workload) checkSessions(t testing.TB) {
	versions := make(map[string]string)
	for _, e := range w.requests {
		if e.kind != kindSession || !e.completed {
			continue
		}
		if before, ok := versions[e.session]; ok && before != e.version {
			t.Errorf("session %s changed from %s to %s", e.session, before, e.version)
		}
		versions[e.session] = e.version
	}
}

// checkBills verifies that each completed request is billed exactly once. A request
// whose client does not know the outcome may have been billed or not.
func (w *workload) checkBills(t testing.TB) {
	completed, undecided := 0, 0
	for _, e := range w.requests {
		switch {
		case e.kind == kindNonIdempotent || e.kind == kindForbidden:
		case e.completed:
			completed++
		case !allNotRun(e.attempts):
			undecided++
		}
	}
	billed := w.billedRequests()
	for deadline := time.Now().Add(waitTimeout); billed < completed && time.Now().Before(deadline); {
		runFor(100 * time.Millisecond)
		billed = w.billedRequests()
	}
	if billed < completed || billed > completed+undecided {
		t.Errorf("%d requests completed, the outcome of %d more is unknown, and %d were billed", completed, undecided, billed)
		_, out := w.f.runOperatorCommand(w.f.nodes[0], "show", "ledger")
		t.Log(out)
	}
}

// billedRequests returns the number of billed requests that the first responding node
// reports; 0 if none responds.
func (w *workload) billedRequests() int {
	sum := 0
	for _, n := range w.f.nodes {
		if w.f.get(n.operatorAddr, "/health") == nil {
			continue
		}
		for _, total := range w.f.ledgerTotals(n) {
			sum += int(total.Requests)
		}
		return sum
	}
	return 0
}

// summary counts the responses to clients, for the history and the measurements.
func (w *workload) summary() string {
	completed, failed := 0, make(map[string]int)
	for _, e := range w.requests {
		if e.completed {
			completed++
		}
		for _, attempt := range e.attempts {
			if !strings.HasPrefix(attempt, "200") && !strings.HasPrefix(attempt, "202") {
				failed[attempt]++
			}
		}
	}
	var reasons []string
	for reason, n := range failed {
		reasons = append(reasons, fmt.Sprintf("%d× %s", n, reason))
	}
	sort.Strings(reasons)
	return fmt.Sprintf("%d requests, %d completed; failed attempts: %s", len(w.requests), completed, strings.Join(reasons, "; "))
}

// maxHistoryLines is how many lines of the history a failed run prints.
const maxHistoryLines = 60

// printHistory logs the steps of the fault schedule and the requests that did not
// complete at the first attempt.
func (w *workload) printHistory(t testing.TB) {
	t.Log(w.summary())
	var lines []string
	for _, n := range w.notes {
		lines = append(lines, n.at.Format("15:04:05.000")+"  **** "+n.text)
	}
	for _, e := range w.requests {
		if len(e.attempts) > 1 || !e.completed {
			lines = append(lines, fmt.Sprintf("%s  %s %s completed=%t notRun=%t unknown=%t attempts=%q", e.start.Format("15:04:05.000"), e.id, e.kind, e.completed, e.notRun, e.unknown, e.attempts))
		}
	}
	sort.Strings(lines)
	for _, line := range lines[:min(maxHistoryLines, len(lines))] {
		t.Log(line)
	}
}

// runFor lets the workload run for a while under the current fault. It does not
// synchronise anything: the checks must hold whatever happens in that time.
func runFor(d time.Duration) { time.Sleep(d) }

// waitForResponses waits until clients get responses again.
func (w *workload) waitForResponses() {
	w.f.t.Helper()
	before := w.completed.Load()
	w.f.waitFor("responses to clients", func() bool { return w.completed.Load() >= before+2*clientCount })
}
