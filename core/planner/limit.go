package planner

import (
	"slices"

	"auburnstack/core/resources"
)

// The limit of an account is checked three times: when a unit is placed, when its placement is submitted for storage,
// and when its start is ordered. In between, runs that should not exist may be reported and the limit may be lowered.

// reclaims reports whether less urgent work of its own account may be stopped for a unit that exceeds the account's
// limit.
func (p *Planner) reclaims(u *unit) bool {
	return u.job.queue.Priority == 0 && p.prefersUrgent()
}

// blockedByLimit reports whether a unit cannot be placed, whatever the free capacity, because of its account's limit.
func (p *Planner) blockedByLimit(u *unit) bool {
	return u.exceedsLimit() && !p.reclaims(u)
}

// exceedsLimit reports whether a unit needs more than its account's limit leaves.
func (u *unit) exceedsLimit() bool {
	return u.job.holding.limited && !u.job.holding.allows(u.needs())
}

// tasksWithin returns how many of n tasks with the given needs the limit of their account allows.
func (h *holding) tasksWithin(needs resources.Amounts, n int) int {
	if !h.limited {
		return n
	}
	return h.free().Count(needs, n)
}

// findWithinLimit returns workers for a unit that exceeds its account's limit, and the work of the account to stop, or
// nil. Runs that are being stopped already are taken into account.
func (p *Planner) findWithinLimit(s search) *eviction {
	if !p.reclaims(s.unit) {
		return nil
	}
	h := s.unit.job.holding
	s.missing = s.unit.needs().Sub(h.free()).Sub(h.stopsDue(s.round.now)).Max(resources.Amounts{})
	if s.missing != (resources.Amounts{}) && !p.canReclaim(s) {
		return nil
	}
	places := p.place(s, (*worker).free)
	if places == nil {
		return p.findFastEviction(s)
	}
	t := &tally{search: s, missing: s.missing, total: s.tasks}
	e := &eviction{victims: t.prune(p.chooseForLimit(t, nil)), places: places}
	for _, v := range e.victims {
		e.loss += v.loss
	}
	return e
}

// canReclaim reports whether stopping all work that may be stopped for a unit would satisfy its account's limit.
func (p *Planner) canReclaim(s search) bool {
	if s.unit.job.holding.lesser == 0 {
		return false
	}
	t := &tally{search: s, missing: s.missing}
	p.chooseForLimit(t, nil)
	return t.withinLimit()
}

// chooseForLimit adds units of the account of a search to the chosen victims until the account's limit allows the
// search. If the limit does not allow it even then, it adds all units that may be stopped.
func (p *Planner) chooseForLimit(t *tally, chosen []victim) []victim {
	if t.withinLimit() {
		return chosen
	}
	entitled := p.withinGuarantee(t.search.round, t.search.unit)
	for _, v := range p.victimsOf(t.search.round).byAccount[t.search.unit.job.holding] {
		t.search.round.examined++
		if !v.unit.isPlaced() || slices.Contains(chosen, v) ||
			!p.mayReclaim(t.search.unit, v.unit, entitled, chosen) || !t.reducesMissing(v) {
			continue
		}
		chosen = append(chosen, v)
		t.free(v)
		if t.withinLimit() {
			break
		}
	}
	return chosen
}

// mayReclaim reports whether unit v may be stopped in favor of an urgent unit u of the same account that exceeds the
// account's limit. Long-running tasks may be stopped for units within the guarantee of the account, as far as the
// absence limit of their step allows, and if the limit is set one at a time.
func (p *Planner) mayReclaim(u, v *unit, entitled bool, chosen []victim) bool {
	if v.job.queue.Priority <= u.job.queue.Priority {
		return false
	}
	if !v.spec().LongRunning {
		return true
	}
	if !entitled || !p.mayStop(v) {
		return false
	}
	return v.spec().AbsenceLimit < 0 || !slices.ContainsFunc(chosen, func(c victim) bool {
		return c.unit.stepRef() == v.stepRef()
	})
}

// reclaimable returns the amounts that the unit's account no longer holds soon after the unit was stopped or withdrawn.
// Runs on workers that do not answer may go on until the worker's lease has expired.
func (u *unit) reclaimable() resources.Amounts {
	var sum resources.Amounts
	for _, m := range u.members {
		if m.state != ended && !m.stopping && (m.state == planned || m.worker.responsive) {
			sum = sum.Add(u.spec().Needs)
		}
	}
	return sum
}

// withinLimit reports whether the limit of the unit's account allows the search.
func (t *tally) withinLimit() bool {
	return t.missing.Fits(resources.Amounts{})
}

// reducesMissing reports whether stopping a victim reduces an amount by which the search exceeds the account's limit.
func (t *tally) reducesMissing(v victim) bool {
	gain, missing := v.unit.reclaimable(), t.missing
	return missing.CPU > 0 && gain.CPU > 0 || missing.Memory > 0 && gain.Memory > 0 ||
		missing.Accelerators > 0 && gain.Accelerators > 0
}

// withdrawOverLimits withdraws the placements that do not fit the limits of their accounts any more because the limits
// were lowered. The most urgent placements stay.
func (p *Planner) withdrawOverLimits() {
	for _, h := range p.sortedHoldings() {
		if h.limited {
			p.withdrawOverLimit(h, isRecording, func() bool { return h.allowsRecord(resources.Amounts{}) })
			p.withdrawOverLimit(h, isNotOrdered, func() bool { return isPositive(h.free().Add(h.stopsDue(p.now))) })
		}
	}
}

// withdrawOverLimit withdraws the least urgent placements of an account that fulfill a condition until fits returns
// true.
func (p *Planner) withdrawOverLimit(h *holding, condition func(*unit) bool, fits func() bool) {
	if fits() {
		return
	}
	for _, u := range p.placementsOf(h, condition) {
		if fits() {
			return
		}
		p.placeAgain(u, p.now)
	}
}

// placementsOf returns the units of an account that have workers and fulfill a condition, the least urgent first.
func (p *Planner) placementsOf(h *holding, condition func(*unit) bool) []*unit {
	var list []*unit
	for _, w := range p.workersByName {
		for m := range w.members {
			// The first member stands for its unit.
			if m.unit.job.holding == h && condition(m.unit) && m.unit.members[0] == m {
				list = append(list, m.unit)
			}
		}
	}
	slices.SortFunc(list, (*unit).compareUrgency)
	return list
}

// OverLimit reports whether a start may raise what its account runs above the account's limit, although the start was
// ordered within the limit: the limit was lowered since, or a run was reported that should not exist.
func (p *Planner) OverLimit(start Start) bool {
	j, known := p.jobs[start.Task.Job]
	return known && j.holding.isOver()
}

// Limited reports whether the account of a start has a limit.
func (p *Planner) Limited(start Start) bool {
	j, known := p.jobs[start.Task.Job]
	return known && j.holding.limited
}

// isOver reports whether the account's runs exceed its limit and will still do so when the runs have ended that are
// being stopped.
func (h *holding) isOver() bool {
	if h.allowsStart(resources.Amounts{}) {
		return false
	}
	rest := h.running.Add(h.unexpected)
	for m := range h.stopping {
		rest = rest.Sub(m.unit.spec().Needs)
	}
	return !rest.Fits(h.bound())
}
