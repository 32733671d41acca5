package planner

import (
	"cmp"
	"slices"
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

// A worker's registered capacity may shrink below what runs on it. Its free capacity is then negative in a resource,
// and it gets no new task before that has changed, not even one that doesn't need this resource.

// usableAccelerators returns the number of accelerators that can be reserved on a worker: 0 if the worker is over its
// capacity in another resource.
func (w *worker) usableAccelerators() int64 {
	if free := w.free(); isPositive(free) {
		return free.Accelerators
	}
	return 0
}

// isPositive reports whether no amount is negative.
func isPositive(a resources.Amounts) bool {
	return resources.Amounts{}.Fits(a)
}

// withdrawExcess withdraws the placements that do not fit into the capacity of their worker any more because it has
// shrunk before their start was ordered, and makes their units wait again. The most urgent placements stay.
func (p *Planner) withdrawExcess(now time.Time) {
	for _, w := range p.workersByName {
		if w.reserved != (resources.Amounts{}) {
			p.withdrawFrom(w, now)
		}
	}
}

func (p *Planner) withdrawFrom(w *worker, now time.Time) {
	p.withdrawUntil(w, now, isRecording, func() bool {
		return isPositive(w.freeNow().Sub(w.reservedFor(isRecording)))
	})
	p.withdrawUntil(w, now, isNotOrdered, func() bool { return isPositive(w.free()) })
}

// withdrawUntil withdraws the least urgent placements that fulfill a condition until fits returns true.
func (p *Planner) withdrawUntil(w *worker, now time.Time, condition func(*unit) bool, fits func() bool) {
	for _, u := range w.placements(condition) {
		if fits() {
			return
		}
		p.placeAgain(u, now)
	}
}

// placements returns the units with a member on the worker that fulfill a condition, the least urgent first.
func (w *worker) placements(condition func(*unit) bool) []*unit {
	var list []*unit
	for m := range w.members {
		if condition(m.unit) && !slices.Contains(list, m.unit) {
			list = append(list, m.unit)
		}
	}
	slices.SortFunc(list, (*unit).compareUrgency)
	return list
}

// SortLeastUrgentFirst sorts starts that are still needed. Those of the least urgent units come first.
func (p *Planner) SortLeastUrgentFirst(starts []Start) {
	slices.SortStableFunc(starts, func(a, b Start) int { return p.unitOf(a).compareUrgency(p.unitOf(b)) })
}

// unitOf returns the unit of a start that is still needed.
func (p *Planner) unitOf(a Start) *unit {
	return p.jobs[a.Task.Job].findUnit(a.Task.Occurrence, a.Task.Step, a.Task.Index)
}

// compareUrgency orders units: it returns a negative number if the unit is less urgent than the other one.
func (u *unit) compareUrgency(other *unit) int {
	switch x, y := u.urgency(), other.urgency(); {
	case u == other:
		return 0
	case x != y:
		return cmp.Compare(y, x)
	case other.less(u):
		return -1
	default:
		return 1
	}
}

// urgency returns the priority of a unit's queue, or 0, the most urgent one, for an urgent unit.
func (u *unit) urgency() int {
	if u.urgent() {
		return 0
	}
	return u.job.queue.Priority
}

func isRecording(u *unit) bool {
	return u.phase == recording
}

// isNotOrdered reports whether a unit is placed and its start was not ordered.
func isNotOrdered(u *unit) bool {
	return u.phase == recording || u.phase == awaitingCapacity
}

// reservedFor returns the capacity set aside on the worker for units that fulfill a condition.
func (w *worker) reservedFor(condition func(*unit) bool) resources.Amounts {
	var sum resources.Amounts
	for m := range w.members {
		if m.state == planned && condition(m.unit) {
			sum = sum.Add(m.unit.spec().Reserved())
		}
	}
	return sum
}

// OverCapacity reports whether the runs that were ordered on a worker need more than the worker's capacity, because the
// capacity has shrunk. A start that is sent to such a worker would bring it over its capacity.
func (p *Planner) OverCapacity(name endpoint.Name) bool {
	w, known := p.workers[name]
	return known && !isPositive(w.freeNow())
}

// MayOverfill reports whether a start that is sent to a worker may bring it over its capacity: because the capacity has
// shrunk, or because the worker has reported runs that should not exist, whose resources are not counted.
func (p *Planner) MayOverfill(name endpoint.Name) bool {
	w, known := p.workers[name]
	return known && w.unwantedRuns > 0 || p.OverCapacity(name)
}

// startTimeout is the time for which a start is repeated on a worker that answers and does not report the run.
const startTimeout = time.Second

// stopUnstarted orders a stop for a run that a worker does not report although the last attempt to start the run ended,
// without an answer, before the report was requested. It does so after startTimeout, and at once if the start could
// overfill the worker or exceed its account's limit: then the start is not repeated. The stop rules out that the run
// still begins.
func (p *Planner) stopUnstarted(m *member, sent, now time.Time) {
	unanswered := m.state == unconfirmed && !m.unansweredAt.IsZero() && m.unansweredAt.Before(sent)
	switch {
	case !unanswered || m.unit.phase != running:
	case p.MayOverfill(m.worker.Name):
		p.stopUnit(m.unit, NoCapacity)
	case m.unit.job.holding.isOver():
		p.stopUnit(m.unit, AboveLimit)
	case now.Sub(m.unit.startedAt) > startTimeout:
		p.stopUnit(m.unit, StartUnanswered)
	}
}

// RegistrationOutdated reports whether a worker has restarted, as its report shows, and has not registered since. Its
// capacity and its labels are not known then.
func (p *Planner) RegistrationOutdated(name endpoint.Name) bool {
	w, known := p.workers[name]
	return known && w.largestOf != 0 && w.largestOf < w.Incarnation
}

// Registration returns the newest known registration of a worker, or an empty one. Its incarnation is that of the
// worker's last report if that is newer.
func (p *Planner) Registration(name endpoint.Name) roster.Worker {
	if w, known := p.workers[name]; known {
		return w.Worker
	}
	return roster.Worker{}
}

// maxCapacityChanges is the number of changes of capacity that are kept until the next call of TakeCapacityChanges.
const maxCapacityChanges = 10

// CapacityChange is a change of the capacity that a worker has registered.
type CapacityChange struct {
	Worker   endpoint.Name
	Old, New resources.Amounts
	// Used is the capacity taken by the runs that were ordered on the worker.
	Used resources.Amounts
}

// capacityChanges collects the changes of registered capacities: the first maxCapacityChanges, and the number of all.
type capacityChanges struct {
	list  []CapacityChange
	total int
}

// changeCapacity records the capacity in a worker's registration, before the registration replaces the earlier one.
func (p *Planner) changeCapacity(w *worker, info *roster.Worker) {
	sameLife := w.largestOf == info.Incarnation
	if !sameLife {
		w.largest, w.largestOf = resources.Amounts{}, info.Incarnation
	}
	if grown := w.largest.Max(info.Capacity); grown != w.largest {
		if sameLife {
			p.outgrowSize(w)
		}
		w.largest = grown
	}
	if !sameLife || w.Service == "" || w.Capacity == info.Capacity {
		return
	}
	p.capacityChanges.total++
	if len(p.capacityChanges.list) < maxCapacityChanges {
		p.capacityChanges.list = append(p.capacityChanges.list, CapacityChange{
			Worker: w.Name, Old: w.Capacity, New: info.Capacity, Used: w.used,
		})
	}
}

// TakeCapacityChanges returns the first maxCapacityChanges changes of registered capacities since the last call, and
// the number of all.
func (p *Planner) TakeCapacityChanges() ([]CapacityChange, int) {
	changes := p.capacityChanges
	p.capacityChanges = capacityChanges{}
	return changes.list, changes.total
}
