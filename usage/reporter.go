package usage

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/timer"
)

// Platform receives the reports.
type Platform interface {
	// ReportUsage sends the counts of a window under a fencing token.
	ReportUsage(ctx context.Context, token, window int64, counts Counts) error
}

// Store is the part of the platform's store that the package uses. Get may return an older
// value than the latest; Swap then fails.
type Store interface {
	Get(ctx context.Context, key string) (data []byte, revision int64, err error)
	Swap(ctx context.Context, key string, data []byte, expected int64) (revision int64, won bool, err error)
}

// Lease reports whether this node holds the lease for at least another d, and its fencing
// token.
type Lease interface {
	Held(d time.Duration) (token int64, ok bool)
}

// Options are the dependencies of a Reporter. All are required except Count.
type Options struct {
	// Key is the key in the store that holds the last report.
	Key      string
	Windows  Windows
	Clock    Clock
	Tally    *Tally
	Platform Platform
	Store    Store
	Lease    Lease
	Timers   *timer.Service
	// Count is called with the result of each report.
	Count func(Result)
}

//go:generate go tool enumer -type=Result -trimprefix=Result -transform=snake -output=usage_enumer.go

// Result is what became of the report on a window.
type Result int

// The results.
const (
	// ResultReported is a report that the platform has accepted.
	ResultReported Result = iota
	// ResultFailed is a call that the platform refused or did not respond to.
	ResultFailed
	// ResultGivenUp is a window whose report is too late to be of use, or of which nothing
	// is known.
	ResultGivenUp
)

const (
	// stepInterval is the time between two looks at what is to be reported.
	stepInterval = 500 * time.Millisecond
	// settleTime is how long after the end of a window its last counts are collected: until
	// servers have begun to respond to the requests that they began to run in it.
	settleTime = time.Second
	// callTimeout bounds one call to the platform or its store. The lease must outlast it.
	callTimeout = time.Second
	// maxClockAhead is how far the clock of another node may be ahead of this one's.
	maxClockAhead = time.Hour
	// maxCountedWindows bounds the windows that are counted as given up at once.
	maxCountedWindows = 10_000
)

// report is the stored report of one window. Its fields are exported for the codec.
type report struct {
	Window int64  `json:"window"`
	Counts Counts `json:"counts"`
	// Unknown means that nothing is known of the window, so that it is not reported.
	Unknown bool `json:"unknown,omitempty"`
	// Token is the fencing token under which the report was written, for operators.
	Token int64 `json:"token"`
}

// Reporter reports the counts of all windows, one after the other, while this node holds
// the lease.
type Reporter struct {
	Options
	// first is the window to begin with if none has ever been reported.
	first int64
	// written is the last report that this reporter has written, at revision writtenAt.
	written   report
	writtenAt int64
	// delivered is the last window whose report the platform has accepted from this
	// reporter, since it last acquired the lease.
	delivered int64
	// passedOver is the last window that was given up because its time was over, and
	// unreadable the revision of the last stored report that could not be read.
	passedOver, unreadable int64
}

// NewReporter returns a reporter that begins with the present window if no report has ever
// been made.
func NewReporter(o Options) *Reporter {
	if o.Count == nil {
		o.Count = func(Result) {}
	}
	return &Reporter{Options: o, first: o.Windows.At(o.Clock.Now())}
}

// Run makes reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	r.Timers.Every(ctx, stepInterval, func() { r.step(ctx) })
}

