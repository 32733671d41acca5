package scheduler

import (
	"sort"

	"auburnstack/core/cell"
	"auburnstack/core/pool"
	"auburnstack/core/shape"
)

// blocks holds the guaranteed blocks of all pools in one failure domain and binds them to workers.
type blocks struct {
	fleet *cell.Fleet
	// byPool holds each pool's blocks in this failure domain, whether bound or not.
	byPool map[pool.Name][]*block
	// byWorker lists the blocks bound to each worker.
	byWorker map[cell.Worker][]*block
	// unbound is the number of blocks that the last call of bindAll could not bind.
	unbound int
}

func newBlocks(fleet *cell.Fleet) *blocks {
	return &blocks{fleet: fleet, byPool: map[pool.Name][]*block{}, byWorker: map[cell.Worker][]*block{}}
}

func (b *blocks) bind(target *block, workers []cell.Worker) {
	target.workers = workers
	target.used = make([]int, len(workers))
	for _, w := range workers {
		b.fleet.Bind(w, target.shape.Accelerators)
		b.byWorker[w] = append(b.byWorker[w], target)
	}
}

// unbind releases the workers of a block. No gang may use the block.
func (b *blocks) unbind(target *block) {
	for _, w := range target.workers {
		b.fleet.Bind(w, -target.shape.Accelerators)
		b.byWorker[w] = removeItem(b.byWorker[w], target)
	}
	target.workers = nil
	target.used = nil
}

// swap exchanges the workers of two unused blocks that have the same shape.
func (b *blocks) swap(first, second *block) {
	firstWorkers, secondWorkers := first.workers, second.workers
	b.unbind(first)
	b.unbind(second)
	b.bind(first, secondWorkers)
	b.bind(second, firstWorkers)
}

// bindAll binds every unbound block, the largest shape first. If some blocks cannot be bound, it repacks all unused
// blocks.
func (b *blocks) bindAll() {
	if b.bindEach(b.matching(func(x *block) bool { return !x.bound() })) == 0 {
		b.unbound = 0
		return
	}
	b.repack()
	b.unbound = len(b.matching(func(x *block) bool { return !x.bound() }))
}

// repack unbinds all unused blocks and binds them again, the largest shape first. If fewer blocks are bound than
// before, it restores the previous bindings.
func (b *blocks) repack() {
	unused := b.matching(func(x *block) bool { return x.usedTotal == 0 })
	before := make([][]cell.Worker, len(unused))
	boundBefore := 0
	for i, target := range unused {
		before[i] = target.workers
		if target.bound() {
			boundBefore++
			b.unbind(target)
		}
	}
	missing := b.bindEach(unused)
	if len(unused)-missing >= boundBefore {
		return
	}
	for i, target := range unused {
		if target.bound() {
			b.unbind(target)
		}
		unused[i] = target
	}
	for i, target := range unused {
		if len(before[i]) > 0 {
			b.bind(target, before[i])
		}
	}
}

// bindEach binds the given blocks in order and returns the number of blocks that it could not bind.
func (b *blocks) bindEach(targets []*block) int {
	missing := 0
	noPlace := map[shape.Shape]bool{}
	for _, target := range targets {
		if noPlace[target.shape] {
			missing++
			continue
		}
		workers, ok := b.fleet.Adjacent(cell.Unbound, target.shape)
		if !ok {
			noPlace[target.shape] = true
			missing++
			continue
		}
		b.bind(target, workers)
	}
	return missing
}

// matching returns the blocks for which the function matches returns true, the largest shape first. The order is
// deterministic.
func (b *blocks) matching(matches func(*block) bool) []*block {
	var names []pool.Name
	for name := range b.byPool {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	var found []*block
	for _, name := range names {
		for _, candidate := range b.byPool[name] {
			if matches(candidate) {
				found = append(found, candidate)
			}
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return harderToPlace(found[i].shape, found[j].shape) })
	return found
}

// harderToPlace reports whether shape a is harder to place than shape b: first by accelerators on each worker, then by
// members.
func harderToPlace(a, b shape.Shape) bool {
	if a.Accelerators != b.Accelerators {
		return a.Accelerators > b.Accelerators
	}
	return a.Members > b.Members
}

// removeItem removes target from a list in place and returns the shortened list.
func removeItem[Item any](list []*Item, target *Item) []*Item {
	for i, candidate := range list {
		if candidate == target {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// bindAllIfNeeded calls bindAll if some blocks could not be bound last time.
func (b *blocks) bindAllIfNeeded() {
	if b.unbound > 0 {
		b.bindAll()
	}
}

// poolsByShape returns the names of the pools whose blocks have the wanted shape, in alphabetical order.
func (b *blocks) poolsByShape(wanted shape.Shape) []pool.Name {
	var names []pool.Name
	for name, list := range b.byPool {
		if len(list) > 0 && list[0].shape == wanted {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
