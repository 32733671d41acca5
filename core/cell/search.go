package cell

import (
	"sort"

	"auburnstack/core/shape"
)

// Adjacent returns workers for a shape that are as close together as possible, or false if the shape does not fit. A
// worker fits if it has enough usable accelerators for one member. A shape with one member gets the fitting worker with
// the fewest usable accelerators. A larger shape gets workers of one rack: of the racks with enough fitting workers,
// the one with the fewest fitting workers. If there is no such rack, it gets workers of the shortest run of consecutive
// racks that have enough fitting workers together.
func (f *Fleet) Adjacent(level Level, s shape.Shape) ([]Worker, bool) {
	x := f.indexes[level]
	if s.Members == 1 {
		worker, ok := x.bestWorker(s.Accelerators)
		return []Worker{Worker(worker)}, ok
	}
	if rack, ok := x.bestRack(s.Accelerators, s.Members); ok {
		return f.fullestWorkers(x, rack, rack, s), true
	}
	first, last, ok := x.shortestRackRun(s.Accelerators, s.Members)
	if !ok {
		return nil, false
	}
	return f.fullestWorkers(x, first, last, s), true
}

// fullestWorkers returns one worker for each member in the racks from first to last. Of the workers with enough usable
// accelerators for a member, it chooses those with the fewest.
func (f *Fleet) fullestWorkers(x *index, first, last int, s shape.Shape) []Worker {
	var fitting []Worker
	for rack := first; rack <= last; rack++ {
		for _, w := range f.rackWorkers[rack] {
			if x.usable[w] >= s.Accelerators {
				fitting = append(fitting, w)
			}
		}
	}
	sort.SliceStable(fitting, func(i, j int) bool { return x.usable[fitting[i]] < x.usable[fitting[j]] })
	return fitting[:s.Members]
}

// InOrder returns one worker for each member, or false if too few workers fit: the first ones with enough usable
// accelerators, regardless of their racks. The i-th worker to try is order(i).
func (f *Fleet) InOrder(level Level, s shape.Shape, order func(i int) Worker) ([]Worker, bool) {
	var found []Worker
	for i := range f.workers {
		w := order(i)
		if f.indexes[level].usable[w] >= s.Accelerators {
			found = append(found, w)
		}
		if len(found) == s.Members {
			return found, true
		}
	}
	return nil, false
}

// LargestAdjacent returns the largest number of members, with the given number of accelerators each, that fit into one
// rack at a level.
func (f *Fleet) LargestAdjacent(level Level, accelerators int) int {
	x := f.indexes[level]
	if accelerators >= len(x.racksByCount) {
		return 0
	}
	for count := len(x.racksByCount[accelerators]) - 1; count > 0; count-- {
		if x.racksByCount[accelerators][count].Any() {
			return count
		}
	}
	return 0
}
