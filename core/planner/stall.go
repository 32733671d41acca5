package planner

import "time"

const (
	// stallTimeout is the least time without progress after which a running task counts as stalled.
	stallTimeout = 2500 * time.Millisecond
	// stallSteps is the least number of percent that a stalled task would have made in the time without progress. Tasks
	// that run for hours make a percent in many seconds.
	stallSteps = 4
	// noClock is the value of member.percentClock before the next report.
	noClock time.Duration = -1
)

// observePercent records the progress in a worker's report that arrives now.
func (m *member) observePercent(percent int, now time.Time) {
	if percent != m.percent || m.percentClock == noClock {
		m.percent, m.percentClock, m.percentAt = percent, m.worker.clock, now
	}
}

// restartStallTimer makes the time without progress count from the worker's next report.
func (m *member) restartStallTimer() {
	m.percentClock = noClock
}

// stalled reports whether a running task is unfinished and has made no progress for its stall timeout. Only the
// worker's reports show this, by the worker's own clock: while a worker is silent or its reports are delayed, its tasks
// may work.
func (p *Planner) stalled(m *member) bool {
	if m.state != active || m.unit.phase != running || m.percent < 0 || m.percent >= fullPercent {
		return false
	}
	if m.pace != fullPercent {
		// The task was ordered to run slowly or to pause.
		return false
	}
	return p.withoutProgress(m) && !p.waitsForOthers(m)
}

// waitsForOthers reports whether a member of a gang has done its own work and waits for a member that is slower. Such a
// member is behind, or has made progress within its stall timeout. If it makes none, it is stalled itself.
func (p *Planner) waitsForOthers(m *member) bool {
	if m.percent < almostDone {
		return false
	}
	for _, other := range m.unit.members {
		if other != m && other.state != ended && (other.percent < almostDone || !p.withoutProgress(other)) {
			return true
		}
	}
	return false
}

// withoutProgress reports whether a member has made no progress for its stall timeout, by the clock of its worker.
func (p *Planner) withoutProgress(m *member) bool {
	return m.percentClock != noClock && m.worker.clock-m.percentClock >= p.stallTimeoutOf(m)
}

// stallTimeoutOf returns the time without progress after which a task counts as stalled.
func (p *Planner) stallTimeoutOf(m *member) time.Duration {
	u := m.unit
	expected := p.estimator.expect(u.job.queue.key, u.spec().Estimate)
	if m.percent > 0 {
		expected = max(expected, m.percentAt.Sub(u.startedAt)*fullPercent/time.Duration(m.percent))
	}
	return max(stallTimeout, stallSteps*expected/fullPercent)
}

// stopStalled stops units whose tasks make no progress and counts the stall as a failure on the task's worker. The
// worker of a stalled task outside a gang is suspended at once.
func (p *Planner) stopStalled(now time.Time) {
	for _, w := range p.workersByName {
		if !w.responsive {
			continue
		}
		for _, m := range w.membersWith(p.stalled) {
			if !p.stalled(m) {
				// Stopping another stalled member of the same unit has stopped this one as well.
				continue
			}
			w.health.failed(m.unit.job.ID, now)
			if !m.unit.spec().Gang || w.health.suspended(now) {
				w.health.suspend(now)
			}
			p.stopUnit(m.unit, Stalled)
		}
	}
}
