package e2e_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/internal/standin"
)

// measureFlag enables the measurements of docs/MEASUREMENTS.md. They report figures
// and set no limits on them, so they run only on request:
//
//	go test ./e2e -run TestMeasure/path -measure -v
var measureFlag = flag.Bool("measure", false, "run the measurements")

func TestMeasure(t *testing.T) {
	if !*measureFlag {
		t.Skip("run with -measure")
	}
	t.Run("path", measurePath)
	t.Run("rate", measureRate)
	t.Run("tokens", measureTokens)
	t.Run("apply", measureApply)
	t.Run("nodes", measureNodes)
	t.Run("servers", measureServers)
	t.Run("calls", measureCalls)
	t.Run("faults", measureFaults)
	t.Run("outage", measureOutage)
}

// latencies holds the times of one kind of call in microseconds: to the first event
// and to the end of the response.
type latencies struct {
	firstEvent, total *hdrhistogram.Histogram
}

func newLatencies() latencies {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }
	return latencies{firstEvent: histogram(), total: histogram()}
}

// timeStream sends one streaming request and records its times.
func (m latencies) timeStream(t testing.TB, address, key, model string) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"Route for 14 drops"}]}`, model)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	must.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	start := time.Now()
	response, err := httpClient.Do(request)
	must.NoError(t, err)
	defer response.Body.Close()
	must.Eq(t, http.StatusOK, response.StatusCode)
	scanner := bufio.NewScanner(response.Body)
	first := true
	for scanner.Scan() {
		if first && strings.HasPrefix(scanner.Text(), "data:") {
			_ = m.firstEvent.RecordValue(time.Since(start).Microseconds())
			first = false
		}
	}
	_ = m.total.RecordValue(time.Since(start).Microseconds())
}

// tableRow formats p50, p95 and p99 of both times in milliseconds.
func (m latencies) tableRow(name string) string {
	quantileMillis := func(h *hdrhistogram.Histogram, p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	return fmt.Sprintf("| %s | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |", name,
		quantileMillis(m.firstEvent, 50), quantileMillis(m.firstEvent, 95), quantileMillis(m.firstEvent, 99),
		quantileMillis(m.total, 50), quantileMillis(m.total, 95), quantileMillis(m.total, 99))
}

// measurePath compares a call through a node with one directly to the engine. The two
// alternate within one run.
func measurePath(t *testing.T) {
	f := newFleet(t, fleetSpec{halls: 3, nodesPerHall: 2, engines: 1, plainServices: 1, engineArgs: []string{"--token-ms", "2", "--tokens", "32", "--slots", "64"}})
	direct, viaNode := newLatencies(), newLatencies()
	const rounds = 400
	for i := range rounds + 20 {
		if i == 20 {
			direct, viaNode = newLatencies(), newLatencies()
		}
		direct.timeStream(t, f.engineAddrs[0], "", "brief@v1")
		viaNode.timeStream(t, f.nodes[i%6].clientAddr, accountKey, "brief")
	}
	t.Logf("\n| %d streams each, alternating | first event p50 ms | p95 | p99 | total p50 | p95 | p99 |\n|---|---|---|---|---|---|---|\n%s\n%s",
		rounds, direct.tableRow("direct to the engine"), viaNode.tableRow("through a node"))
}

// measureRate measures the requests that a node serves per second of CPU time, its
// memory, and the peer calls per request.
func measureRate(t *testing.T) {
	f := newFleet(t, fleetSpec{halls: 3, nodesPerHall: 1, engines: 3, plainServices: 1, engineArgs: []string{"--token-ms", "0", "--prefill-ms", "0", "--slots", "512"}})
	f.apply(f.newConfig(func(c *config.Config) {
		for i := range c.Pools[0].Servers {
			c.Pools[0].Servers[i].Slots = 512
		}
	}))
	var lines []string
	for _, mode := range []string{"idle", "generated id", "given id", "session", "proof"} {
		before := f.scrapeMetrics()
		var done atomic.Int64
		start := time.Now()
		f.generateLoad(mode, 24, 6*time.Second, &done)
		after := f.scrapeMetrics()
		seconds := time.Since(start).Seconds()
		cpu := after.total("process_cpu_seconds_total") - before.total("process_cpu_seconds_total")
		calls := after.total("violettally_peer_calls_total") - before.total("violettally_peer_calls_total")
		bytes := after.total("violettally_peer_sent_bytes_total") - before.total("violettally_peer_sent_bytes_total")
		n := float64(max(1, done.Load()))
		lines = append(lines, fmt.Sprintf("| %s | %.0f | %.3f | %.0f | %.2f | %.1f | %.0f | %.0f |", mode, float64(done.Load())/seconds, cpu/seconds/3,
			float64(done.Load())/max(cpu, 0.001), cpu/n*1000, calls/n, bytes/n, after.total("process_resident_memory_bytes")/3/1e6))
	}
	t.Logf("\n| 3 nodes | requests/s | cores per node | requests per core second | CPU ms per request | peer calls per request | peer bytes per request | resident MB per node |\n|---|---|---|---|---|---|---|---|\n%s", strings.Join(lines, "\n"))
}

// generateLoad runs clients for a while that send requests without a pause, to all
// nodes in turn. It adds the successful ones to done.
func (f *fleet) generateLoad(mode string, clients int, d time.Duration, done *atomic.Int64) {
	if mode == "idle" {
		time.Sleep(d)
		return
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				path, body := "/v1/chat/completions", chatBody("brief", "Route for 14 drops")
				if mode == "proof" {
					path, body = "/v1/services/records/proofs", "{}"
				}
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.nodes[n%len(f.nodes)].clientAddr+path, strings.NewReader(body))
				must.NoError(f.t, err)
				request.Header.Set("Authorization", "Bearer "+accountKey)
				switch mode {
				case "given id", "proof":
					request.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d-%d", strings.ReplaceAll(mode, " ", ""), i, n))
				case "session":
					request.Header.Set("X-Session-Id", fmt.Sprintf("s-%d", i))
				}
				response, err := client.Do(request)
				if err != nil {
					continue
				}
				scanner := bufio.NewScanner(response.Body)
				for scanner.Scan() {
				}
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					done.Add(1)
				}
			}
		})
	}
	group.Wait()
}

// metricTotals holds the metrics of all nodes, summed over nodes and labels, by name.
// Metrics with a call label are also summed by name and call, under "name/call".
type metricTotals map[string]float64

func (s metricTotals) total(name string) float64 { return s[name] }

// scrapeMetrics reads the metrics of every node.
func (f *fleet) scrapeMetrics() metricTotals {
	all := make(metricTotals)
	for _, n := range f.nodes {
		for _, line := range strings.Split(string(f.get(n.operatorAddr, "/metrics")), "\n") {
			if strings.HasPrefix(line, "#") || line == "" {
				continue
			}
			valueSep := strings.LastIndexByte(line, ' ')
			if valueSep < 0 {
				continue
			}
			name, _, _ := strings.Cut(line[:valueSep], "{")
			value, _ := strconv.ParseFloat(line[valueSep+1:], 64)
			all[name] += value
			if call := labelValue(line, "call"); call != "" {
				all[name+"/"+call] += value
			}
		}
	}
	return all
}

// labelValue returns the value of a label in a metric's line; "" if it has none.
func labelValue(line, name string) string {
	_, rest, ok := strings.Cut(line, name+`="`)
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

