// Package cell keeps the ledger of accelerators in one failure domain:
// what guaranteed blocks are bound to, what guaranteed and borrowed work holds, and what is free.
package cell

import (
	"auburnstack/core/endpoint"
	"auburnstack/core/route"
)

// Level selects which accelerators a search may use.
type Level int

// The levels of a search.
const (
	// Free counts accelerators that no work holds.
	Free Level = iota
	// FreeUnbound counts free accelerators outside every bound block, so that work on them is not reclaimed.
	FreeUnbound
	// Unbound counts accelerators outside every bound block, whether borrowed work holds them or not.
	Unbound
	// PreemptibleByUrgent counts free accelerators and those that borrowed work of a lower class holds.
	PreemptibleByUrgent
	// PreemptibleByLong counts free accelerators and those that borrowed batch work holds.
	PreemptibleByLong
	levelCount
)

// Worker is a position in the fleet's list of workers.
type Worker int

type workerLedger struct {
	name    endpoint.Name
	rack    int
	total   int
	healthy bool
	// hidden workers are left out of searches for a moment.
	hidden bool
	// bound is the part covered by guaranteed blocks; at most total while the worker is healthy.
	bound int
	// guaranteed is held by work inside blocks; at most bound.
	guaranteed int
	// borrowed is held by work that is stopped on reclaim.
	borrowed int
	// borrowedUrgent and borrowedLong are the parts of borrowed that urgent and long work holds.
	borrowedUrgent int
	borrowedLong   int
}

// Fleet is the ledger of one failure domain's workers. It is not safe for concurrent use.
type Fleet struct {
	workers     []workerLedger
	byName      map[endpoint.Name]Worker
	rackIndexes map[endpoint.Rack]int
	rackWorkers [][]Worker
	indexes     [levelCount]*index
	total       int
	free        int
}

// New returns an empty fleet.
func New() *Fleet {
	f := &Fleet{byName: map[endpoint.Name]Worker{}, rackIndexes: map[endpoint.Rack]int{}}
	for level := range f.indexes {
		f.indexes[level] = newIndex()
	}
	return f
}

// Add puts a worker into the ledger, or returns the known one of this name.
func (f *Fleet) Add(e endpoint.Endpoint) Worker {
	if known, ok := f.byName[e.Name]; ok {
		return known
	}
	rack := f.indexOfRack(e.Rack)
	w := Worker(len(f.workers))
	f.workers = append(f.workers, workerLedger{name: e.Name, rack: rack, total: e.Accelerators})
	f.byName[e.Name] = w
	f.rackWorkers[rack] = append(f.rackWorkers[rack], w)
	for _, x := range f.indexes {
		x.addWorker(rack)
	}
	f.SetHealthy(w, true)
	return w
}

func (f *Fleet) indexOfRack(name endpoint.Rack) int {
	rack, known := f.rackIndexes[name]
	if !known {
		rack = len(f.rackWorkers)
		f.rackIndexes[name] = rack
		f.rackWorkers = append(f.rackWorkers, nil)
	}
	return rack
}

// SetHealthy takes a worker's accelerators out of every search, or back in.
func (f *Fleet) SetHealthy(w Worker, healthy bool) {
	ledger := &f.workers[w]
	if ledger.healthy == healthy {
		return
	}
	f.addToTotals(w, -1)
	ledger.healthy = healthy
	f.addToTotals(w, 1)
	f.updateIndexes(w)
}

// Hide leaves a worker out of searches, or takes it back in. What it holds does not change.
func (f *Fleet) Hide(w Worker, hidden bool) {
	f.workers[w].hidden = hidden
	f.updateIndexes(w)
}

// Hidden tells whether a worker is left out of searches.
func (f *Fleet) Hidden(w Worker) bool {
	return f.workers[w].hidden
}

// addToTotals adds a worker's accelerators to the totals, or takes them away.
func (f *Fleet) addToTotals(w Worker, sign int) {
	if !f.workers[w].healthy {
		return
	}
	f.total += sign * f.workers[w].total
	f.free += sign * f.FreeOn(w)
}

