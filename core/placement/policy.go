// Package placement chooses workers for a shape by one of several policies.
package placement

import (
	"math/rand/v2"
	"sort"

	"auburnstack/core/cell"
	"auburnstack/core/shape"
)

// Policy is a rule for choosing workers: Adjacent, FirstFit, BestFit or Random.
type Policy interface {
	isPolicy()
}

// Adjacent places the members of a gang close together, preferring workers and racks with little unused capacity.
type Adjacent struct{}

// FirstFit chooses the workers that were added to the fleet first, among those that have enough accelerators.
type FirstFit struct{}

// BestFit chooses the workers with the fewest usable accelerators that are still enough, regardless of their racks.
type BestFit struct{}

// Random goes through the workers in random order and chooses the first ones that have enough accelerators.
type Random struct {
	// Source generates the random order; a fixed seed makes the choices repeatable.
	Source *rand.Rand
}

func (Adjacent) isPolicy() {}
func (FirstFit) isPolicy() {}
func (BestFit) isPolicy()  {}
func (Random) isPolicy()   {}

// Choose returns one worker for each member of a shape. It returns false if the accelerators that are usable at the
// level now do not suffice for the shape.
func Choose(policy Policy, fleet *cell.Fleet, level cell.Level, s shape.Shape) ([]cell.Worker, bool) {
	switch p := policy.(type) {
	case FirstFit:
		return fleet.InOrder(level, s, func(i int) cell.Worker { return cell.Worker(i) })
	case BestFit:
		order := sortedByUsable(fleet, level)
		return fleet.InOrder(level, s, func(i int) cell.Worker { return order[i] })
	case Random:
		order := p.Source.Perm(fleet.Len())
		return fleet.InOrder(level, s, func(i int) cell.Worker { return cell.Worker(order[i]) })
	default:
		return fleet.Adjacent(level, s)
	}
}

// sortedByUsable returns all workers, those with the fewest accelerators usable at the level first.
func sortedByUsable(fleet *cell.Fleet, level cell.Level) []cell.Worker {
	order := make([]cell.Worker, fleet.Len())
	for i := range order {
		order[i] = cell.Worker(i)
	}
	sort.SliceStable(order, func(i, j int) bool {
		return fleet.Usable(level, order[i]) < fleet.Usable(level, order[j])
	})
	return order
}