// measureTokens measures the CPU time per streamed token.
func measureTokens(t *testing.T) {
	var lines []string
	for _, tokens := range []int{64, 256, 1024} {
		f := newFleet(t, fleetSpec{halls: 3, nodesPerHall: 1, engines: 3, plainServices: 1, engineArgs: []string{"--token-ms", "1", "--prefill-ms", "0", "--slots", "512", "--tokens", fmt.Sprint(tokens)}})
		const clients, rounds = 48, 4
		before := f.scrapeMetrics()
		m := newLatencies()
		var mu sync.Mutex
		var group sync.WaitGroup
		for i := range clients {
			group.Go(func() {
				for range rounds {
					sample := newLatencies()
					sample.timeStream(t, f.nodes[i%3].clientAddr, accountKey, "brief")
					mu.Lock()
					m.firstEvent.Merge(sample.firstEvent)
					m.total.Merge(sample.total)
					mu.Unlock()
				}
			})
		}
		group.Wait()
		cpu := f.scrapeMetrics().total("process_cpu_seconds_total") - before.total("process_cpu_seconds_total")
		lines = append(lines, fmt.Sprintf("| %d | %.2f | %.1f |", tokens, cpu/(clients*rounds)*1000, cpu/(clients*rounds*float64(tokens))*1e6))
		f.killAll()
	}
	t.Logf("\n| tokens in a response | CPU ms per request | CPU us per token |\n|---|---|---|\n%s", strings.Join(lines, "\n"))
}

// measureApply measures the time from the start of an apply until every node has the
// revision in force. Half of the nodes have no watch of their own.
func measureApply(t *testing.T) {
	f := newFleet(t, fleetSpec{halls: 3, nodesPerHall: 4, engines: 1, plainServices: 1})
	var times []float64
	for i := range 20 {
		file := f.writeConfig(f.newConfig(func(c *config.Config) { c.Accounts[0].Limits.Burst = i }))
		start := time.Now()
		code, out := f.runOperatorCommand(f.nodes[i%len(f.nodes)], "apply", file)
		must.Eq(t, 0, code, must.Sprint(out))
		for !f.revisionInForce(i+2, f.nodes...) {
			time.Sleep(time.Millisecond)
		}
		times = append(times, time.Since(start).Seconds()*1000)
	}
	sort.Float64s(times)
	t.Logf("12 nodes, 20 applies: from the command until in force on every node, p50 %.0f ms, p95 %.0f ms, max %.0f ms (including the polling of 12 nodes)", times[10], times[18], times[19])
}

