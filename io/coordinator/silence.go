package coordinator

import (
	"math"
	"time"

	"auburnstack/core/planner"
	"auburnstack/core/roster"
	"auburnstack/io/store"
)

// silenceOf returns the time since the last write of a worker's registration: by the worker's clock, or, if that is not
// known, by the writes of other workers just before and after and by the store's answers to this VM. It returns false
// if none of them tells.
func (t *term) silenceOf(w *roster.Worker, list []roster.Worker, now time.Time) (planner.Silence, bool) {
	if age, known := t.writeAge(w, now); known {
		return planner.Silence{AtLeast: age, AtMost: age}, true
	}
	silence := planner.Silence{AtMost: math.MaxInt64}
	for i := range list {
		other := &list[i]
		age, known := t.writeAge(other, now)
		switch {
		case !known || age < 0:
			// A clock in the future tells nothing.
		case other.Revision < w.Revision:
			silence.AtMost = min(silence.AtMost, age)
		case other.Revision > w.Revision:
			silence.AtLeast = max(silence.AtLeast, age)
		}
	}
	if t.config.Revisions != nil {
		_, atMost := t.config.Revisions.Age(store.Revision(w.Revision))
		silence.AtMost = min(silence.AtMost, atMost)
	}
	return silence, silence.AtMost < math.MaxInt64
}

// writeAge returns the time since the last write of a registration by the clock of its worker, and false if the clock
// is not known or belongs to another incarnation.
func (t *term) writeAge(w *roster.Worker, now time.Time) (time.Duration, bool) {
	l, linked := t.links[w.Name]
	if !linked {
		return 0, false
	}
	clock, known := l.workerClock(now, w.Incarnation)
	return clock - w.Clock, known
}
