package cell

import "github.com/bits-and-blooms/bitset"

// index finds workers and racks by a level, which is a number of accelerators on each worker.
// An update costs time proportional to the change of the level, not to the size of the fleet.
type index struct {
	usable []int
	rackOf []int
	// workersByUsable holds, for each level, the workers that are at exactly this level.
	workersByUsable []*bitset.BitSet
	// rackCounts holds, for each level k from 1, the number of workers of each rack at level k or above.
	rackCounts [][]int
	// racksByCount holds, for each level k from 1 and each count, the racks with exactly this count.
	racksByCount [][]*bitset.BitSet
}

func newIndex() *index {
	return &index{}
}

func (x *index) addWorker(rack int) {
	x.usable = append(x.usable, 0)
	x.rackOf = append(x.rackOf, rack)
	x.grow(0)
	x.workersByUsable[0].Set(uint(len(x.usable) - 1))
}

func (x *index) set(worker, accelerators int) {
	accelerators = max(accelerators, 0)
	before := x.usable[worker]
	if before == accelerators {
		return
	}
	x.grow(accelerators)
	x.workersByUsable[before].Clear(uint(worker))
	x.workersByUsable[accelerators].Set(uint(worker))
	x.usable[worker] = accelerators
	for k := before + 1; k <= accelerators; k++ {
		x.changeRackCount(k, x.rackOf[worker], 1)
	}
	for k := accelerators + 1; k <= before; k++ {
		x.changeRackCount(k, x.rackOf[worker], -1)
	}
}

func (x *index) grow(accelerators int) {
	for len(x.workersByUsable) <= accelerators {
		x.workersByUsable = append(x.workersByUsable, bitset.New(0))
		x.rackCounts = append(x.rackCounts, nil)
		x.racksByCount = append(x.racksByCount, nil)
	}
}

func (x *index) changeRackCount(k, rack, change int) {
	for len(x.rackCounts[k]) <= rack {
		x.rackCounts[k] = append(x.rackCounts[k], 0)
	}
	before := x.rackCounts[k][rack]
	after := before + change
	x.rackCounts[k][rack] = after
	for len(x.racksByCount[k]) <= max(before, after) {
		x.racksByCount[k] = append(x.racksByCount[k], bitset.New(0))
	}
	x.racksByCount[k][before].Clear(uint(rack))
	x.racksByCount[k][after].Set(uint(rack))
}

// bestWorker returns the worker with the lowest level that is at least the wanted one.
func (x *index) bestWorker(accelerators int) (int, bool) {
	for k := accelerators; k < len(x.workersByUsable); k++ {
		if worker, ok := x.workersByUsable[k].NextSet(0); ok {
			return int(worker), true
		}
	}
	return 0, false
}

// bestRack returns the rack with the fewest workers at the level or above that still has enough of them.
func (x *index) bestRack(accelerators, workers int) (int, bool) {
	if accelerators >= len(x.racksByCount) {
		return 0, false
	}
	for count := workers; count < len(x.racksByCount[accelerators]); count++ {
		if rack, ok := x.racksByCount[accelerators][count].NextSet(0); ok {
			return int(rack), true
		}
	}
	return 0, false
}

// shortestRackRun returns the shortest run of neighbouring racks that together have enough workers at the level or
// above.
func (x *index) shortestRackRun(accelerators, workers int) (first, last int, ok bool) {
	if accelerators >= len(x.rackCounts) {
		return 0, 0, false
	}
	counts := x.rackCounts[accelerators]
	sum, left := 0, 0
	for right, count := range counts {
		sum += count
		for sum-counts[left] >= workers {
			sum -= counts[left]
			left++
		}
		if sum >= workers && (!ok || right-left < last-first) {
			first, last, ok = left, right, true
		}
	}
	return first, last, ok
}

func (x *index) workersWith(accelerators int) int {
	total := 0
	for k := accelerators; k < len(x.workersByUsable); k++ {
		total += int(x.workersByUsable[k].Count())
	}
	return total
}