// measureNodes measures the cost of the control plane to an idle node, by the size of
// the fleet.
func measureNodes(t *testing.T) {
	var lines []string
	for _, perHall := range []int{1, 2, 4, 8, 12} {
		f := newFleet(t, fleetSpec{halls: 3, nodesPerHall: perHall, engines: 2, plainServices: 1})
		time.Sleep(3 * time.Second)
		before := f.scrapeMetrics()
		const seconds = 10
		time.Sleep(seconds * time.Second)
		after := f.scrapeMetrics()
		nodes := float64(3 * perHall)
		perNode := func(name string) float64 { return (after.total(name) - before.total(name)) / nodes / seconds }
		lines = append(lines, fmt.Sprintf("| %.0f | %.2f%% | %.1f | %.1f | %.0f | %.2f | %.1f |", nodes, 100*perNode("process_cpu_seconds_total"),
			perNode("violettally_peer_calls_total"), perNode("violettally_peer_calls_total/probe"), perNode("violettally_peer_sent_bytes_total"),
			(after.total("violettally_platform_calls_total")-before.total("violettally_platform_calls_total"))/seconds, after.total("process_resident_memory_bytes")/nodes/1e6))
		f.killAll()
	}
	t.Logf("\n| nodes | core per node | peer calls/s per node | of these, probes | peer bytes/s per node | platform calls/s, all nodes | resident MB per node |\n|---|---|---|---|---|---|---|\n%s", strings.Join(lines, "\n"))
}

// measureServers measures what it costs an idle node to track the load of backend
// servers.
func measureServers(t *testing.T) {
	var lines []string
	for _, servers := range []int{2, 10, 20} {
		f := newFleet(t, fleetSpec{halls: 3, nodesPerHall: 1, engines: servers, plainServices: 1})
		time.Sleep(3 * time.Second)
		before := f.scrapeMetrics()
		const seconds = 10
		time.Sleep(seconds * time.Second)
		after := f.scrapeMetrics()
		perNode := func(name string) float64 { return (after.total(name) - before.total(name)) / 3 / seconds }
		lines = append(lines, fmt.Sprintf("| %d | %.2f%% | %.1f |", servers+1, 100*perNode("process_cpu_seconds_total"), perNode("violettally_load_reports_total")))
		f.killAll()
	}
	t.Logf("\n| backend servers | core per node | load reports/s per node |\n|---|---|---|\n%s", strings.Join(lines, "\n"))
}

// killAll kills the nodes and backend servers before the end of the test, to free the
// machine for the next fleet.
func (f *fleet) killAll() {
	for _, n := range f.nodes {
		n.kill()
	}
	for _, b := range f.backends {
		b.kill()
	}
}

// measureFaults reports what clients see around each single fault.
func measureFaults(t *testing.T) {
	var lines []string
	for i, fault := range faults {
		w := runFault(t, fault, uint64(i))
		lines = append(lines, fmt.Sprintf("| %s | %s |", fault.name, w.tableRow()))
		w.f.killAll()
	}
	t.Logf("\n| fault | requests | completed at first attempt | completed after retries | refused, not run | unknown | total p50 ms | p95 | max |\n|---|---|---|---|---|---|---|---|---|\n%s", strings.Join(lines, "\n"))
}

// measureOutage takes the platform down for two minutes. A node is killed after 60 s
// and restarted after 90 s.
func measureOutage(t *testing.T) {
	f := newFleet(t, faultSpec)
	w := startWorkload(f, 5)
	w.waitForResponses()
	before := f.scrapeMetrics()
	f.setFault(f.kvAddr, standin.Fault{Down: true})
	time.Sleep(time.Minute)
	middle := f.scrapeMetrics()
	f.nodes[2].kill()
	time.Sleep(30 * time.Second)
	f.restartNode(f.nodes[2])
	time.Sleep(30 * time.Second)
	f.setFault(f.kvAddr, standin.Fault{})
	f.waitReady(f.nodes...)
	w.waitForResponses()
	w.stop()
	w.check(t)
	t.Logf("\n| fault | requests | completed at first attempt | completed after retries | refused, not run | unknown | total p50 ms | p95 | max |\n|---|---|---|---|---|---|---|---|---|\n| platform down for 120 s, a node down from 60 to 90 s | %s |", w.tableRow())
	t.Logf("%s", w.summary())
	t.Logf("claims and bills held per node: %.0f before, %.0f after 60 s; resident %.1f and %.1f MB", before.total("violettally_claims")/6, middle.total("violettally_claims")/6, before.total("process_resident_memory_bytes")/6e6, middle.total("process_resident_memory_bytes")/6e6)
	f.killAll()
}

