package scheduler

import (
	"auburnstack/core/cell"
	"auburnstack/core/pool"
	"auburnstack/core/shape"
)

// block is one guaranteed unit of a pool's capacity. It is bound to workers if enough healthy ones have accelerators
// that no other block covers.
type block struct {
	pool  pool.Name
	shape shape.Shape
	// workers has one entry for each member of the shape; it is empty while the block is unbound.
	workers []cell.Worker
	// used holds, for each entry of workers at the same index, the number of accelerators that guaranteed gangs use in
	// the block on that worker. Each number is at most shape.Accelerators.
	used []int
	// usedTotal is the sum of used.
	usedTotal int
}

// blockUse is the place of one gang member in a block: position is an index into block.workers.
type blockUse struct {
	block    *block
	position int
}

func (b *block) bound() bool {
	return len(b.workers) > 0
}

// fit returns places in the block for the members of the wanted shape: one for each member, or fewer if the block
// cannot take all members. It skips the workers that Fleet.Hide excludes from searches.
func (b *block) fit(wanted shape.Shape, fleet *cell.Fleet) []blockUse {
	var uses []blockUse
	for position := range b.workers {
		if fleet.Hidden(b.workers[position]) {
			continue
		}
		if len(uses) == wanted.Members {
			break
		}
		if b.shape.Accelerators-b.used[position] >= wanted.Accelerators {
			uses = append(uses, blockUse{block: b, position: position})
		}
	}
	return uses
}

func (u blockUse) worker() cell.Worker {
	return u.block.workers[u.position]
}

// hold adds the given number of accelerators to those in use at this place of the block. A negative number releases
// accelerators.
func (u blockUse) hold(accelerators int) {
	u.block.used[u.position] += accelerators
	u.block.usedTotal += accelerators
}
