package planner

import (
	"time"

	"auburnstack/core/roster"
)

const (
	// drainMargin is the time before the announced shutdown of a worker by which its runs must have ended.
	drainMargin = 500 * time.Millisecond
	// hopelessExcess is the least time by which a run without checkpoints must be expected to outlast its worker before it
	// is stopped. Durations are estimates, and many workers stay longer than they announce.
	hopelessExcess = 1500 * time.Millisecond
)

// setRemaining records the time that a draining worker has announced to stay at least.
func (w *worker) setRemaining(info *roster.Worker, now time.Time) {
	if info.State != roster.Draining {
		w.leavesAt = time.Time{}
		return
	}
	if w.leavesAt.IsZero() || info.Remaining != w.Remaining {
		w.leavesAt = now.Add(info.Remaining)
	}
}

// stopOnDraining stops the runs on draining workers that cannot end there in time: runs that can continue on other
// workers, and runs without checkpoints that would be lost. A run that ends in time is best left alone.
func (p *Planner) stopOnDraining(now time.Time) {
	for _, w := range p.workersByName {
		if !w.registered || w.State != roster.Draining {
			continue
		}
		for _, m := range w.sortedMembers() {
			if m.unit.phase == running && p.outlasts(m.unit, w, now) {
				p.stopUnit(m.unit, WorkerLeaves)
			}
		}
	}
}

// outlasts reports whether a unit is expected to run longer than a worker stays, so that it is better stopped now.
func (p *Planner) outlasts(u *unit, w *worker, now time.Time) bool {
	left := w.leavesAt.Sub(now) - drainMargin
	switch {
	case u.spec().LongRunning:
		return true
	case u.spec().Checkpoints:
		return p.expectedRemainder(u, now) > left || left < p.settings.StopTime
	default:
		return w.Remaining > 0 && p.expectedRemainder(u, now) > left+hopelessExcess
	}
}

// expectedRemainder returns the time that a running unit still needs: by the progress that its tasks have reported, or
// by the caller's estimate before that.
func (p *Planner) expectedRemainder(u *unit, now time.Time) time.Duration {
	total := p.estimator.expect(u.job.queue.key, u.spec().Estimate)
	remainder := total - now.Sub(u.startedAt)
	for _, m := range u.members {
		if m.percent <= 0 || m.state != active {
			continue
		}
		if !u.resumed {
			total = m.percentAt.Sub(u.startedAt) * fullPercent / time.Duration(m.percent)
		}
		remainder = total*time.Duration(fullPercent-m.percent)/fullPercent - now.Sub(m.percentAt)
		break
	}
	return max(remainder, 0)
}
