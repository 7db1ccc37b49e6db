package claim_test

import (
	"fmt"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// largeView is one region of 160 nodes in three data halls.
func largeView() *view.View {
	var members []view.Member
	for i := range 160 {
		members = append(members, member(fmt.Sprintf("north-entry-%03d", i), fmt.Sprintf("hall-%d", i%3)))
	}
	return view.Empty().Change(members, nil)
}

func BenchmarkReplicas(b *testing.B) {
	v := largeView()
	for i := 0; b.Loop(); i++ {
		v.Replicas("home", fmt.Sprint("home/desk/request/", i))
	}
}

// staticView is a ViewSource whose view does not change.
type staticView struct{ v *view.View }

func (f staticView) Current() *view.View      { return f.v }
func (f staticView) Changed() <-chan struct{} { return nil }
func (f staticView) Dead(view.Member) bool    { return false }

func BenchmarkVote(b *testing.B) {
	v := view.Empty().Change([]view.Member{member("a", "north")}, nil)
	id := v.Members()[0].ID
	r := claim.NewReplica(id, staticView{v}, nil, timer.New(), claim.WithMemoryLimit(1<<40))
	r.SetView(v)
	for i := 0; b.Loop(); i++ {
		r.Claim(claim.Request{Epoch: 1, Replica: id, Entry: testEntry(i)})
	}
}

func testEntry(i int) claim.Entry {
	return claim.Entry{
		Key:     claim.Key{Region: "home", Account: "dispatch-desk", ID: fmt.Sprintf("01a236ac-b9db-773d-a9a6-%012d", i)},
		Token:   fmt.Sprintf("01a236ac-b9db-773d-a9a6-%012d/0", i),
		Holder:  claim.Holder{ID: "north-entry-001#dna8l50ic87m", Peer: "10.0.0.1:8301"},
		Expires: farFuture,
	}
}

// BenchmarkEntryMemory reports the heap bytes that one stored claim takes.
func BenchmarkEntryMemory(b *testing.B) {
	slog.SetLogLoggerLevel(slog.LevelError)
	const entries = 50_000
	for b.Loop() {
		v := view.Empty().Change([]view.Member{member("a", "north")}, nil)
		id := v.Members()[0].ID
		r := claim.NewReplica(id, staticView{v}, nil, timer.New(), claim.WithMemoryLimit(1<<40))
		r.SetView(v)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range entries {
			r.Claim(claim.Request{Epoch: 1, Replica: id, Entry: testEntry(i)})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/entries, "bytes/claim")
		runtime.KeepAlive(r)
	}
}

// BenchmarkTransfer transfers the ranges that move when one member of 160 leaves,
// with 25,000 claims at the replica that is read.
func BenchmarkTransfer(b *testing.B) {
	slog.SetLogLoggerLevel(slog.LevelError)
	before := largeView()
	after := before.Change(nil, []string{before.Members()[7].ID})
	id := before.Members()[0].ID
	for b.Loop() {
		b.StopTimer()
		r := claim.NewReplica(id, staticView{before}, nil, timer.New(), claim.WithMemoryLimit(1<<40))
		r.SetView(before)
		for i, granted := 0, 0; granted < 25_000; i++ {
			reply := r.Claim(claim.Request{Epoch: 1, Replica: id, Entry: testEntry(i)})
			if reply.Verdict == claim.VerdictGranted {
				granted++
			}
		}
		r.SetView(after)
		b.StartTimer()
		start := time.Now()
		r.Transfer(claim.TransferRequest{Epoch: 2, Requester: after.Members()[1].ID, Source: id})
		first := time.Since(start)
		for _, m := range after.Members()[2:] {
			r.Transfer(claim.TransferRequest{Epoch: 2, Requester: m.ID, Source: id})
		}
		b.ReportMetric(float64(first.Microseconds()), "us-first")
	}
}