// step makes at most one report. A window is reported in two calls: its figures are written
// to the store, and then sent to the platform.
func (r *Reporter) step(ctx context.Context) {
	token, held := r.Lease.Held(callTimeout)
	if !held {
		r.delivered = 0
		return
	}
	last, revision, known := r.last(ctx)
	now := r.Clock.Now()
	if known && !last.Unknown && last.Window != r.delivered && last.Window >= r.Windows.Oldest(now) {
		r.send(ctx, last)
		return
	}
	window := r.nextWindow(last, known, now)
	if due := r.Windows.End(window).Add(settleTime); now.Before(due) || r.Tally.CollectedAt().Before(due) {
		return
	}
	counts, complete := r.Tally.Sum(window)
	next := report{Window: window, Counts: counts, Unknown: !complete, Token: token}
	if !r.write(ctx, next, revision) {
		return
	}
	if next.Unknown {
		slog.Warn("nothing is known of the usage in a window; it is not reported", "window", window)
		r.Count(ResultGivenUp)
		return
	}
	r.send(ctx, next)
}

// nextWindow returns the window to report after the last one. Windows whose report would be
// of no use any more are passed over.
func (r *Reporter) nextWindow(last report, known bool, now time.Time) int64 {
	if !known {
		last.Window = r.first - 1
	}
	oldest := r.Windows.Oldest(now)
	if next := max(last.Window, r.passedOver) + 1; next < oldest {
		slog.Warn("usage is not reported any more; its time is over", "window", next, "last_window", oldest-1)
		for range min(oldest-next, maxCountedWindows) {
			r.Count(ResultGivenUp)
		}
		r.passedOver = oldest - 1
	}
	return max(last.Window+1, oldest)
}

// last returns the last report that was written, by any node, with the revision to replace
// it at.
func (r *Reporter) last(ctx context.Context) (last report, revision int64, known bool) {
	data, revision, err := r.Store.Get(ctx, r.Key)
	switch {
	case err != nil || revision < r.writtenAt:
		return r.written, r.writtenAt, r.writtenAt > 0
	case revision == 0:
		return report{}, 0, false
	}
	err = json.Unmarshal(data, &last)
	if newest := r.Windows.At(r.Clock.Now().Add(maxClockAhead)); err == nil && (last.Window < 0 || last.Window > newest) {
		err = errs.New(Unreadable, "last", "window %d is later than %d", last.Window, newest)
	}
	if err != nil {
		r.skipUnreadable(revision, err)
		return report{}, revision, false
	}
	return last, revision, true
}

// skipUnreadable goes on with the present window when the last report cannot be read. That
// one was written after its window had ended, so the present window was never reported.
func (r *Reporter) skipUnreadable(revision int64, err error) {
	if r.unreadable == revision {
		return
	}
	r.unreadable = revision
	r.first = r.Windows.At(r.Clock.Now())
	slog.Error("last usage report cannot be read; going on with the present window", "window", r.first,
		"error", errs.Wrap(Unreadable, "last", err, "key %s", r.Key), "revision", revision)
}

// write stores a report, if the last one still has the given revision. If that is not sure,
// it returns false, and the next step reads what the store holds.
func (r *Reporter) write(ctx context.Context, next report, revision int64) bool {
	data, err := json.Marshal(next)
	if err != nil {
		slog.Error("usage report cannot be encoded", "window", next.Window, "error", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	writtenAt, won, err := r.Store.Swap(ctx, r.Key, data, revision)
	if err != nil || !won {
		slog.Info("usage report not written; reading it again", "window", next.Window, "won", won, "error", err)
		return false
	}
	r.written, r.writtenAt = next, writtenAt
	return true
}

// send sends a stored report, if the lease is still held: what came before may have taken long.
func (r *Reporter) send(ctx context.Context, stored report) {
	token, held := r.Lease.Held(callTimeout)
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.Platform.ReportUsage(ctx, token, stored.Window, stored.Counts)
	late := r.Clock.Now().Sub(r.Windows.End(stored.Window)).Milliseconds()
	if err != nil {
		r.Count(ResultFailed)
		slog.Warn("usage report failed", "window", stored.Window, "token", token, "after_end_ms", late, "error", err)
		return
	}
	r.Count(ResultReported)
	r.delivered = stored.Window
	slog.Info("usage reported", "window", stored.Window, "token", token, "written_under", stored.Token,
		"accounts", len(stored.Counts), "requests", stored.Counts.total(), "after_end_ms", late)
}
