package planner

import "time"

const (
	// isolationWait is the longest time for which a suspected unit waits for workers on which nothing else is starting
	// and no other unit is running that is suspected of late crashes.
	isolationWait = 2 * time.Second
	// strongSuspicion is the number of crashes from which on a unit never starts beside other suspected units, and units
	// with fewer are not suspected if they are lost together with it. Many units may be suspected of one crash if their
	// workers crash together.
	strongSuspicion = 2
	// lateCrashes is the number of crashes that isolate a unit whose runs survive their start. One crash is common to
	// all units of the worker.
	lateCrashes = 2
)

// isolated reports whether a unit is isolated because workers may have crashed under it.
func (u *unit) isolated() bool {
	most := u.mostCrashes()
	return most > 0 && u.crashAge < survivalAge || most >= lateCrashes
}

// startsApart reports whether the isolation of suspected units allows a unit to start on a worker. A suspected unit is
// isolated while it starts, so that a crash shows what caused it: nothing else starts on its workers until a report has
// confirmed it. Units that are suspected of late crashes do not share a worker, so that not all of them are lost again.
func (p *Planner) startsApart(s search, w *worker) bool {
	if len(p.suspected) == 0 {
		return true
	}
	patient := p.isolates(s.unit, s.round.now) && !s.ignoreOwnLimits
	for m := range w.members {
		if m.unit != s.unit && !p.mayRunBeside(s.unit, m, patient) {
			return false
		}
	}
	return true
}

// mayRunBeside reports whether a unit may start on a worker beside a run of another unit. The parameter patient is set
// if the unit is suspected and can wait for other workers.
func (p *Planner) mayRunBeside(u *unit, m *member, patient bool) bool {
	if m.confirmed {
		return !patient || !p.isSuspectedLate(m.unit) || !p.isSuspectedLate(u)
	}
	return p.mayStartBeside(u, m.unit, patient)
}

// mayStartBeside reports whether a unit may start on a worker on which another unit is starting. The parameter patient
// is set if the unit can wait for other workers.
func (p *Planner) mayStartBeside(u, starting *unit, patient bool) bool {
	switch {
	case patient:
		return !p.isSuspected(u) && !p.isSuspected(starting)
	case p.isSuspected(u):
		return !p.isSuspected(starting) || max(u.mostCrashes(), starting.mostCrashes()) < strongSuspicion
	default:
		return !p.isSuspected(starting)
	}
}

// isolates reports whether a unit is suspected and can wait for workers on which nothing else is starting.
func (p *Planner) isolates(u *unit, now time.Time) bool {
	return p.isSuspected(u) && now.Sub(u.waitingSince) < isolationWait
}

func (p *Planner) isSuspected(u *unit) bool {
	_, suspected := p.suspected[u]
	return suspected
}

// isSuspectedLate reports whether a unit is suspected of crashes of workers that had run it for some time.
func (p *Planner) isSuspectedLate(u *unit) bool {
	return p.isSuspected(u) && u.crashAge >= survivalAge
}
