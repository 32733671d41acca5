package planner

import (
	"auburnstack/core/endpoint"
	"auburnstack/core/upkeep"
)

// Retire lets a worker finish what it runs and get nothing new, or takes that back.
func (p *Planner) Retire(name endpoint.Name, retired bool) {
	if w, known := p.workers[name]; known && w.retired != retired {
		w.retired = retired
		p.needsPlacement = true
	}
}

// drainRetired moves what can go on elsewhere away from retired workers: tasks that resume from a checkpoint, and
// long-running ones as far as their job allows.
func (p *Planner) drainRetired() {
	for _, w := range p.workersByName {
		if !w.retired {
			continue
		}
		for _, m := range w.sortedMembers() {
			step := m.unit.spec()
			if m.unit.phase == running && (step.Checkpoints || step.LongRunning) && p.mayStop(m.unit) {
				p.stopUnit(m.unit, WorkerLeaves)
			}
		}
	}
}

// Occupancy tells what the end of a worker would cost.
func (p *Planner) Occupancy(name endpoint.Name) upkeep.Occupancy {
	w, known := p.workers[name]
	if !known || len(w.members) == 0 {
		return upkeep.Empty
	}
	for m := range w.members {
		if m.unit.spec().LongRunning && !m.unit.job.state.Final() {
			return upkeep.Serving
		}
	}
	return upkeep.Busy
}
