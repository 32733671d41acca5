package planner

import "auburnstack/core/resources"

// leadingGroup returns the longest prefix of a list whose units can be placed in one search: independent tasks of one
// step without individual placement constraints. It returns at least one unit.
func leadingGroup(units []*unit) []*unit {
	first := units[0]
	if !first.interchangeable() {
		return units[:1]
	}
	n := 1
	for n < len(units) && units[n].interchangeable() && units[n].job == first.job && units[n].step == first.step &&
		units[n].occurrence == first.occurrence {
		n++
	}
	return units[:n]
}

// interchangeable reports whether a unit has no placement constraint that depends on racks, other tasks of its unit,
// earlier failures or crashes of workers. It returns false for filler tasks.
func (u *unit) interchangeable() bool {
	step := u.spec()
	return !step.Gang && !step.SameRack && step.DataRack == "" && !step.Fills && len(u.avoidedWorkers) == 0 &&
		u.mostCrashes() == 0
}

// placeGroup places as many units of a group as possible in one search, because a separate search for each unit would
// scan all workers again. It places the remaining units one by one.
func (p *Planner) placeGroup(group []*unit, r *round) {
	if len(group) > 1 {
		places := p.placeTogether(group, r)
		for i, w := range places {
			p.assign(group[i], []*worker{w}, r)
		}
		group = group[len(places):]
	}
	for _, u := range group {
		p.placeOne(u, r)
	}
}

// placeTogether returns one worker each for the first units of a group, for as many units as there is capacity.
func (p *Planner) placeTogether(group []*unit, r *round) []*worker {
	u := group[0]
	spare := p.spareFor(r, u.job.queue.Service)
	n := u.job.holding.tasksWithin(u.spec().Needs, len(group))
	if !u.urgent() {
		n = spare.maxUnits(u.spec().Needs.Accelerators, n)
	}
	if n == 0 || p.knownToFail(r, u) {
		return nil
	}
	candidates := p.candidates(newSearch(r, u, n), p.outsideHeadroom(u, spare))
	if p.placedBySpeed(u) {
		return p.fillBySpeed(u, candidates, n, r.now)
	}
	if u.job.queue.Priority > 0 {
		return p.fill(candidates, n)
	}
	fast, slow := p.bySpeed(candidates)
	places := p.fill(fast, n)
	return append(places, p.fill(slow, n-len(places))...)
}

// outsideHeadroom returns a function for the free capacity of a worker. For a unit that is neither urgent nor in a
// queue with advice, the function treats the racks that are kept free for urgent units as full.
func (p *Planner) outsideHeadroom(u *unit, spare *spareCapacity) freeFunc {
	if u.urgent() || u.advised() || len(spare.keptFree) == 0 {
		return (*worker).free
	}
	return func(w *worker) resources.Amounts {
		if spare.keptFree[w.Rack] && !p.isSlowForUrgent(w, p.now) {
			return resources.Amounts{}
		}
		return w.free()
	}
}

// maxUnits returns how many of the given units, each with the given number of accelerators, the spare capacity allows.
func (s *spareCapacity) maxUnits(accelerators int64, units int) int {
	if accelerators <= 0 || accelerators > s.ceiling {
		return units
	}
	return int(min(max(s.available, 0)/accelerators, int64(units)))
}
