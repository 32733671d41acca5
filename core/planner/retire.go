package planner

import (
	"auburnstack/core/endpoint"
	"auburnstack/core/upkeep"
)

// Retire sets whether a worker is retired. A retired worker gets no new tasks.
func (p *Planner) Retire(name endpoint.Name, retired bool) {
	if w, known := p.workers[name]; known && w.retired != retired {
		w.retired = retired
		p.needsPlacement = true
	}
}

// drainRetired stops the tasks on retired workers that can continue elsewhere: those that resume from a checkpoint, and
// long-running ones as far as the absence limit of their step allows.
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

// Occupancy returns what the end of a worker would interrupt.
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
