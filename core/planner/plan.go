package planner

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

const (
	// stallTimeout is the time after which a running task without progress counts as stalled.
	stallTimeout = 2500 * time.Millisecond
	// leftoverTimeout is the time for which the other members of a gang may continue to run after the gang has
	// finished. After that, they are stopped.
	leftoverTimeout = time.Second
	// headroomWait is the time for which a unit that is not urgent waits for capacity outside the racks that are
	// kept free for urgent units.
	headroomWait = 3 * time.Second
	// sweepInterval is the minimum time between two checks of all running tasks for conditions that depend only on
	// time.
	sweepInterval = 50 * time.Millisecond
	// capacityTimeout is the time for which a placement waits for stopped runs to free their capacity. After that,
	// the workers that still lack capacity are suspended and the placement is withdrawn.
	capacityTimeout = 3 * time.Second
)

// Plan returns the actions that the events since the last call have made possible. New placements must be stored first:
// TakeChanges returns them, and a later call of Plan returns their start orders.
func (p *Planner) Plan(now time.Time) []Action {
	p.now = now
	p.ExpireLeases(now)
	p.unblockDue(now)
	p.drainRetired()
	if now.Sub(p.lastSweep) >= sweepInterval {
		p.lastSweep = now
		p.stopStalled(now)
		p.stopLeftovers(now)
		p.paceFillers(now)
	}
	p.consult(now)
	if p.needsPlacement {
		p.needsPlacement = false
		p.recordPlacements(now)
		p.placeWaiting(now)
	}
	actions := p.actions
	p.actions = nil
	return actions
}

// Tick makes the next call of Plan try all placements again, because a placement can become possible by the passage of
// time alone.
func (p *Planner) Tick() {
	p.needsPlacement = true
}

// unblockDue makes the units of recurring jobs ready for placement when the due time of their occurrence approaches.
func (p *Planner) unblockDue(now time.Time) {
	for _, j := range p.jobs {
		if j.Recurrence != nil && !j.state.Final() {
			p.unblock(j, now)
		}
	}
}

func (p *Planner) placeWaiting(now time.Time) {
	round := &round{now: now, spare: map[string]*spareCapacity{}, failed: map[demand]bool{}}
	units := p.queueOrder(now)
	for len(units) > 0 {
		group := leadingGroup(units)
		units = units[len(group):]
		p.placeGroup(group, round)
	}
}

// round is the state of one pass over all waiting units.
type round struct {
	now time.Time
	// spare holds the capacity of each service that is available to units that are not urgent.
	spare map[string]*spareCapacity
	// failed holds the demands (the properties that decide whether a unit can be placed) for which no placement was
	// found.
	failed map[demand]bool
}

// spareFor returns the spare capacity of a service and computes it once per round.
func (p *Planner) spareFor(r *round, service string) *spareCapacity {
	if _, counted := r.spare[service]; !counted {
		r.spare[service] = p.computeSpare(service, r.now)
	}
	return r.spare[service]
}

// placeOne places a single unit. For an urgent unit, it preempts other work if there is not enough free capacity.
func (p *Planner) placeOne(u *unit, r *round) {
	spare := p.spareFor(r, u.job.queue.Service)
	wanted := u.spec().Needs.Accelerators * int64(u.size())
	if !u.urgent() && !spare.allows(wanted) {
		return
	}
	key := u.demand(r.now)
	if r.failed[key] {
		return
	}
	places := p.placeAvoidingHeadroom(u, r.now, spare)
	if places == nil && u.urgent() && p.prefersUrgent() {
		places = p.preemptFor(u, r.now)
	}
	if places == nil {
		r.failed[key] = true
		return
	}
	p.assign(u, places, r)
}

// assign reserves capacity for a unit on the given workers, one worker per task.
func (p *Planner) assign(u *unit, places []*worker, r *round) {
	spare := p.spareFor(r, u.job.queue.Service)
	spare.available -= u.spec().Needs.Accelerators * int64(u.size())
	delete(p.waiting, u)
	u.reserve(places)
	u.phase = awaitingCapacity
	u.placedAt = r.now
	p.awaitingCapacity[u] = struct{}{}
	p.tryRecord(u)
}

// placeAvoidingHeadroom returns workers for a unit, or nil. A unit that is neither urgent nor in a queue with advice
// may use the racks kept free for urgent units only after headroomWait, or if its data is in one of them.
func (p *Planner) placeAvoidingHeadroom(u *unit, now time.Time, spare *spareCapacity) []*worker {
	if u.urgent() || u.advised() || len(spare.keptFree) == 0 {
		return p.place(u, now)
	}
	places := p.placeIn(u, p.outsideHeadroom(u, spare), false)
	if places == nil && (now.Sub(u.waitingSince) >= headroomWait || spare.keptFree[endpoint.Rack(u.spec().DataRack)]) {
		places = p.place(u, now)
	}
	return places
}

// demand holds the properties that decide whether a unit can be placed. If one unit cannot be placed, no other unit
// with the same demand can be placed until capacity is freed, so the rest of the round skips the units with this
// demand.
type demand struct {
	service        string
	priority       int
	size           int
	needs          resources.Amounts
	label          string
	dataRack       string
	sameRack       bool
	remote         bool
	avoidsHeadroom bool
	// unit is set for units whose placement depends on more than the other fields.
	unit *unit
}

