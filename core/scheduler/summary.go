package scheduler

import (
	"auburnstack/core/cell"
	"auburnstack/core/domain"
	"auburnstack/core/pool"
)

// Summary is what other VMs know of a failure domain's capacity.
type Summary struct {
	FailureDomain domain.Name
	Accelerators  int
	Free          int
	Waiting       int
	Running       int
	// UnboundBlocks counts guaranteed blocks that no healthy accelerators are left for.
	UnboundBlocks int
	// LargestFree is the largest number of whole workers that one rack has free.
	LargestFree int
}

// Summary returns the current totals.
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

// PoolUse tells operators how much of a pool's guarantee is bound and used.
type PoolUse struct {
	Pool     pool.Name
	Blocks   int
	Bound    int
	Used     int
	Borrowed int
}

// PoolUses returns the use of every pool with blocks in this failure domain.
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

// FreeUnusable returns the free accelerators that no waiting job can use where they lie; 0 while no job waits.
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
