package planner

import (
	"cmp"
	"slices"
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/roster"
)

const (
	// maxLeaveSilence is the longest time, in registration intervals, between the last write of a registration and its
	// removal by the worker itself. The registration of a silent worker is removed after three intervals.
	maxLeaveSilence = 2
	// leaveTolerance is the time by which the worker's clock may be ahead of what is known of it here: the reading is as
	// old as the reply that carried it, and a reply may take almost half a second.
	leaveTolerance = 500 * time.Millisecond
)

// Departure is what the removal of a worker's registration says about the worker's runs.
type Departure int

// The conclusions from the removal of a registration. After each one but Left the runs may go on until the worker's
// lease expires.
const (
	// Left means that the worker has removed its registration itself, and that all its runs have ended.
	Left Departure = iota
	// Returned means that the planner does not know the worker, or that it knows a newer incarnation of it.
	Returned
	// NotDraining means that the worker had not announced that it would leave.
	NotDraining
	// TooEarly means that the worker had announced to stay longer, even if it was removed as late as may be.
	TooEarly
	// Silent means that the last write was so old that the registration may have been removed for the worker's silence.
	Silent
	// ClockUnknown means that it is not known how old the last write was.
	ClockUnknown
)

// String returns the name of the conclusion. Logs and metrics use it.
func (d Departure) String() string {
	return [...]string{"left", "returned", "not-draining", "too-early", "silent", "clock-unknown"}[d]
}

// Removal describes the removal of a worker's registration.
type Removal struct {
	// Last is the registration as it was last read.
	Last roster.Worker
	// Silence is the time from the last write of the registration to its removal. It counts only if SilenceKnown is set.
	Silence      Silence
	SilenceKnown bool
}

// Silence is a time that is known within bounds.
type Silence struct{ AtLeast, AtMost time.Duration }

// Absence describes the runs that the planner presumes on a worker without a registration.
type Absence struct {
	Worker endpoint.Name
	// Runs counts the runs of jobs that have not ended. The ends of the others are not stored, so that a new leader
	// presumes runs that ended long ago.
	Runs int
	// Until is the time at which the worker's lease has expired.
	Until time.Time
}

// Departed is called when the registration of a worker was removed, or is missing in a full read of all registrations.
// If the worker has left, all its runs have ended. Otherwise it may only be silent, and its runs may go on until its
// lease expires.
func (p *Planner) Departed(r Removal, now time.Time) Departure {
	departure := p.departure(&r)
	if departure == Left {
		// A worker that left before this leader's term was never listed.
		p.workers[r.Last.Name].State = r.Last.State
		p.WorkerExited(r.Last.Name, now)
	}
	return departure
}

func (p *Planner) departure(r *Removal) Departure {
	w, known := p.workers[r.Last.Name]
	switch {
	case !known || w.Incarnation > r.Last.Incarnation:
		return Returned
	case r.Last.State != roster.Draining:
		return NotDraining
	case !r.SilenceKnown:
		return ClockUnknown
	case r.Silence.AtMost < r.Last.Remaining-leaveTolerance:
		return TooEarly
	case r.Silence.AtMost >= maxLeaveSilence*p.settings.RegistrationInterval:
		return Silent
	default:
		return Left
	}
}

// Absences returns the runs that are presumed on workers without a registration, those with the fewest runs first.
func (p *Planner) Absences() []Absence {
	var absences []Absence
	for _, w := range p.workers {
		if a := w.absence(); !w.registered && a.Runs > 0 {
			absences = append(absences, a)
		}
	}
	slices.SortFunc(absences, func(a, b Absence) int {
		return cmp.Or(cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.Worker, b.Worker))
	})
	return absences
}

// Registered reports whether a worker was in the last list of registered workers.
func (p *Planner) Registered(name endpoint.Name) bool {
	w, known := p.workers[name]
	return known && w.registered
}

// Absence returns the runs that are presumed on a worker.
func (p *Planner) Absence(name endpoint.Name) Absence {
	w, known := p.workers[name]
	if !known {
		return Absence{Worker: name}
	}
	return w.absence()
}

func (w *worker) absence() Absence {
	a := Absence{Worker: w.Name, Until: w.leaseEnd}
	for m := range w.members {
		if m.state != planned && !m.unit.job.state.Final() {
			a.Runs++
		}
	}
	return a
}

// noteAbsent records which workers have lost their registrations.
func (p *Planner) noteAbsent(now time.Time) {
	for _, w := range p.workers {
		if !w.registered && w.absentSince.IsZero() {
			w.absentSince = now
		}
	}
}

// reportExpired reports the runs on a worker whose lease has expired.
func (p *Planner) reportExpired(w *worker, now time.Time) {
	a := w.absence()
	if a.Runs == 0 {
		return
	}
	expired := LeaseExpired{Worker: w.Name, Runs: a.Runs, Registered: w.registered}
	if !w.absentSince.IsZero() {
		expired.Waited = now.Sub(w.absentSince)
	}
	p.report(expired)
}