func (f *Fleet) update(w Worker, apply func(*workerLedger)) {
	f.addToTotals(w, -1)
	apply(&f.workers[w])
	f.addToTotals(w, 1)
	f.updateIndexes(w)
}

func (f *Fleet) updateIndexes(w Worker) {
	ledger := f.workers[w]
	if !ledger.healthy || ledger.hidden {
		for _, x := range f.indexes {
			x.set(int(w), 0)
		}
		return
	}
	free := ledger.total - ledger.guaranteed - ledger.borrowed
	unbound := ledger.total - ledger.bound
	f.indexes[Free].set(int(w), free)
	f.indexes[FreeUnbound].set(int(w), min(free, unbound-ledger.borrowed))
	f.indexes[Unbound].set(int(w), unbound)
	preemptible := ledger.total - ledger.guaranteed - ledger.borrowedUrgent
	f.indexes[PreemptibleByUrgent].set(int(w), preemptible)
	f.indexes[PreemptibleByLong].set(int(w), preemptible-ledger.borrowedLong)
}

// Bind covers accelerators of a worker by a guaranteed block; a negative count uncovers them.
func (f *Fleet) Bind(w Worker, count int) {
	f.update(w, func(l *workerLedger) { l.bound += count })
}

// HoldGuaranteed counts accelerators as held by work inside a block; a negative count releases them.
func (f *Fleet) HoldGuaranteed(w Worker, count int) {
	f.update(w, func(l *workerLedger) { l.guaranteed += count })
}

// HoldBorrowed counts accelerators as held by work that can be stopped; a negative count releases them.
func (f *Fleet) HoldBorrowed(w Worker, class route.Class, count int) {
	f.update(w, func(l *workerLedger) {
		l.borrowed += count
		switch class {
		case route.Urgent:
			l.borrowedUrgent += count
		case route.Long:
			l.borrowedLong += count
		case route.Batch:
		}
	})
}

// HeldGuaranteed returns the accelerators of a worker that work inside blocks holds.
func (f *Fleet) HeldGuaranteed(w Worker) int {
	return f.workers[w].guaranteed
}

// Total returns the accelerators of a worker.
func (f *Fleet) Total(w Worker) int {
	return f.workers[w].total
}

// FreeOn returns the accelerators that no work holds; negative while borrowed work is being stopped.
func (f *Fleet) FreeOn(w Worker) int {
	return f.workers[w].total - f.workers[w].guaranteed - f.workers[w].borrowed
}

// Overbound tells whether the blocks on a worker cover more than it has.
func (f *Fleet) Overbound(w Worker) bool {
	return f.workers[w].bound > f.workers[w].total || !f.workers[w].healthy && f.workers[w].bound > 0
}

// Healthy tells whether a worker takes part in searches.
func (f *Fleet) Healthy(w Worker) bool {
	return f.workers[w].healthy
}

// Name returns a worker's name.
func (f *Fleet) Name(w Worker) endpoint.Name {
	return f.workers[w].name
}

// Lookup finds a worker by name.
func (f *Fleet) Lookup(name endpoint.Name) (Worker, bool) {
	w, ok := f.byName[name]
	return w, ok
}

// Len returns the number of workers, healthy or not.
func (f *Fleet) Len() int {
	return len(f.workers)
}

// Rack returns the position of a worker's rack.
func (f *Fleet) Rack(w Worker) int {
	return f.workers[w].rack
}

// TotalAccelerators returns the accelerators of all healthy workers.
func (f *Fleet) TotalAccelerators() int {
	return f.total
}

// FreeAccelerators returns the accelerators of healthy workers that no work holds.
func (f *Fleet) FreeAccelerators() int {
	return f.free
}

// Usable returns how many accelerators a worker has at a level.
func (f *Fleet) Usable(level Level, w Worker) int {
	return f.indexes[level].usable[w]
}

// WorkersWith returns how many workers have at least this many accelerators at a level.
func (f *Fleet) WorkersWith(level Level, accelerators int) int {
	return f.indexes[level].workersWith(accelerators)
}
