package scheduler

import (
	"time"

	"auburnstack/core/cell"
)

// swapCandidates is the maximum number of other pools' blocks that are compared when one gang is placed.
const swapCandidates = 32

// placeGuaranteed chooses workers for a gang inside the blocks of its pool and reports whether it found enough.
func (s *Scheduler) placeGuaranteed(g *gang, now time.Time) bool {
	uses := s.findInPartlyUsedBlock(g)
	if uses == nil {
		uses = s.findInUnusedBlock(g, now)
	}
	if uses == nil {
		uses = s.findAcrossBlocks(g)
	}
	if uses == nil {
		return false
	}
	g.term = Guaranteed
	g.uses = uses
	for _, use := range uses {
		g.workers = append(g.workers, use.worker())
	}
	return true
}

// findInPartlyUsedBlock returns places in a partly used block that can take the whole gang, or nil. It chooses the
// block with the most accelerators in use.
func (s *Scheduler) findInPartlyUsedBlock(g *gang) []blockUse {
	var best []blockUse
	bestUsed := 0
	for _, b := range s.blocks.byPool[g.Pool] {
		if b.usedTotal <= bestUsed {
			continue
		}
		if uses := b.fit(g.Shape, s.fleet); len(uses) == g.Shape.Members {
			best, bestUsed = uses, b.usedTotal
		}
	}
	return best
}

// findInUnusedBlock returns places in an unused block of the pool, or nil. It chooses the block whose reclaim, the
// stopping of borrowed work on its accelerators, loses the least work. If the reclaim would stop borrowed work, the
// function first tries to bind the block to free workers, or to swap workers with another pool's unused block whose
// reclaim loses less.
func (s *Scheduler) findInUnusedBlock(g *gang, now time.Time) []blockUse {
	own, cost := s.cheapestUnused(s.blocks.byPool[g.Pool], g, now)
	if own == nil {
		return nil
	}
	if cost > 0 && !s.relocate(own) {
		if other, otherCost := s.cheapestUnused(s.swappableBlocks(own), g, now); other != nil && otherCost < cost {
			s.blocks.swap(own, other)
		}
	}
	return own.fit(g.Shape, s.fleet)
}

// cheapestUnused returns the unused block of the list that can take the whole gang at the lowest reclaim cost, and this
// reclaim cost. It returns nil if there is no such block.
func (s *Scheduler) cheapestUnused(list []*block, g *gang, now time.Time) (*block, float64) {
	var best *block
	bestCost := 0.0
	for _, b := range list {
		if b.usedTotal > 0 || len(b.fit(g.Shape, s.fleet)) < g.Shape.Members {
			continue
		}
		cost := s.reclaimCost(b, g, now)
		if best == nil || cost < bestCost {
			best, bestCost = b, cost
		}
		if bestCost == 0 {
			break
		}
	}
	return best, bestCost
}

// reclaimCost estimates the work that is lost if borrowed gangs are stopped to place the gang in the block, in
// accelerator-seconds. For each worker without enough free accelerators, it adds the lost work of all borrowed gangs on
// the worker and the number of missing accelerators. The cost is 0 only if all accelerators that the gang needs are
// free.
func (s *Scheduler) reclaimCost(b *block, g *gang, now time.Time) float64 {
	cost := 0.0
	for _, use := range b.fit(g.Shape, s.fleet) {
		w := use.worker()
		missing := g.Shape.Accelerators - s.fleet.FreeOn(w)
		if missing <= 0 {
			continue
		}
		cost += float64(missing)
		for _, other := range s.onWorker[w] {
			if other.term == Borrowed {
				cost += other.lostWork(now)
			}
		}
	}
	return cost
}

// relocate rebinds an unused block to free accelerators outside all blocks, and reports whether there are enough.
func (s *Scheduler) relocate(b *block) bool {
	workers, ok := s.fleet.Adjacent(cell.FreeUnbound, b.shape)
	if !ok {
		return false
	}
	s.blocks.unbind(b)
	s.blocks.bind(b, workers)
	return true
}

// swappableBlocks returns at most swapCandidates bound and unused blocks of other pools with the same shape.
func (s *Scheduler) swappableBlocks(own *block) []*block {
	var found []*block
	for _, name := range s.blocks.poolsByShape(own.shape) {
		if name == own.pool {
			continue
		}
		for _, b := range s.blocks.byPool[name] {
			if b.usedTotal == 0 && b.bound() {
				found = append(found, b)
			}
			if len(found) == swapCandidates {
				return found
			}
		}
	}
	return found
}

// findAcrossBlocks returns places for a gang on different workers of several blocks of its pool, or nil.
func (s *Scheduler) findAcrossBlocks(g *gang) []blockUse {
	var uses []blockUse
	taken := map[cell.Worker]bool{}
	for _, b := range s.blocks.byPool[g.Pool] {
		for _, use := range b.fit(g.Shape, s.fleet) {
			if !taken[use.worker()] && len(uses) < g.Shape.Members {
				taken[use.worker()] = true
				uses = append(uses, use)
			}
		}
	}
	if len(uses) < g.Shape.Members {
		return nil
	}
	return uses
}
