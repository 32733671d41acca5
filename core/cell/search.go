package cell

import (
	"sort"

	"auburnstack/core/shape"
)

// Adjacent returns workers for a shape that lie as close together as possible:
// on the fullest worker or in the fullest rack that fits, else in the shortest run of racks.
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

// fullestWorkers picks the fullest workers that fit within a run of racks.
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

// InOrder returns the first workers in the given order that fit, wherever they are.
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

// LargestAdjacent returns the most members with this many accelerators each that one rack can take now.
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
