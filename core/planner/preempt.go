package planner

import (
	"sort"
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/resources"
)

const (
	// restartLoss is the time for which a unit's resources do no useful work when the unit is stopped and restarted. It
	// is added to the time of lost work.
	restartLoss = 500 * time.Millisecond
	// checkpointLoss is the average running time since the last checkpoint. The work of this time is lost when a unit
	// is stopped.
	checkpointLoss = 500 * time.Millisecond
)

// victim is a unit that may be stopped in favor of a more urgent one.
type victim struct {
	unit *unit
	// loss is the cost of stopping the unit, in core-seconds weighted by priority.
	loss float64
}

// eviction is a set of units to stop and the workers that the urgent unit then gets.
type eviction struct {
	victims []victim
	places  []*worker
	loss    float64
}

// preemptFor preempts work for an urgent unit and returns the unit's workers. It prefers the cheapest eviction that
// places the unit in a single rack. If stopping all possible victims would not free enough capacity, it stops nothing
// and returns nil.
func (p *Planner) preemptFor(u *unit, now time.Time) []*worker {
	victims := p.victims(u, now)
	if len(victims) == 0 {
		return nil
	}
	best := p.cheapestRack(u, victims)
	if best == nil {
		best = p.evict(u, victims, func(u *unit, free freeFunc) []*worker { return p.placeIn(u, free, u.mayBeRemote(now)) })
	}
	if best == nil {
		return nil
	}
	for _, v := range best.victims {
		p.displace(v.unit, now)
	}
	return best.places
}

// cheapestRack returns the eviction with the least loss among those that place a unit in a single rack, or nil. It
// tries single racks even for a unit that may be spread over several, because work that fills a whole rack is seldom
// spread over more racks than necessary.
func (p *Planner) cheapestRack(u *unit, victims []victim) *eviction {
	inRacks := map[endpoint.Rack][]victim{}
	var racks []endpoint.Rack
	for _, v := range victims {
		for rack := range v.unit.racks() {
			if inRacks[rack] == nil {
				racks = append(racks, rack)
			}
			inRacks[rack] = append(inRacks[rack], v)
		}
	}
	sort.Slice(racks, func(i, j int) bool { return racks[i] < racks[j] })
	var best *eviction
	for _, rack := range racks {
		if data := u.spec().DataRack; data != "" && endpoint.Rack(data) != rack {
			continue
		}
		e := p.evict(u, inRacks[rack], func(u *unit, free freeFunc) []*worker {
			return p.pick(inRack(p.candidates(u, u.size(), free), rack), u.size())
		})
		if e != nil && (best == nil || e.loss < best.loss) {
			best = e
		}
	}
	return best
}

// racks returns the racks in which members of a unit have not ended.
func (u *unit) racks() map[endpoint.Rack]bool {
	racks := map[endpoint.Rack]bool{}
	for _, m := range u.members {
		if m.state != ended {
			racks[m.worker.Rack] = true
		}
	}
	return racks
}

// evict selects victims in the given order until the unit can be placed, and then removes the victims that turn out not
// to be needed. It returns nil if all victims together do not suffice.
func (p *Planner) evict(
	u *unit, victims []victim, place func(u *unit, free freeFunc) []*worker,
) *eviction {
	freed := map[*worker]resources.Amounts{}
	free := func(w *worker) resources.Amounts { return w.free().Add(freed[w]) }
	var chosen []victim
	places := place(u, free)
	for i := 0; places == nil && i < len(victims); i++ {
		chosen = append(chosen, victims[i])
		victims[i].addFreed(freed, 1)
		places = place(u, free)
	}
	if places == nil {
		return nil
	}
	for i := len(chosen) - 1; i >= 0; i-- {
		chosen[i].addFreed(freed, -1)
		if fewer := place(u, free); fewer != nil {
			places = fewer
			chosen = append(chosen[:i], chosen[i+1:]...)
			continue
		}
		chosen[i].addFreed(freed, 1)
	}
	e := &eviction{victims: chosen, places: places}
	for _, v := range chosen {
		e.loss += v.loss
	}
	return e
}