func (u *unit) demand(now time.Time) demand {
	step := u.spec()
	d := demand{
		service: u.job.queue.Service, priority: u.job.queue.Priority, size: u.size(), needs: step.Reserved(),
		label: step.Label, dataRack: step.DataRack, sameRack: step.SameRack, remote: u.mayBeRemote(now),
		avoidsHeadroom: now.Sub(u.waitingSince) < headroomWait,
	}
	// The work that an urgent unit may preempt depends on its account's guarantee. The workers that a unit may use
	// depend on its spread limit, its earlier failures and the adviser's answers.
	if step.SpreadLimit > 0 || len(u.avoidedWorkers) > 0 || u.urgent() || u.advised() {
		d.unit = u
	}
	return d
}

// recordPlacements submits placements for storage once their workers have enough free capacity. It withdraws
// placements on workers that no longer accept tasks, and makes their units wait again.
func (p *Planner) recordPlacements(now time.Time) {
	for _, u := range p.sortedAwaitingCapacity() {
		if now.Sub(u.placedAt) > capacityTimeout {
			p.suspendOverdue(u, now)
		}
		if !p.workersAccept(u, now) {
			p.withdraw(u)
			p.enqueue(u, now)
			continue
		}
		p.tryRecord(u)
	}
}

func (p *Planner) sortedAwaitingCapacity() []*unit {
	list := make([]*unit, 0, len(p.awaitingCapacity))
	for u := range p.awaitingCapacity {
		list = append(list, u)
	}
	sortUnits(list)
	return list
}

// workersAccept reports whether all workers of a placement still accept new tasks.
func (p *Planner) workersAccept(u *unit, now time.Time) bool {
	for _, m := range u.members {
		if !p.accepts(m.worker, now) {
			return false
		}
	}
	return true
}

// suspendOverdue suspends the workers of a placement on which stopped runs have not freed their capacity within
// capacityTimeout.
func (p *Planner) suspendOverdue(u *unit, now time.Time) {
	for _, m := range u.members {
		if !u.spec().Reserved().Fits(m.worker.freeNow()) && !m.worker.health.suspended(now) {
			m.worker.health.suspend(now)
		}
	}
}

// stalled reports whether a running task is unfinished and has made no progress for stallTimeout. A task counts as
// running once its worker has reported it.
func (m *member) stalled(now time.Time) bool {
	reported := m.state == active && m.unit.phase == running && m.percent >= 0 && m.percent < fullPercent
	if m.pace != fullPercent {
		// The task was ordered to run slowly or to pause.
		return false
	}
	return reported && now.Sub(m.percentSince) >= stallTimeout
}

// stopLeftovers stops runs whose gang has finished on another worker.
func (p *Planner) stopLeftovers(now time.Time) {
	for _, w := range p.workersByName {
		for _, m := range w.membersWith(func(m *member) bool { return m.leftOver(now) }) {
			m.stoppedAt = now
			u := m.unit
			p.actions = append(p.actions, Stop{Worker: w.Name, Task: u.task(m.index), Run: u.run, Reason: NotWanted})
		}
	}
}

// leftOver reports whether a member still runs although its gang finished more than leftoverTimeout ago, and was not
// ordered to stop within that time.
func (m *member) leftOver(now time.Time) bool {
	since := later(m.unit.finishedAt, m.stoppedAt)
	return m.unit.phase == finished && m.state == active && now.Sub(since) > leftoverTimeout
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// tryRecord submits a placement for storage if its workers have enough free capacity for all of its tasks.
func (p *Planner) tryRecord(u *unit) {
	needs := u.spec().Reserved()
	for _, m := range u.members {
		available := m.worker.freeNow()
		for other := range m.worker.members {
			if other.state == planned && (other.unit.phase == recording || other.unit == u && other != m) {
				available = available.Sub(other.unit.spec().Reserved())
			}
		}
		if !needs.Fits(available) {
			return
		}
	}
	delete(p.awaitingCapacity, u)
	u.phase = recording
	u.run++
	p.markDirty(u.job)
	u.recordVersion = u.job.version
}

// stopOnDraining stops the runs on draining workers, but only runs that can continue on other workers.
func (p *Planner) stopOnDraining() {
	for _, w := range p.workersByName {
		if w.registered && w.State == roster.Draining {
			p.stopMovable(w, WorkerLeaves)
		}
	}
}

// stopMovable stops the units on a worker that can continue on other workers: units with checkpoints and long-running
// units.
func (p *Planner) stopMovable(w *worker, reason StopReason) {
	for _, m := range w.sortedMembers() {
		if m.unit.phase == running && (m.unit.spec().Checkpoints || m.unit.spec().LongRunning) {
			p.stopUnit(m.unit, reason)
		}
	}
}

// stopStalled stops units whose tasks make no progress and counts the stall as a failure on the task's worker. The
// worker of a stalled task outside a gang is suspended at once.
func (p *Planner) stopStalled(now time.Time) {
	for _, w := range p.workersByName {
		if !w.responsive {
			continue
		}
		for _, m := range w.membersWith(func(m *member) bool { return m.stalled(now) }) {
			if !m.stalled(now) {
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
