package planner

import (
	"cmp"
	"slices"
	"time"

	"auburnstack/core/roster"
)

// minSizeHistory is the time for which the planner must have known the registered workers before it uses their sizes to
// decide which jobs can never run. By then, restarted workers and registrations that expired in an outage are listed
// again.
const minSizeHistory = 10 * time.Second

// recordSizes updates, for each worker size, the largest number of workers of that size that were registered at the
// same time. A worker whose capacity changes counts with the largest one, because it may grow again: a job that is
// refused for a capacity that has shrunk would be refused for good.
func (p *Planner) recordSizes(now time.Time) {
	if p.firstListed.IsZero() {
		p.firstListed = now
	}
	counts := map[roster.Size]int{}
	for _, w := range p.workersByName {
		if w.registered {
			counts[roster.Size{Service: w.Service, Capacity: w.largest}]++
		}
	}
	for size, count := range counts {
		p.sizes[size] = max(p.sizes[size], count)
	}
}

// outgrowSize takes a worker whose capacity exceeds all earlier ones out of the count of its earlier size. The next
// call of recordSizes counts the worker with its new size.
func (p *Planner) outgrowSize(w *worker) {
	size := roster.Size{Service: w.Service, Capacity: w.largest}
	p.sizes[size]--
	if p.sizes[size] <= 0 {
		delete(p.sizes, size)
	}
}

// Sizes returns the sizes of all workers that have been registered since the planner was created, each with the largest
// number of workers that were registered at the same time. It returns nil before minSizeHistory has passed.
func (p *Planner) Sizes(now time.Time) []roster.Size {
	if p.firstListed.IsZero() || now.Sub(p.firstListed) < minSizeHistory {
		return nil
	}
	list := make([]roster.Size, 0, len(p.sizes))
	for size, workers := range p.sizes {
		size.Workers = workers
		list = append(list, size)
	}
	slices.SortFunc(list, func(a, b roster.Size) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Capacity.Accelerators, b.Capacity.Accelerators),
			cmp.Compare(a.Capacity.CPU, b.Capacity.CPU), cmp.Compare(a.Capacity.Memory, b.Capacity.Memory))
	})
	return list
}
