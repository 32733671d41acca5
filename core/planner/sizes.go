package planner

import (
	"cmp"
	"slices"
	"time"

	"auburnstack/core/roster"
)

// sizesSettled is how long workers must have been followed before their sizes tell what can never run. Registrations
// that lapsed in an outage are back by then, and so are workers that start again.
const sizesSettled = 10 * time.Second

// noteSizes counts the workers of each size.
func (p *Planner) noteSizes(now time.Time) {
	if p.followed.IsZero() {
		p.followed = now
	}
	counts := map[roster.Size]int{}
	for _, w := range p.order {
		if w.listed {
			counts[roster.Size{Service: w.Service, Capacity: w.Capacity}]++
		}
	}
	for size, count := range counts {
		p.sizes[size] = max(p.sizes[size], count)
	}
}

// Sizes returns the sizes that workers have had, or nothing until enough is known.
func (p *Planner) Sizes(now time.Time) []roster.Size {
	if p.followed.IsZero() || now.Sub(p.followed) < sizesSettled {
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
