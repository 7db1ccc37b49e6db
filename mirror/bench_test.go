package mirror_test

import (
	"testing"

	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/timer"
)

// BenchmarkNeedsRefresh measures the check of the copy's age before a request's first
// byte.
func BenchmarkNeedsRefresh(b *testing.B) {
	m := mirror.New(newStore(), &peers{}, timer.New())
	b.ReportAllocs()
	for b.Loop() {
		m.NeedsRefresh()
	}
}
