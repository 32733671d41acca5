package planner

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

const (
	// stallTimeout is how long a running task may show no progress.
	stallTimeout = 2500 * time.Millisecond
	// leftoverTimeout is how long the other members of a gang that has finished may run on.
	leftoverTimeout = time.Second
	// headroomRackWait is how long a unit that is not urgent waits for room beside the racks that are kept for urgent ones.
	headroomRackWait = 3 * time.Second
	// sweepInterval is the least time between two looks at all running tasks for what only time changes.
	sweepInterval = 50 * time.Millisecond
	// capacityTimeout is how long a placement waits for the room that stops are to make.
	capacityTimeout = 3 * time.Second
)

// Plan returns the actions that the events since the last call have made possible. Placements become visible as
// changes that have to be stored; their starts are returned by a later call.
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

// Tick makes the next call of Plan look at all units again, as time alone can make a placement possible.
func (p *Planner) Tick() {
	p.needsPlacement = true
}

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

// round is one pass over all waiting units.
type round struct {
	now time.Time
	// spare holds what units that are not urgent may take of each service.
	spare map[string]*spareCapacity
	// failed holds the demands that could not be met.
	failed map[demand]bool
}

func (p *Planner) spareFor(r *round, service string) *spareCapacity {
	if _, counted := r.spare[service]; !counted {
		r.spare[service] = p.computeSpare(service, r.now)
	}
	return r.spare[service]
}

// placeOne places a unit, by stopping other work if it is urgent.
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

// assign gives a unit its places.
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

// placeAvoidingHeadroom places a unit that is not urgent beside the racks that are kept for urgent ones, at first.
func (p *Planner) placeAvoidingHeadroom(u *unit, now time.Time, spare *spareCapacity) []*worker {
	if u.urgent() || u.advised() || len(spare.headroomRacks) == 0 {
		return p.place(u, now)
	}
	places := p.placeIn(u, p.outsideHeadroom(u, spare), false)
	if places == nil && (now.Sub(u.waitingSince) >= headroomRackWait || spare.headroomRacks[endpoint.Rack(u.spec().DataRack)]) {
		places = p.place(u, now)
	}
	return places
}

// demand is what decides whether a unit can be placed. Once one unit could not be placed, no other one with the same
// demand can until room is given back.
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
	// unit is set for units with conditions of their own.
	unit *unit
}

func (u *unit) demand(now time.Time) demand {
	step := u.spec()
	d := demand{
		service: u.job.queue.Service, priority: u.job.queue.Priority, size: u.size(), needs: step.Reserved(),
		label: step.Label, dataRack: step.DataRack, sameRack: step.SameRack, remote: u.mayRunRemotely(now),
		avoidsHeadroom: now.Sub(u.waitingSince) < headroomRackWait,
	}
	// Guarantees differ by account, and so do the workers of units with a spread limit or earlier failures.
	if step.SpreadLimit > 0 || len(u.avoidedWorkers) > 0 || u.urgent() || u.advised() {
		d.unit = u
	}
	return d
}

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

// workersAccept tells whether all workers of a placement still take new tasks.
func (p *Planner) workersAccept(u *unit, now time.Time) bool {
	for _, m := range u.members {
		if !p.accepts(m.worker, now) {
			return false
		}
	}
	return true
}

// suspendOverdue suspends the workers of a placement on which stops have not made room in time.
func (p *Planner) suspendOverdue(u *unit, now time.Time) {
	for _, m := range u.members {
		if !u.spec().Reserved().Fits(m.worker.freeNow()) && !m.worker.health.suspended(now) {
			m.worker.health.suspend(now)
		}
	}
}

// stalled tells whether a task that its worker has reported shows no progress.
func (m *member) stalled(now time.Time) bool {
	reported := m.state == active && m.unit.phase == running && m.percent >= 0 && m.percent < fullPercent
	if m.pace != fullPercent {
		// It was told to work slowly, or not at all.
		return false
	}
	return reported && now.Sub(m.percentSince) >= stallTimeout
}

// stopLeftovers stops the members of gangs that have finished elsewhere.
func (p *Planner) stopLeftovers(now time.Time) {
	for _, w := range p.workersByName {
		for _, m := range w.membersWith(func(m *member) bool { return m.leftOver(now) }) {
			m.stoppedAt = now
			u := m.unit
			p.actions = append(p.actions, Stop{Worker: w.Name, Task: u.task(m.index), Run: u.run, Reason: NotWanted})
		}
	}
}

// leftOver tells whether a member runs on although its gang has finished, and was not told to stop lately.
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

// tryRecord lets a placement be stored once there is room for all of its tasks.
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

// stopOnDraining stops what can't stay: units on workers that leave or whose failure domain was taken out.
func (p *Planner) stopOnDraining() {
	for _, w := range p.workersByName {
		if w.registered && w.State == roster.Draining {
			p.stopMovable(w, WorkerLeaves)
		}
	}
}

func (p *Planner) stopMovable(w *worker, reason StopReason) {
	for _, m := range w.sortedMembers() {
		if m.unit.phase == running && (m.unit.spec().Checkpoints || m.unit.spec().LongRunning) {
			p.stopUnit(m.unit, reason)
		}
	}
}

// stopStalled stops units whose tasks make no progress.
func (p *Planner) stopStalled(now time.Time) {
	for _, w := range p.workersByName {
		if !w.responsive {
			continue
		}
		for _, m := range w.membersWith(func(m *member) bool { return m.stalled(now) }) {
			if !m.stalled(now) {
				// The stop of another member has ended this one's unit.
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
