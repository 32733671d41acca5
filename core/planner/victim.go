package planner

import (
	"sort"
	"time"

	"auburnstack/core/endpoint"
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

// lossDensity returns the loss for each core that stopping the victim frees.
func (v *victim) lossDensity() float64 {
	return v.loss / max(v.unit.spec().Needs.Cores()*float64(v.unit.size()), 1)
}

// victims lists the placed and running units of a site, in the order in which they are stopped: units that are not
// urgent first, then by increasing loss per core.
type victims struct {
	all    []victim
	byRack map[endpoint.Rack][]victim
	// racks lists the racks of byRack in alphabetical order.
	racks []endpoint.Rack
	// byAccount holds the victims of each account with a limit.
	byAccount map[*holding][]victim
}

// victimsOf returns the victims among all units of the site and collects them once per call of Plan.
func (p *Planner) victimsOf(r *round) *victims {
	if r.victims != nil {
		return r.victims
	}
	list := &victims{byRack: map[endpoint.Rack][]victim{}, byAccount: map[*holding][]victim{}}
	seen := map[*unit]bool{}
	for _, w := range p.workersByName {
		for m := range w.members {
			u := m.unit
			if !seen[u] && u.isPlaced() {
				seen[u] = true
				list.all = append(list.all, victim{unit: u, loss: p.loss(u, r.now)})
			}
		}
	}
	sort.Slice(list.all, func(i, j int) bool { return list.all[i].stopsBefore(&list.all[j]) })
	for _, v := range list.all {
		if h := v.unit.job.holding; h.limited {
			list.byAccount[h] = append(list.byAccount[h], v)
		}
		for rack := range v.unit.racks() {
			list.byRack[rack] = append(list.byRack[rack], v)
		}
	}
	for rack := range list.byRack {
		list.racks = append(list.racks, rack)
	}
	sort.Slice(list.racks, func(i, j int) bool { return list.racks[i] < list.racks[j] })
	r.examined += len(seen)
	r.victims = list
	return list
}

// stopsBefore reports whether a victim is stopped rather than another one.
func (v *victim) stopsBefore(other *victim) bool {
	if v.unit.urgent() != other.unit.urgent() {
		return other.unit.urgent()
	}
	if x, y := v.lossDensity(), other.lossDensity(); x != y {
		return x < y
	}
	return v.unit.less(other.unit)
}

// isPlaced reports whether a unit holds capacity that it would give up if it were stopped or withdrawn.
func (u *unit) isPlaced() bool {
	return u.phase == running || u.phase == awaitingCapacity || u.phase == recording
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

// mayDisplace reports whether unit v may be stopped in favor of unit u. The parameter entitled is true if u has
// priority 0 and the demand of u's account is within the account's guarantee.
func (p *Planner) mayDisplace(r *round, u, v *unit, entitled bool) bool {
	if v.spec().LongRunning {
		return entitled && v.job.queue.Priority > 0 && v.job.ClientAccount != u.job.ClientAccount && p.mayStop(v)
	}
	if u.spec().LongRunning && u.job.queue.Priority > 0 {
		return v.job.queue.Priority > 0
	}
	if v.job.queue.Priority > u.job.queue.Priority {
		return true
	}
	return entitled && v.job.ClientAccount != u.job.ClientAccount && !p.withinGuarantee(r, v)
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
