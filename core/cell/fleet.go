// Package cell keeps the ledger of the accelerators in one failure domain. It records for each worker how many are
// covered by guaranteed blocks, held by guaranteed work, held by borrowed work, or free.
//
// A block is one guaranteed unit of the capacity of a pool, which belongs to a client account. The block covers
// accelerators of the workers to which it is bound, so that its pool can claim them at any time. Guaranteed work runs
// inside a block of its pool. Borrowed work runs on accelerators that no guaranteed work holds and can be stopped.
package cell

import (
	"auburnstack/core/endpoint"
	"auburnstack/core/route"
)

// Level selects the accelerators that a search may use. Such accelerators are called usable at the level.
type Level int

// The levels of a search.
const (
	// Free selects the accelerators that no work holds.
	Free Level = iota
	// FreeUnbound selects the free accelerators outside all bound blocks. A pool may reclaim only the accelerators of
	// its blocks, which stops the borrowed work on them. Work on accelerators outside all blocks is therefore not
	// stopped for this reason, unless a block is later bound to these accelerators.
	FreeUnbound
	// Unbound selects the accelerators outside all bound blocks, even if borrowed work holds them.
	Unbound
	// PreemptibleByUrgent selects the free accelerators and those that borrowed long or batch work holds.
	PreemptibleByUrgent
	// PreemptibleByLong selects the free accelerators and those that borrowed batch work holds.
	PreemptibleByLong
	levelCount
)

// Worker identifies a worker by its index in the fleet's list of workers.
type Worker int

// workerLedger holds the state of one worker. Its counts are numbers of accelerators of this worker.
type workerLedger struct {
	name endpoint.Name
	// rack is the index of the worker's rack.
	rack    int
	total   int
	healthy bool
	// hidden is set while the worker is excluded from searches; see Fleet.Hide.
	hidden bool
	// bound is the number of accelerators covered by guaranteed blocks. It is at most total while the worker is
	// healthy.
	bound int
	// guaranteed is the number of accelerators held by work inside blocks. It is at most bound.
	guaranteed int
	// borrowed is the number of accelerators held by borrowed work.
	borrowed int
	// borrowedUrgent is the number of accelerators held by borrowed urgent work. borrowedLong is the number of
	// accelerators held by borrowed long work. The field borrowed includes both numbers.
	borrowedUrgent int
	borrowedLong   int
}

// Fleet records, for each worker of one failure domain, how many accelerators it has and how many of them are bound to
// blocks or held by work. It is not safe for concurrent use.
type Fleet struct {
	workers []workerLedger
	byName  map[endpoint.Name]Worker
	// rackIndexes holds the index of each rack by name; racks are numbered in the order in which they appear.
	rackIndexes map[endpoint.Rack]int
	// rackWorkers holds the workers of each rack.
	rackWorkers [][]Worker
	// indexes holds, for each level, an index of the workers by their usable accelerators.
	indexes [levelCount]*index
	// total is the number of accelerators of all healthy workers. free is the number of these accelerators that no work
	// holds.
	total int
	free  int
}

// New returns an empty fleet.
func New() *Fleet {
	f := &Fleet{byName: map[endpoint.Name]Worker{}, rackIndexes: map[endpoint.Rack]int{}}
	for level := range f.indexes {
		f.indexes[level] = newIndex()
	}
	return f
}

// Add adds a healthy worker to the ledger and returns it. If a worker of this name exists already, Add returns it
// unchanged.
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

// indexOfRack returns the index of a rack and adds the rack if it is new.
func (f *Fleet) indexOfRack(name endpoint.Rack) int {
	rack, known := f.rackIndexes[name]
	if !known {
		rack = len(f.rackWorkers)
		f.rackIndexes[name] = rack
		f.rackWorkers = append(f.rackWorkers, nil)
	}
	return rack
}

// SetHealthy sets whether a worker is healthy. Searches and totals exclude unhealthy workers.
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

// Hide excludes a worker from searches, or includes it again. Its counts in the ledger do not change.
func (f *Fleet) Hide(w Worker, hidden bool) {
	f.workers[w].hidden = hidden
	f.updateIndexes(w)
}

