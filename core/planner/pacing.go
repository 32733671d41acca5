package planner

import (
	"time"

	"auburnstack/core/endpoint"
)

const (
	// tailHigh is the part of its bound above which a task's tail latency makes the tasks that fill beside it slow down.
	tailHigh = 0.85
	// tailLow is the part of its bound below which they may work faster again.
	tailLow = 0.65
	// paceSettleTime is the time from an order until the reported tail latency shows its effect: the order takes 0.1 s, and
	// reports cover the last half second.
	paceSettleTime = 700 * time.Millisecond
	// paceRaiseInterval is the time between two steps upwards.
	paceRaiseInterval = time.Second
	// paceStep is a step upwards in percent.
	paceStep = 10
	// paceFloor is the pace in percent below which a task that fills is halted.
	paceFloor = 20
	// adoptedPace is the pace in percent that is ordered for a task whose pace an earlier leader has set, beside tasks
	// that serve.
	adoptedPace = 50
	// unknownPace marks a task whose pace an earlier leader may have set.
	unknownPace = -1
)

// pacing is what the planner has ordered for the tasks that fill on one worker.
type pacing struct {
	// percent is the pace of all of them, changed when it was ordered last.
	percent int
	changed time.Time
}

// paceFillers slows down the tasks that fill where they may disturb a task that serves, and lets them work faster again
// when it has room. Pressure comes down fast and goes up slowly, as a tail latency over its bound costs more.
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

// isFiller tells whether a member is a task at work that uses what others leave.
func (m *member) isFiller() bool {
	return m.state == active && !m.stopping && m.unit.spec().Fills && !m.unit.spec().LongRunning
}

// adjustPace decides how fast the tasks that fill on a worker may work.
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

// tailPressure returns the largest tail latency on a worker against its bound; the second result is false when no task
// there serves.
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

// orderPace orders a pace unless the task has it already.
func (p *Planner) orderPace(m *member, percent int) {
	if m.pace == percent {
		return
	}
	m.percentSince = p.now
	m.pace = percent
	p.actions = append(p.actions, Pace{
		Worker: m.worker.Name, Task: m.unit.task(m.index), Run: m.unit.run, Percent: percent,
	})
}

// Paced tells whether tasks that fill work beside tasks that serve on a worker, which then has to be watched closely.
func (p *Planner) Paced(name endpoint.Name) bool {
	w, known := p.workers[name]
	return known && w.pacesFillers
}
