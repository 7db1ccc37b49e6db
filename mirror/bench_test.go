package mirror_test

import (
	"testing"

	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/timer"
)

// BenchmarkNeedsRefresh is the look at the news before a request's first byte.
func BenchmarkNeedsRefresh(b *testing.B) {
	m := mirror.New(newStore(), &peers{}, timer.New())
	b.ReportAllocs()
	for b.Loop() {
		m.NeedsRefresh()
	}
}