// Hidden reports whether a worker is excluded from searches by Hide.
func (f *Fleet) Hidden(w Worker) bool {
	return f.workers[w].hidden
}

// addToTotals adds a healthy worker's accelerators to the totals (sign 1) or subtracts them (sign -1).
func (f *Fleet) addToTotals(w Worker, sign int) {
	if !f.workers[w].healthy {
		return
	}
	f.total += sign * f.workers[w].total
	f.free += sign * f.FreeOn(w)
}

// update calls the function apply to change a worker's ledger, and keeps the totals and indexes consistent with it.
func (f *Fleet) update(w Worker, apply func(*workerLedger)) {
	f.addToTotals(w, -1)
	apply(&f.workers[w])
	f.addToTotals(w, 1)
	f.updateIndexes(w)
}

// updateIndexes stores a worker's usable accelerators in the index of each level. The stored number is 0 if the worker
// is unhealthy or excluded from searches by Hide.
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

// Bind adds count to the number of a worker's accelerators that guaranteed blocks cover. A negative count subtracts
// from this number.
func (f *Fleet) Bind(w Worker, count int) {
	f.update(w, func(l *workerLedger) { l.bound += count })
}

// HoldGuaranteed adds count to the number of a worker's accelerators that work inside blocks holds. A negative count
// releases accelerators.
func (f *Fleet) HoldGuaranteed(w Worker, count int) {
	f.update(w, func(l *workerLedger) { l.guaranteed += count })
}

// HoldBorrowed adds count to the number of a worker's accelerators that borrowed work of a class holds. A negative
// count releases accelerators.
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

// HeldGuaranteed returns the number of a worker's accelerators that work inside blocks holds.
func (f *Fleet) HeldGuaranteed(w Worker) int {
	return f.workers[w].guaranteed
}

// Total returns the number of accelerators of a worker.
func (f *Fleet) Total(w Worker) int {
	return f.workers[w].total
}

// FreeOn returns the number of a worker's accelerators that no work holds. It is negative while new work is already
// assigned to the worker and the borrowed work that is stopped for it still holds accelerators.
func (f *Fleet) FreeOn(w Worker) int {
	return f.workers[w].total - f.workers[w].guaranteed - f.workers[w].borrowed
}

// Overbound reports whether blocks cover more accelerators of a worker than it has. An unhealthy worker counts as
// having none.
func (f *Fleet) Overbound(w Worker) bool {
	return f.workers[w].bound > f.workers[w].total || !f.workers[w].healthy && f.workers[w].bound > 0
}

// Healthy reports whether a worker is healthy. Searches and totals exclude unhealthy workers.
func (f *Fleet) Healthy(w Worker) bool {
	return f.workers[w].healthy
}

// Name returns a worker's name.
func (f *Fleet) Name(w Worker) endpoint.Name {
	return f.workers[w].name
}

// Lookup returns the worker with the given name.
func (f *Fleet) Lookup(name endpoint.Name) (Worker, bool) {
	w, ok := f.byName[name]
	return w, ok
}

// Len returns the number of workers, healthy or not.
func (f *Fleet) Len() int {
	return len(f.workers)
}

// Rack returns the index of a worker's rack.
func (f *Fleet) Rack(w Worker) int {
	return f.workers[w].rack
}

// TotalAccelerators returns the number of accelerators of all healthy workers.
func (f *Fleet) TotalAccelerators() int {
	return f.total
}

// FreeAccelerators returns the number of accelerators of healthy workers that no work holds.
func (f *Fleet) FreeAccelerators() int {
	return f.free
}

// Usable returns the number of a worker's accelerators that are usable at a level.
func (f *Fleet) Usable(level Level, w Worker) int {
	return f.indexes[level].usable[w]
}

// WorkersWith returns the number of workers with at least the given number of usable accelerators at a level.
func (f *Fleet) WorkersWith(level Level, accelerators int) int {
	return f.indexes[level].workersWith(accelerators)
}