// addFreed adds the capacity that stopping the victim would free, multiplied by n, to the map freed. The value -1 of n
// undoes an addition.
func (v victim) addFreed(freed map[*worker]resources.Amounts, n int) {
	for _, m := range v.unit.members {
		if m.state != ended && !m.stopping {
			freed[m.worker] = freed[m.worker].Add(v.unit.spec().Reserved().Times(n))
		}
	}
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

// victims returns the units that may be stopped in favor of the given unit. Units that are not urgent come first. Units
// of equal urgency are sorted by increasing loss per core.
func (p *Planner) victims(u *unit, now time.Time) []victim {
	entitled := p.withinGuarantee(u)
	seen := map[*unit]bool{}
	var list []victim
	for _, w := range p.workersByName {
		for m := range w.members {
			v := m.unit
			if seen[v] || v.phase != running && v.phase != awaitingCapacity && v.phase != recording {
				continue
			}
			seen[v] = true
			if p.mayDisplace(u, v, entitled) {
				list = append(list, victim{unit: v, loss: p.loss(v, now)})
			}
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := &list[i], &list[j]
		if a.unit.urgent() != b.unit.urgent() {
			return b.unit.urgent()
		}
		if x, y := a.lossDensity(), b.lossDensity(); x != y {
			return x < y
		}
		return a.unit.less(b.unit)
	})
	return list
}

// lossDensity returns the loss for each core that stopping the victim frees.
func (v *victim) lossDensity() float64 {
	return v.loss / max(v.unit.spec().Needs.Cores()*float64(v.unit.size()), 1)
}

// mayDisplace reports whether unit v may be stopped in favor of unit u. The parameter entitled is true if u has
// priority 0 and the demand of u's account is within the account's guarantee.
func (p *Planner) mayDisplace(u, v *unit, entitled bool) bool {
	if v.spec().LongRunning {
		return entitled && v.job.queue.Priority > 0 && v.job.ClientAccount != u.job.ClientAccount && p.mayStop(v)
	}
	if u.spec().LongRunning && u.job.queue.Priority > 0 {
		return v.job.queue.Priority > 0
	}
	if v.job.queue.Priority > u.job.queue.Priority {
		return true
	}
	return entitled && v.job.ClientAccount != u.job.ClientAccount && !p.withinGuarantee(v)
}

// withinGuarantee reports whether a unit has priority 0 and its account's total demand at priority 0 does not exceed
// the account's guarantee.
func (p *Planner) withinGuarantee(u *unit) bool {
	if u.job.queue.Priority != 0 {
		return false
	}
	return p.accountDemand(u.job) <= p.policy.Guaranteed(u.job.ClientAccount)
}

// accountDemand returns the number of accelerators that all unfinished jobs of priority 0 ask for together, counting
// only the jobs of the given job's account.
func (p *Planner) accountDemand(job *jobState) int64 {
	var sum int64
	for _, j := range p.jobs {
		if j.ClientAccount != job.ClientAccount || j.queue.Priority != 0 || j.state.Final() {
			continue
		}
		for i := range j.Steps {
			sum += j.Steps[i].Needs.Accelerators * int64(j.Steps[i].Tasks)
		}
	}
	return sum
}

// loss estimates the cost of stopping a unit: the work that must be repeated, weighted so that it costs more to stop a
// unit of high priority.
func (p *Planner) loss(v *unit, now time.Time) float64 {
	if v.phase != running {
		return 0
	}
	lost := now.Sub(v.startedAt)
	if v.spec().Checkpoints {
		lost = min(lost, checkpointLoss)
	}
	const urgency = 3
	weight := 1.0
	if v.job.queue.Priority <= 1 {
		weight = urgency
	}
	return weight * (lost + restartLoss).Seconds() * v.spec().Needs.Cores() * float64(v.size())
}
