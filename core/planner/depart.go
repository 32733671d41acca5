package planner

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/roster"
)

const (
	// maxLeaveSilence is the longest time, in registration intervals, between the last write of a registration and its
	// removal by the worker itself. The registration of a silent worker is removed after three intervals.
	maxLeaveSilence = 2
	// leaveTolerance is the time by which a worker may leave before the time that it has announced, as seen from here.
	leaveTolerance = 200 * time.Millisecond
)

// Departed is called when the registration of a worker has been removed. The parameter written is the worker's clock at
// the last write of the registration, and clock is the worker's clock now. A draining worker that has written until
// shortly before the removal has left, and all its runs have ended; Departed then returns true. Otherwise the worker
// may only be silent, and its runs may go on until its lease expires.
func (p *Planner) Departed(name endpoint.Name, written, clock time.Duration, now time.Time) bool {
	w, known := p.workers[name]
	if !known || w.registered || w.State != roster.Draining || now.Before(w.leavesAt.Add(-leaveTolerance)) {
		return false
	}
	if clock-written >= maxLeaveSilence*p.settings.RegistrationInterval {
		return false
	}
	p.WorkerExited(name, now)
	return true
}
