package scheduler

import (
	"auburnstack/core/cell"
	"auburnstack/core/endpoint"
	"auburnstack/core/shape"
)

// AddWorker adds a worker, or marks the worker as healthy if the fleet already has it, except that it ignores workers
// in quarantine.
func (s *Scheduler) AddWorker(e endpoint.Endpoint) {
	if s.Quarantined(e.Name) {
		return
	}
	w := s.fleet.Add(e)
	s.fleet.SetHealthy(w, true)
	s.blocks.bindAll()
	s.dirty = true
}

// WorkerLeaving cordons a worker: it gets no new work, and the work on it continues.
func (s *Scheduler) WorkerLeaving(name endpoint.Name) {
	if w, known := s.fleet.Lookup(name); known && s.fleet.Healthy(w) {
		s.markUnhealthy(w)
	}
}

// WorkerLost marks a worker as unhealthy and stops every gang with a member on it.
func (s *Scheduler) WorkerLost(name endpoint.Name) {
	w, known := s.fleet.Lookup(name)
	if !known {
		return
	}
	s.markUnhealthy(w)
	for _, g := range append([]*gang{}, s.onWorker[w]...) {
		s.stop(g, MemberLost)
	}
}

// markUnhealthy excludes a worker from placement and binds its blocks to other workers if possible.
func (s *Scheduler) markUnhealthy(w cell.Worker) {
	s.fleet.SetHealthy(w, false)
	for _, b := range append([]*block{}, s.blocks.byWorker[w]...) {
		s.freeBlock(b)
	}
	s.blocks.bindAll()
	s.dirty = true
}

// freeBlock unbinds a block. Gangs that use the block continue as borrowed ones.
func (s *Scheduler) freeBlock(b *block) {
	for _, g := range s.gangsIn(b) {
		s.makeBorrowed(g)
	}
	s.blocks.unbind(b)
}

// gangsIn returns the gangs that use a block, each once.
func (s *Scheduler) gangsIn(b *block) []*gang {
	var inside []*gang
	seen := map[*gang]bool{}
	for _, w := range b.workers {
		for _, g := range s.onWorker[w] {
			if !seen[g] && g.usesBlock(b) {
				inside = append(inside, g)
				seen[g] = true
			}
		}
	}
	return inside
}

func (g *gang) usesBlock(b *block) bool {
	for _, use := range g.uses {
		if use.block == b {
			return true
		}
	}
	return false
}

// CanEverFit reports whether the failure domain's healthy workers, except those that Fleet.Hide excludes from searches,
// could hold a shape if no other work ran on them.
func (s *Scheduler) CanEverFit(wanted shape.Shape) bool {
	fitting := 0
	for i := range s.fleet.Len() {
		w := cell.Worker(i)
		if s.fleet.Healthy(w) && !s.fleet.Hidden(w) && s.fleet.Total(w) >= wanted.Accelerators {
			fitting++
		}
	}
	return fitting >= wanted.Members
}
