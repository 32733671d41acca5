package planner

import (
	"auburnstack/core/endpoint"
	"auburnstack/core/upkeep"
)

// Retire sets whether a worker is retired. A retired worker gets no new tasks, and Plan stops the worker's tasks that
// can continue on other workers.
func (p *Planner) Retire(name endpoint.Name, retired bool) {
	if w, known := p.workers[name]; known && w.retired != retired {
		w.retired = retired
		p.anyRetired = p.anyRetired || retired
		p.needsPlacement = true
	}
}

// drainRetired stops the tasks on retired workers that can continue on other workers: tasks that resume from a
// checkpoint and long-running tasks, as far as the absence limit of their step allows.
func (p *Planner) drainRetired() {
	if !p.anyRetired {
		return
	}
	p.anyRetired = false
	for _, w := range p.workersByName {
		if !w.retired {
			continue
		}
		p.anyRetired = true
		for _, m := range w.sortedMembers() {
			step := m.unit.spec()
			if m.unit.phase == running && (step.Checkpoints || step.LongRunning) && p.mayStop(m.unit) {
				p.stopUnit(m.unit, WorkerLeaves)
			}
		}
	}
}

// Occupancy returns the kind of tasks that would be interrupted if the worker exited.
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
