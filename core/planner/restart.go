package planner

import (
	"time"

	"auburnstack/core/roster"
)

// An order to start that was on its way when its worker restarted may have reached either incarnation: the run may
// exist in the new one although the worker has lost all earlier runs.

// fate is what a restart of a worker means for a run that was ordered there.
type fate int

const (
	// lost runs do not exist any more.
	lost fate = iota
	// kept runs exist in the new incarnation, or its next report shows that they do not.
	kept
	// uncertain runs may exist in the new incarnation or may still begin there.
	uncertain
)

// dropRuns decides on the runs on a worker after it has restarted or exited, and resets the worker's health. The
// parameter next is the worker's new incarnation, or 0 if the worker has exited. Uncertain runs are stopped.
func (p *Planner) dropRuns(w *worker, next roster.Incarnation, fateOf func(*member) fate, now time.Time) {
	suspected := p.examineCrash(w, next, now)
	stopped := map[*unit]bool{}
	for _, m := range w.sortedMembers() {
		switch {
		case m.state == planned || m.state == ended:
		case m.unit.phase == finished || fateOf(m) == lost:
			p.memberEnded(m, endLost, "", now)
		case fateOf(m) == uncertain && !stopped[m.unit]:
			stopped[m.unit] = true
			p.stopUnit(m.unit, Restarted)
		}
	}
	w.health = health{}
	w.unwantedRuns = 0
	w.clearUnexpected()
	p.giveUpDeadly(suspected, now)
}

// fateAtExit returns the fate of a run whose worker has exited.
func fateAtExit(*member) fate { return lost }

// fateByRegistration returns the fate of a run whose worker has registered a new incarnation. A start that was answered
// before the last report of the earlier incarnation was requested was answered by that one, and an order of a previous
// leader reached that one if any. A start that was answered later may run in the new incarnation.
func fateByRegistration(m *member) fate {
	switch {
	case m.restored:
		return lost
	case m.state != active:
		return uncertain
	case m.answeredAt.After(m.worker.reportedAt):
		return kept
	default:
		return lost
	}
}

// fateOf returns the fate of a run according to the first report of its worker's new incarnation. The report shows all
// runs whose start was answered before the report was requested, unless it is not complete.
func (o *Observation) fateOf(m *member) fate {
	switch {
	case o.lists(m) || m.state == active && m.answeredAt.After(o.Sent):
		return kept
	case o.MoreEnded:
		// The run may be among the ended runs that the report does not list.
		return kept
	case m.state == active || m.restored:
		return lost
	default:
		return uncertain
	}
}

// lists reports whether the report lists the run of a member, as running or ended.
func (o *Observation) lists(m *member) bool {
	for i := range o.Ended {
		if o.Ended[i].Run == m.unit.run && o.Ended[i].Task == m.unit.task(m.index) {
			return true
		}
	}
	for i := range o.Runs {
		if o.Runs[i].Run == m.unit.run && o.Runs[i].Task == m.unit.task(m.index) {
			return true
		}
	}
	return false
}
