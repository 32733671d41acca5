package cell

import "github.com/bits-and-blooms/bitset"

// index finds workers and racks by the number of usable accelerators on each worker, for one Level.
// The time for an update is proportional to the change of this number, not to the size of the fleet.
type index struct {
	// usable holds the number of usable accelerators of each worker.
	usable []int
	// rackOf holds the index of each worker's rack.
	rackOf []int
	// workersByUsable holds, for each number of accelerators, the set of workers with exactly this many usable ones.
	workersByUsable []*bitset.BitSet
	// rackCounts[k][rack] is the number of workers in the rack that have k or more usable accelerators.
	// rackCounts[0] stays empty.
	rackCounts [][]int
	// racksByCount[k][n] is the set of racks in which exactly n workers have k or more usable accelerators.
	// A rack that has never had such a worker may be missing from racksByCount[k]. racksByCount[0] stays empty.
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

// set changes a worker's number of usable accelerators; a negative number counts as 0.
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

// grow extends workersByUsable, rackCounts and racksByCount so that they have entries for up to the given number of
// accelerators.
func (x *index) grow(accelerators int) {
	for len(x.workersByUsable) <= accelerators {
		x.workersByUsable = append(x.workersByUsable, bitset.New(0))
		x.rackCounts = append(x.rackCounts, nil)
		x.racksByCount = append(x.racksByCount, nil)
	}
}

// changeRackCount changes the number of workers in a rack that have k or more usable accelerators.
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

// bestWorker returns a worker with the fewest usable accelerators among those with at least the given number.
func (x *index) bestWorker(accelerators int) (int, bool) {
	for k := accelerators; k < len(x.workersByUsable); k++ {
		if worker, ok := x.workersByUsable[k].NextSet(0); ok {
			return int(worker), true
		}
	}
	return 0, false
}

// bestRack returns the rack with the fewest fitting workers among the racks that have enough fitting workers. A worker
// fits if it has at least the given number of usable accelerators.
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

// shortestRackRun returns the first and last rack of the shortest run of consecutive racks that together have enough
// fitting workers. A worker fits if it has at least the given number of usable accelerators.
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

// workersWith returns the number of workers with at least the given number of usable accelerators.
func (x *index) workersWith(accelerators int) int {
	total := 0
	for k := accelerators; k < len(x.workersByUsable); k++ {
		total += int(x.workersByUsable[k].Count())
	}
	return total
}