// measureCalls breaks the calls between nodes down by kind, for different request
// rates and numbers of accounts that have limits and send requests.
func measureCalls(t *testing.T) {
	kinds := []string{"probe", "claim", "advance", "release", "lookup", "attach", "limit"}
	var lines []string
	add := func(name string, f *fleet, run func(done *atomic.Int64)) {
		before := f.scrapeMetrics()
		var done atomic.Int64
		start := time.Now()
		run(&done)
		after := f.scrapeMetrics()
		seconds := time.Since(start).Seconds()
		line := fmt.Sprintf("| %s | %.0f |", name, float64(done.Load())/seconds)
		for _, kind := range kinds {
			calls := after.total("violettally_peer_calls_total/"+kind) - before.total("violettally_peer_calls_total/"+kind)
			bytes := after.total("violettally_peer_sent_bytes_total/"+kind) - before.total("violettally_peer_sent_bytes_total/"+kind)
			line += fmt.Sprintf(" %.1f / %.0f |", calls/seconds, bytes/seconds)
		}
		cpu := after.total("process_cpu_seconds_total") - before.total("process_cpu_seconds_total")
		lines = append(lines, line+fmt.Sprintf(" %.1f |", 100*cpu/seconds))
	}
	f := newFleet(t, fleetSpec{halls: 3, nodesPerHall: 2, engines: 2, plainServices: 1, engineArgs: []string{"--token-ms", "0", "--prefill-ms", "0", "--slots", "512"}})
	for _, mode := range []string{"idle", "generated id", "given id", "proof"} {
		for _, clients := range []int{2, 8} {
			if mode == "idle" && clients > 2 {
				continue
			}
			add(fmt.Sprintf("%s, %d clients", mode, clients), f, func(done *atomic.Int64) { f.generateLoad(mode, clients, 4*time.Second, done) })
		}
	}
	f.killAll()
	for _, accounts := range []int{1, 10, 40} {
		f := newFleet(t, fleetSpec{halls: 3, nodesPerHall: 2, engines: 2, plainServices: 1, engineArgs: []string{"--token-ms", "0", "--prefill-ms", "0"}, editConfig: func(c *config.Config) {
			for i := range accounts {
				c.Accounts = append(c.Accounts, config.Account{Name: fmt.Sprint("limited-", i), Keys: []string{config.Digest(fmt.Sprint("limited-", i))}, Models: []string{"brief"}, Limits: config.Limits{RequestsPerSecond: 1000}})
			}
		}})
		f.generateAccountLoad(accounts, 3*time.Second)
		add(fmt.Sprintf("%d accounts with limits, 5 requests/s each", accounts), f, func(done *atomic.Int64) { done.Add(f.generateAccountLoad(accounts, 5*time.Second)) })
		f.killAll()
	}
	t.Logf("\n| 6 nodes in total, per second | requests | %s | %% of a core |\n|---|---|%s---|\n%s", strings.Join(kinds, " calls / bytes | ")+" calls / bytes", strings.Repeat("---|", len(kinds)), strings.Join(lines, "\n"))
}

// generateAccountLoad sends up to five requests per second for each account, to all
// nodes in turn, and returns how many completed.
func (f *fleet) generateAccountLoad(accounts int, d time.Duration) int64 {
	var done atomic.Int64
	var group sync.WaitGroup
	for i := range accounts {
		group.Go(func() {
			for n, start := 0, time.Now(); time.Since(start) < d; n++ {
				r := f.chat(f.nodes[n%len(f.nodes)], "brief", "x", "Authorization", fmt.Sprint("Bearer limited-", i))
				if r.complete() {
					done.Add(1)
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return done.Load()
}

// tableRow sums up a workload for the tables of measureFaults and measureOutage.
func (w *workload) tableRow() string {
	firstAttempt, afterRetries, refused, unknown, total := 0, 0, 0, 0, 0
	h := hdrhistogram.New(1, 120_000_000, 3)
	for _, e := range w.requests {
		if e.kind == kindForbidden {
			continue
		}
		total++
		switch {
		case e.completed && (len(e.attempts) == 1 || e.kind == kindAsync):
			firstAttempt++
		case e.completed:
			afterRetries++
		case e.unknown:
			unknown++
		default:
			refused++
		}
		if e.completed && e.kind != kindAsync {
			_ = h.RecordValue(e.duration.Microseconds())
		}
	}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return fmt.Sprintf("%d | %d | %d | %d | %d | %.0f | %.0f | %.0f", total, firstAttempt, afterRetries, refused, unknown, ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(95)), ms(h.Max()))
}
