package scheduler

import (
	"auburnstack/core/cell"
)

// hold counts a gang's accelerators as held and lists the gang on its workers.
func (s *Scheduler) hold(g *gang) {
	s.gangs[g.ID] = g
	s.updateLedger(g, 1)
	for _, w := range g.workers {
		s.onWorker[w] = append(s.onWorker[w], g)
	}
}

// release counts a gang's accelerators as released, removes the gang from the lists of its workers, and marks it as
// stopping.
func (s *Scheduler) release(g *gang) {
	delete(s.gangs, g.ID)
	s.updateLedger(g, -1)
	for _, w := range g.workers {
		s.onWorker[w] = removeItem(s.onWorker[w], g)
	}
	g.phase = stopping
}

// updateLedger counts the gang's accelerators as held (sign 1) or as released (sign -1). The accelerators count as
// guaranteed or as borrowed, according to the gang's term.
func (s *Scheduler) updateLedger(g *gang, sign int) {
	count := sign * g.Shape.Accelerators
	for i, w := range g.workers {
		if g.term == Guaranteed {
			g.uses[i].hold(count)
			s.fleet.HoldGuaranteed(w, count)
			continue
		}
		s.fleet.HoldBorrowed(w, g.Class, count)
	}
	if g.term == Borrowed {
		s.borrowedBy[g.Pool] += count * len(g.workers)
	}
}

// makeBorrowed turns a guaranteed gang into a borrowed one on the same workers.
func (s *Scheduler) makeBorrowed(g *gang) {
	s.updateLedger(g, -1)
	g.term = Borrowed
	g.uses = nil
	s.updateLedger(g, 1)
}

// makeGuaranteed binds an unused block of the gang's pool to the workers of a borrowed gang and turns the gang into a
// guaranteed one. The gang stays borrowed if there is no such block or if a worker of the gang has too few usable
// accelerators outside the blocks in use.
func (s *Scheduler) makeGuaranteed(g *gang) {
	target := s.blockFor(g)
	if target == nil {
		return
	}
	if target.bound() {
		s.blocks.unbind(target)
	}
	if !s.unbindUnusedOn(g) {
		s.blocks.bindAll()
		return
	}
	s.updateLedger(g, -1)
	s.blocks.bind(target, append([]cell.Worker{}, g.workers...))
	g.term = Guaranteed
	g.uses = target.fit(g.Shape, s.fleet)
	s.updateLedger(g, 1)
}

// blockFor returns an unused block of the gang's pool with exactly the gang's shape, or nil.
func (s *Scheduler) blockFor(g *gang) *block {
	for _, b := range s.blocks.byPool[g.Pool] {
		if b.usedTotal == 0 && b.shape == g.Shape {
			return b
		}
	}
	return nil
}

// unbindUnusedOn unbinds unused blocks on the gang's workers until a block of the gang's shape fits on these workers,
// and reports whether such a block fits.
func (s *Scheduler) unbindUnusedOn(g *gang) bool {
	for _, w := range g.workers {
		for _, b := range append([]*block{}, s.blocks.byWorker[w]...) {
			if b.usedTotal == 0 && s.fleet.Usable(cell.Unbound, w) < g.Shape.Accelerators {
				s.blocks.unbind(b)
			}
		}
		if s.fleet.Usable(cell.Unbound, w) < g.Shape.Accelerators {
			return false
		}
	}
	return true
}
