package scheduler

import (
	"auburnstack/core/cell"
	"auburnstack/core/domain"
	"auburnstack/core/pool"
)

// Summary describes the capacity and load of a failure domain; VMs exchange it.
type Summary struct {
	FailureDomain domain.Name
	Accelerators  int
	Free          int
	Waiting       int
	Running       int
	// UnboundBlocks is the number of guaranteed blocks that could not be bound to healthy workers.
	UnboundBlocks int
	// LargestFree is the number of entirely free workers in the rack that has the most such workers. Only workers with
	// the largest number of accelerators count.
	LargestFree int
}

// Summary returns the current summary of the failure domain.
func (s *Scheduler) Summary() Summary {
	largestWorker := 0
	for w := range s.fleet.Len() {
		largestWorker = max(largestWorker, s.fleet.Total(cell.Worker(w)))
	}
	return Summary{
		FailureDomain: s.domain,
		Accelerators:  s.fleet.TotalAccelerators(),
		Free:          s.fleet.FreeAccelerators(),
		Waiting:       s.queue.len(),
		Running:       len(s.gangs),
		UnboundBlocks: s.blocks.unbound,
		LargestFree:   s.fleet.LargestAdjacent(cell.Free, largestWorker),
	}
}

// PoolUse describes the use of a pool in this failure domain. Blocks is the number of the pool's guaranteed blocks.
// Bound is the number of these blocks that are bound to workers. Used is the number of these blocks that have work in
// them. Borrowed is the number of accelerators that the pool has borrowed.
type PoolUse struct {
	Pool     pool.Name
	Blocks   int
	Bound    int
	Used     int
	Borrowed int
}

// PoolUses returns the use of every pool of the pools table, including pools without blocks in this failure domain.
func (s *Scheduler) PoolUses() []PoolUse {
	var uses []PoolUse
	for _, p := range s.tables.AllPools() {
		use := PoolUse{Pool: p.Name, Borrowed: s.borrowedBy[p.Name]}
		for _, b := range s.blocks.byPool[p.Name] {
			use.Blocks++
			if b.bound() {
				use.Bound++
			}
			if b.usedTotal > 0 {
				use.Used++
			}
		}
		uses = append(uses, use)
	}
	return uses
}

// FreeUnusable returns the number of free accelerators if jobs wait and none of these jobs fits into the free
// accelerators. Otherwise it returns 0.
func (s *Scheduler) FreeUnusable() int {
	if s.queue.len() == 0 {
		return 0
	}
	for _, l := range s.queue.lanes {
		if _, ok := s.queue.head(l); !ok {
			continue
		}
		if _, fits := s.fleet.Adjacent(cell.Free, l.shape); fits {
			return 0
		}
	}
	return s.fleet.FreeAccelerators()
}
