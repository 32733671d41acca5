package planner

import (
	"sort"
	"time"

	"auburnstack/core/resources"
)

// victim is a unit that may be stopped for a more urgent one.
type victim struct {
	unit *unit
	// loss is the work that would be done again, in core-seconds.
	loss float64
}

// preemptFor stops the least valuable work that makes room for an urgent unit, and returns its places. It returns nil,
// and stops nothing, when no such work makes enough room.
func (p *Planner) preemptFor(u *unit, now time.Time) []*worker {
	freed := map[*worker]resources.Amounts{}
	free := func(w *worker) resources.Amounts { return w.free().Add(freed[w]) }
	var chosen []victim
	var places []*worker
	for _, v := range p.victims(u, now) {
		chosen = append(chosen, v)
		v.free(freed, 1)
		if places = p.placeIn(u, now, free); places != nil {
			break
		}
	}
	if places == nil {
		return nil
	}
	for i := len(chosen) - 2; i >= 0; i-- {
		chosen[i].free(freed, -1)
		if fewer := p.placeIn(u, now, free); fewer != nil {
			places = fewer
			chosen = append(chosen[:i], chosen[i+1:]...)
			continue
		}
		chosen[i].free(freed, 1)
	}
	for _, v := range chosen {
		p.displace(v.unit, now)
	}
	return places
}

// free adds what a victim holds to freed, n times.
func (v victim) free(freed map[*worker]resources.Amounts, n int) {
	for _, m := range v.unit.members {
		if m.state != ended && !m.leaving {
			freed[m.worker] = freed[m.worker].Add(v.unit.spec().Needs.Times(n))
		}
	}
}

// displace lets a unit give up its places and wait again.
func (p *Planner) displace(u *unit, now time.Time) {
	switch u.phase {
	case vacating, recording:
		p.withdraw(u)
		p.wait(u, now)
	case running:
		p.stopUnit(u, Preempted)
	default:
	}
}

// victims lists what may be stopped for a unit: first by priority, then by the work that would be lost.
func (p *Planner) victims(u *unit, now time.Time) []victim {
	entitled := p.withinGuarantee(u)
	seen := map[*unit]bool{}
	var list []victim
	for _, w := range p.order {
		for m := range w.members {
			v := m.unit
			if seen[v] || v.phase != running && v.phase != vacating && v.phase != recording {
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
		if a.unit.job.queue.Priority != b.unit.job.queue.Priority {
			return a.unit.job.queue.Priority > b.unit.job.queue.Priority
		}
		if a.loss != b.loss {
			return a.loss < b.loss
		}
		return a.unit.less(b.unit)
	})
	return list
}

func (p *Planner) mayDisplace(u, v *unit, entitled bool) bool {
	if v.job.queue.Priority > u.job.queue.Priority {
		return true
	}
	return entitled && v.job.ClientAccount != u.job.ClientAccount && !p.withinGuarantee(v)
}

// withinGuarantee tells whether an account's jobs of priority 0 need no more than its guarantee.
func (p *Planner) withinGuarantee(u *unit) bool {
	if u.job.queue.Priority != 0 {
		return false
	}
	return p.demand(u.job) <= p.policy.Guaranteed(u.job.ClientAccount)
}

// demand sums the accelerators of all jobs of priority 0 of an account that have not ended.
func (p *Planner) demand(of *jobState) int64 {
	var sum int64
	for _, j := range p.jobs {
		if j.ClientAccount != of.ClientAccount || j.queue.Priority != 0 || j.state.Final() {
			continue
		}
		for i := range j.Steps {
			sum += j.Steps[i].Needs.Accelerators * int64(j.Steps[i].Tasks)
		}
	}
	return sum
}

// loss estimates the work of a running unit that a stop would throw away.
func (p *Planner) loss(v *unit, now time.Time) float64 {
	if v.phase != running {
		return 0
	}
	lost := now.Sub(v.started)
	if v.spec().Checkpoints {
		lost = min(lost, time.Second)
	}
	return lost.Seconds() * v.spec().Needs.Cores() * float64(v.size())
}
