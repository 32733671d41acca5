package planner

import (
	"slices"
	"time"

	"auburnstack/core/roster"
)

// A worker may start again, under the same name, as a worker of another kind.

// suits reports whether a worker belongs to the service of a unit's queue and has the label that the unit needs.
func (u *unit) suits(w *worker) bool {
	return w.Service == u.job.queue.Service && u.hasLabel(w)
}

// hasLabel reports whether a worker has the label that the unit needs.
func (u *unit) hasLabel(w *worker) bool {
	label := u.spec().Label
	return label == "" || w.HasLabel(label)
}

// Suits reports whether the worker of a start still belongs to the service for which it was chosen and has the label
// that the task needs, according to the worker's newest known registration.
func (p *Planner) Suits(start Start) bool {
	w, known := p.workers[start.Worker]
	if !known {
		return false
	}
	m := p.lookup(w, start.Task, start.Run)
	return m == nil || m.share.service == w.Service && m.unit.hasLabel(w)
}

// sameKind reports whether two registrations of a worker name the same service and the same labels.
func sameKind(a, b *roster.Worker) bool {
	return a.Service == b.Service && slices.Equal(a.Labels, b.Labels)
}

// withdrawUnsuited withdraws the placements on a worker whose units do not suit it, and makes the units wait again.
func (p *Planner) withdrawUnsuited(w *worker, now time.Time) {
	p.withdrawUntil(w, now, func(u *unit) bool { return isNotOrdered(u) && !u.suits(w) }, func() bool { return false })
}
