package planner

import (
	"time"

	"auburnstack/core/endpoint"
)

const (
	// tailHigh is the ratio of tail latency to target above which filler tasks, which use leftover processor time, are
	// slowed down on the same worker.
	tailHigh = 0.85
	// tailLow is the ratio of tail latency to target below which these filler tasks may run faster again.
	tailLow = 0.65
	// paceSettleTime is the minimum time from the last change of the pace to a decrease. An order to change the pace
	// takes 0.1 s, and a report covers the half second before it, so 0.6 s must pass before a report covers only the
	// new pace. The constant is 0.1 s longer than that.
	paceSettleTime = 700 * time.Millisecond
	// paceRaiseInterval is the minimum time from the last change of the pace to an increase.
	paceRaiseInterval = time.Second
	// paceStep is the size of one increase of the pace, in percentage points of full speed.
	paceStep = 10
	// paceFloor is the lowest pace in percent other than 0. Filler tasks that would have to run slower are paused.
	paceFloor = 20
	// adoptedPace is the pace in percent that a new leader orders first for filler tasks on workers with tasks that
	// have a tail latency target. The leader does not know which pace the previous leader, the instance that ran the
	// planner before, ordered.
	adoptedPace = 50
	// unknownPace marks a task for which a previous leader may have ordered a pace.
	unknownPace = -1
)

// pacing is the pace that the planner has ordered for the filler tasks of one worker.
type pacing struct {
	// percent is the pace of all filler tasks on the worker. changed is the time at which percent last changed.
	percent int
	changed time.Time
}

// paceFillers slows down filler tasks where they may raise the tail latency of other tasks above its target, and speeds
// the filler tasks up again when the tail latency is low enough. It lowers the pace fast and raises it slowly, because
// a missed target costs more than idle capacity.
func (p *Planner) paceFillers(now time.Time) {
	for _, w := range p.workersByName {
		if !w.responsive {
			continue
		}
		fillers := w.membersWith((*member).isFiller)
		_, serving := w.tailPressure()
		w.pacesFillers = serving && len(fillers) > 0
		if len(fillers) == 0 {
			w.pacing = pacing{percent: fullPercent}
			continue
		}
		w.adjustPace(now)
		for _, m := range fillers {
			p.orderPace(m, w.pacing.percent)
		}
	}
}

// isFiller reports whether a member is a running filler task, which uses the processor time that other tasks leave
// unused.
func (m *member) isFiller() bool {
	return m.state == active && !m.stopping && m.unit.spec().Fills && !m.unit.spec().LongRunning
}

// adjustPace updates the pace of the filler tasks on a worker from the tail latencies reported there.
func (w *worker) adjustPace(now time.Time) {
	pressure, serving := w.tailPressure()
	if !serving {
		w.pacing.set(fullPercent, now)
		return
	}
	since := now.Sub(w.pacing.changed)
	switch {
	case pressure > tailHigh && since >= paceSettleTime && w.pacing.percent > 0:
		next := w.pacing.percent / 2
		if next < paceFloor {
			next = 0
		}
		w.pacing.set(next, now)
	case pressure < tailLow && since >= paceRaiseInterval && w.pacing.percent < fullPercent:
		w.pacing.set(min(w.pacing.percent+paceStep, fullPercent), now)
	}
}

func (c *pacing) set(percent int, now time.Time) {
	if c.percent != percent {
		c.percent, c.changed = percent, now
	}
}

// tailPressure returns the highest ratio of tail latency to target on a worker. The second result is false if no
// running task there has a tail latency target.
func (w *worker) tailPressure() (float64, bool) {
	highest, serving := 0.0, false
	for m := range w.members {
		step := m.unit.spec()
		if m.state != active || !step.Serves() {
			continue
		}
		serving = true
		highest = max(highest, m.reading*float64(time.Millisecond)/float64(step.TailTarget))
	}
	return highest, serving
}

// orderPace orders a pace for a task unless the same pace was ordered last.
func (p *Planner) orderPace(m *member, percent int) {
	if m.pace == percent {
		return
	}
	m.restartStallTimer()
	m.pace = percent
	p.actions = append(p.actions, Pace{
		Worker: m.worker.Name, Task: m.unit.task(m.index), Run: m.unit.run, Percent: percent,
	})
}

// Paced reports whether filler tasks run on a worker together with tasks that have a tail latency target. Such a worker
// must report more often.
func (p *Planner) Paced(name endpoint.Name) bool {
	w, known := p.workers[name]
	return known && w.pacesFillers
}
