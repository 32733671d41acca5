package planner

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/resources"
)

// eviction is a set of units to stop and the workers that the urgent unit then gets.
type eviction struct {
	victims []victim
	places  []*worker
	loss    float64
}

// findEviction returns the work to stop for an urgent unit and the unit's workers. It prefers the cheapest eviction
// that places the unit in a single rack. If stopping all possible victims would not free enough capacity, it returns
// nil.
func (p *Planner) findEviction(s search) *eviction {
	if best := p.cheapestRack(s); best != nil || s.needsOneRack() {
		return best
	}
	return p.evict(s, p.viewOf(s.round, s.unit.job.queue.Service).accepting, p.victimsOf(s.round).all)
}

// cheapestRack returns the eviction with the least loss among those that place a unit in a single rack, or nil. It
// tries single racks even for a unit that may be spread over several, because work that fills a whole rack is seldom
// spread over more racks than necessary.
func (p *Planner) cheapestRack(s search) *eviction {
	view, list := p.viewOf(s.round, s.unit.job.queue.Service), p.victimsOf(s.round)
	data := endpoint.Rack(s.unit.spec().DataRack)
	var best *eviction
	for _, rack := range list.racks {
		if data != "" && data != rack {
			continue
		}
		if e := p.evict(s, view.racks[rack], list.byRack[rack]); e != nil && (best == nil || e.loss < best.loss) {
			best = e
		}
	}
	return best
}

// evict returns the eviction that places the unit on the given workers, or nil. If the unit exceeds its account's
// limit, evict also tries to stop work of the account first, because that satisfies the limit as well.
func (p *Planner) evict(s search, workers []*worker, victims []victim) *eviction {
	best := p.evictInOrder(s, workers, victims)
	if s.missing == (resources.Amounts{}) {
		return best
	}
	own := p.evictInOrder(s, workers, s.unit.ownFirst(victims))
	if best == nil || own != nil && own.loss < best.loss {
		return own
	}
	return best
}

// ownFirst returns the victims with those of the unit's account first.
func (u *unit) ownFirst(victims []victim) []victim {
	var own, others []victim
	for _, v := range victims {
		if v.unit.job.holding == u.job.holding {
			own = append(own, v)
		} else {
			others = append(others, v)
		}
	}
	return append(own, others...)
}

// evictInOrder selects victims in the given order until the unit can be placed on the given workers, then victims that
// its account's limit requires, and then removes the victims that turn out not to be needed. It returns nil if all
// victims together do not suffice.
func (p *Planner) evictInOrder(s search, workers []*worker, victims []victim) *eviction {
	t := p.newTally(s, workers)
	entitled := p.withinGuarantee(s.round, s.unit)
	var chosen []victim
	for i := 0; t.total < s.tasks && i < len(victims); i++ {
		v := victims[i]
		if v.unit.isPlaced() && t.affects(v) && p.mayDisplace(s.round, s.unit, v.unit, entitled) {
			chosen = append(chosen, v)
			t.free(v)
		}
	}
	if t.total < s.tasks {
		return nil
	}
	chosen = p.chooseForLimit(t, chosen)
	if !t.withinLimit() {
		return nil
	}
	chosen = t.prune(chosen)
	places := p.choose(s, t.candidates())
	if places == nil {
		return nil
	}
	e := &eviction{victims: chosen, places: places}
	for _, v := range chosen {
		e.loss += v.loss
	}
	return e
}

// displace stops a running unit, or withdraws its placement and makes it wait again.
func (p *Planner) displace(u *unit, now time.Time) {
	switch u.phase {
	case awaitingCapacity, recording:
		p.withdraw(u)
		p.enqueue(u, now)
	case running:
		p.stopUnit(u, Preempted)
	default:
	}
}
