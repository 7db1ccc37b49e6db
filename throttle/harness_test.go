package throttle_test

import (
	"time"

	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/owner"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/throttle"
	"github.com/violettally/violettally/timer"
)

// limiter is a limiter with the board that it knows limits from.
type limiter struct {
	*throttle.Limiter
	board *notice.Board
}

func newLimiter(roster *owner.Roster, timers *timer.Service, options ...notice.Option) *limiter {
	board := notice.New(roster, timers, options...)
	return &limiter{throttle.New(board, roster, timers), board}
}

// Observe records an answer that names a limit, to a request that has just been sent.
func (l *limiter) Observe(s registry.Server, perSecond float64) { l.ObserveAnswer(s, perSecond, 0) }

// ObserveAnswer records an answer that names a limit, to a request that was sent so long ago.
func (l *limiter) ObserveAnswer(s registry.Server, perSecond float64, sentAgo time.Duration) {
	l.board.Observe(s, notice.Answer{Notices: []notice.Notice{{Kind: notice.KindRequestLimit, Value: perSecond}}, SentAgo: sentAgo})
}

// ObserveReport records another node's report of a limit.
func (l *limiter) ObserveReport(server uint64, perSecond float64, age time.Duration) {
	l.board.ObserveReport(notice.Report{Server: server, Kind: notice.KindRequestLimit, Value: perSecond, Age: age})
}

// Limit returns the known limit of a server.
func (l *limiter) Limit(s registry.Server) float64 { return l.board.State(&s).RequestLimit }

// CountLimited returns the number of servers with a known limit.
func (l *limiter) CountLimited() int { return l.board.Count(notice.KindRequestLimit) }
