package planner

import (
	"time"

	"auburnstack/core/endpoint"
)

const (
	// leftoverTimeout is the time for which the other members of a gang may continue to run after the gang has
	// finished. After that, they are stopped.
	leftoverTimeout = time.Second
	// headroomWait is the time for which a unit that is not urgent waits for capacity outside the racks that are
	// kept free for urgent units.
	headroomWait = 2500 * time.Millisecond
	// sweepInterval is the minimum time between two checks of all workers and jobs for conditions that depend only on
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
	if p.SweepDue(now) {
		p.lastSweep = now
		p.sweep(now)
	}
	p.drainRetired()
	p.consult(now)
	if p.needsPlacement {
		p.needsPlacement = false
		p.recordPlacements(now)
		p.placeWaiting(now)
	}
	return p.TakeActions()
}

// TakeActions returns the actions that follow from the events since the last call of Plan or TakeActions alone. It
// places no waiting units and looks at no conditions that depend on time, so it costs little.
func (p *Planner) TakeActions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

// SweepDue reports whether the next call of Plan checks all workers for expired leases and for conditions that depend
// on time. The lease renewals that were sent must be known to the planner by then.
func (p *Planner) SweepDue(now time.Time) bool {
	return now.Sub(p.lastSweep) >= sweepInterval
}

// sweep checks all workers and jobs for conditions that depend only on time.
func (p *Planner) sweep(now time.Time) {
	p.expireLeases(now)
	p.forgetSuspects()
	p.unblockDue(now)
	p.stopOnDraining(now)
	p.stopStalled(now)
	p.stopLeftovers(now)
	p.paceFillers(now)
}

// Tick makes the next call of Plan try all placements again, because a placement can become possible by the passage of
// time alone.
func (p *Planner) Tick() {
	p.needsPlacement = true
}

// unblockDue makes the units of recurring jobs ready for placement when the due time of their occurrence approaches.
func (p *Planner) unblockDue(now time.Time) {
	for id, j := range p.recurring {
		if j.state.Final() {
			delete(p.recurring, id)
			continue
		}
		p.unblock(j, now)
	}
}

// placeWaiting places waiting units in the order of their urgency, until all have been tried or the call has examined
// as many workers as it may. In the latter case the next call of Plan continues.
func (p *Planner) placeWaiting(now time.Time) {
	r := p.continueRound(now)
	defer func() { p.lastExamined = r.examined }()
	for _, step := range p.queueOrder(now) {
		units := r.untried(step.units)
		sortUnits(units)
		for len(units) > 0 {
			if r.exhausted() {
				p.needsPlacement = true
				return
			}
			group := leadingGroup(units)
			units = units[len(group):]
			r.markTried(group)
			p.placeGroup(group, r)
		}
	}
	p.round = nil
}

// InRound reports whether the last call of Plan has left waiting units for the next call.
func (p *Planner) InRound() bool {
	return p.round != nil
}

// placeOne places a single unit. For an urgent unit, it preempts other work if there is not enough free capacity.
func (p *Planner) placeOne(u *unit, r *round) {
	spare := p.spareFor(r, u.job.queue.Service)
	wanted := u.spec().Needs.Accelerators * int64(u.size())
	if p.blockedByLimit(u) || !u.urgent() && !u.allowedBy(spare, wanted, r.now) || p.knownToFail(r, u) {
		return
	}
	found := p.find(newSearch(r, u, u.size()), spare)
	if found == nil {
		p.markFailed(u, r, spare)
		return
	}
	for _, v := range found.victims {
		p.displace(v.unit, r.now)
	}
	if len(found.victims) > 0 {
		r.forgetWorkers()
	}
	p.assign(u, found.places, r)
}

// allowedBy reports whether the headroom of a service leaves the wanted number of accelerators to a unit that is not
// urgent.
func (u *unit) allowedBy(spare *spareCapacity, wanted int64, now time.Time) bool {
	return spare.allows(wanted) || now.Sub(u.waitingSince) >= headroomWait && spare.allowsWaiting(wanted)
}

// find returns workers for a unit and the work to stop there, or nil.
func (p *Planner) find(s search, spare *spareCapacity) *eviction {
	if s.unit.exceedsLimit() {
		return p.findWithinLimit(s)
	}
	if places := p.placeAvoidingHeadroom(s, spare); places != nil {
		return &eviction{places: places}
	}
	if s.unit.urgent() && p.prefersUrgent() {
		return p.findFastEviction(s)
	}
	return nil
}

// markFailed records that a unit cannot be placed. If the unit could not be placed without its own limits either, this
// holds for all units with the same common demand.
func (p *Planner) markFailed(u *unit, r *round, spare *spareCapacity) {
	key := p.demandFor(r, u)
	r.failed[key] = true
	if key.unit == nil || u.advised() {
		return
	}
	s := newSearch(r, u, u.size())
	s.ignoreOwnLimits = true
	if p.find(s, spare) == nil {
		r.failed[p.commonDemand(r, u)] = true
	}
}

// assign reserves capacity for a unit on the given workers, one worker per task.
func (p *Planner) assign(u *unit, places []*worker, r *round) {
	spare := p.spareFor(r, u.job.queue.Service)
	wanted := u.spec().Needs.Accelerators * int64(u.size())
	spare.available -= wanted
	spare.free -= wanted
	delete(p.waiting, u)
	u.reserve(places)
	u.phase = awaitingCapacity
	u.placedAt = r.now
	p.awaitingCapacity[u] = struct{}{}
	p.tryRecord(u)
}

// placeAvoidingHeadroom returns workers for a unit, or nil. A unit that is neither urgent nor in a queue with advice
// may use the racks kept free for urgent units only after headroomWait, or if its data is in one of them.
func (p *Planner) placeAvoidingHeadroom(s search, spare *spareCapacity) []*worker {
	u := s.unit
	if u.urgent() || u.advised() || len(spare.keptFree) == 0 {
		return p.place(s, (*worker).free)
	}
	outside := s
	outside.remote = false
	if places := p.place(outside, p.outsideHeadroom(u, spare)); places != nil {
		return places
	}
	dataKeptFree := spare.keptFree[endpoint.Rack(u.spec().DataRack)]
	if s.round.now.Sub(u.waitingSince) >= headroomWait || dataKeptFree {
		return p.place(s, (*worker).free)
	}
	return nil
}

// recordPlacements submits placements for storage once their workers have enough free capacity. It withdraws
// placements on workers that no longer accept tasks, and makes their units wait again.
func (p *Planner) recordPlacements(now time.Time) {
	for _, u := range p.sortedAwaitingCapacity() {
		if now.Sub(u.placedAt) > capacityTimeout {
			p.suspendOverdue(u, now)
			if !u.job.holding.allowsRecord(u.needs()) {
				// The stops that the account's limit requires are overdue. The unit must not hold its workers any longer.
				p.placeAgain(u, now)
				continue
			}
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

// tryRecord submits a placement for storage if its workers have enough free capacity for all of its tasks, and if the
// limit of its account allows its start.
func (p *Planner) tryRecord(u *unit) {
	if h := u.job.holding; h.limited && !h.allowsRecord(u.needs()) {
		return
	}
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
	u.job.holding.recording = u.job.holding.recording.Add(u.needs())
	u.run++
	p.markDirty(u.part)
	u.recordVersion = u.part.version
}
