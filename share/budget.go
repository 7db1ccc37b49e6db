package share

import (
	"math"
	"time"
)

const (
	// minWorkMillis is the least work that is published: shorter work is over before
	// other nodes learn of it, and their requests wait little for it.
	minWorkMillis = 20.0
	// prefillWeight is how much more the prefill of a shared prompt counts than other work:
	// other requests with that prompt need no prefill if they go to the same server, which
	// other nodes choose once they have the record.
	prefillWeight = 2.5
	// maxRecordsPerSecond bounds the requests that all nodes publish together. At some
	// 45 bytes each, a node receives 36 kB a second, however many nodes there are, and a
	// node in the middle of a tree sends eight times as much, a quarter of a link of
	// 10 Mbit/s. The fewer are published, the longer requests wait at servers that other
	// nodes have filled.
	maxRecordsPerSecond = 800.0
	// thresholdStep is the relative rise of the threshold with each published record.
	thresholdStep = 0.05
)

// budget decides which requests are published: it raises the threshold of their work until
// the node publishes no more than its share. Its zero value is ready to use. It is not safe
// for concurrent use.
type budget struct {
	threshold float64
	updated   time.Time
}

// allows reports whether a request with this work, in milliseconds, is published by one of
// the given number of nodes, and counts it if so.
func (b *budget) allows(workMillis float64, nodes int, now time.Time) bool {
	rate := maxRecordsPerSecond / float64(max(1, nodes))
	decay := math.Exp(-rate * math.Log1p(thresholdStep) * now.Sub(b.updated).Seconds())
	b.threshold, b.updated = math.Max(minWorkMillis, b.threshold*decay), now
	if workMillis < b.threshold {
		return false
	}
	b.threshold *= 1 + thresholdStep
	return true
}
