package rollout

import (
	"log/slog"
	"time"

	"github.com/violettally/violettally/config"
)

// evidence holds the tests of one candidate. The guards may disable all but the first.
type evidence struct {
	bad SequentialTest
	// slightlyWorse is the test with the smaller StrictBadIncrease: the other one does not detect a few failures
	// in many answers.
	slightlyWorse SequentialTest
	// slow is the test on slow answers, slowInFirstStage the one on those that are slow by the finer measure.
	slow, slowInFirstStage SequentialTest
}

// updateBad adds the counts to the tests on bad answers, and reports whether the candidate must be stopped.
func (e *evidence) updateBad(r *config.Rollout, candidate, baseline Count) (stop bool) {
	strict := r.Guards
	strict.MaxBadIncrease = strict.StrictBadIncrease
	return e.bad.Update(r.Guards, r.TotalMinSamples(), candidate, baseline) ||
		strict.StrictBadIncrease > 0 && e.slightlyWorse.Update(strict, r.TotalMinSamples(), candidate, baseline)
}

// updateSlow adds the counts to the tests on slow answers, if the guards limit them, and reports whether the
// candidate must be stopped.
func (e *evidence) updateSlow(r *config.Rollout, stage int, candidate, baseline Count) (stop bool) {
	if r.Guards.MaxSlowIncrease == 0 {
		return false
	}
	stop = updateSlowTest(&e.slow, r, r.Guards.MaxSlowIncrease, r.Guards.MinSlowBaseline, candidate, baseline)
	if r.Guards.StrictSlowIncrease > 0 && stage == 0 {
		candidate.Slow, baseline.Slow = candidate.SlowFine, baseline.SlowFine
		strict := updateSlowTest(&e.slowInFirstStage, r, r.Guards.StrictSlowIncrease, r.Guards.StrictSlowBaseline, candidate, baseline)
		stop = stop || strict
	}
	return stop
}

// updateSlowTest adds the slow answers to a test, with the tolerated increase of their rate. The rate in service
// counts as leastRate at least.
func updateSlowTest(t *SequentialTest, r *config.Rollout, increase, leastRate float64, candidate, baseline Count) (stop bool) {
	guards := r.Guards
	guards.MaxBadIncrease = increase
	candidate.Bad = candidate.Slow
	baseline.Bad = max(baseline.Slow, int64(leastRate*float64(baseline.Answers)))
	return t.Update(guards, r.TotalMinSamples(), candidate, baseline)
}

// mayPass reports whether a rollout may leave its stage. It may not while the answers, or the latest ones, rather
// speak against the candidate, nor leave the first stage before enough of them speak for it.
func (e *evidence) mayPass(g config.Guards, stage int) bool {
	if e.bad.SpeaksAgainst(g) || e.slow.SpeaksAgainst(g) {
		return false
	}
	return g.StrictSlowIncrease == 0 || stage > 0 || e.slowInFirstStage.SpeaksFor()
}

// log logs what a running rollout is judged by.
func (e *evidence) log(model string, p Progress, candidate, baseline Count, now time.Time) {
	slog.Info("rollout evidence", "model", model, "version", p.Version, "stage", p.Stage, "stage_ms", now.Sub(p.StageSince).Milliseconds(),
		"share", p.Share, "bad_score", e.bad.Score(), "slow_score", e.slow.Score(), "first_stage_score", e.slowInFirstStage.sprt,
		"answers", candidate.Answers, "bad", candidate.Bad, "slow", candidate.Slow, "slow_fine", candidate.SlowFine,
		"running", candidate.Running, "in_service_answers", baseline.Answers, "in_service_bad", baseline.Bad,
		"in_service_slow", baseline.Slow, "in_service_slow_fine", baseline.SlowFine, "in_service_running", baseline.Running)
}
