// Package placement chooses workers for a shape. The policies differ in what they optimize.
package placement

import (
	"math/rand/v2"
	"sort"

	"auburnstack/core/cell"
	"auburnstack/core/shape"
)

// Policy is one way to choose workers: Adjacent, FirstFit, BestFit or Random.
type Policy interface {
	isPolicy()
}

// Adjacent keeps a gang together and fills racks that are already in use.
type Adjacent struct{}

// FirstFit takes the first workers that fit in the order of the list.
type FirstFit struct{}

// BestFit takes the workers with the fewest accelerators that fit, wherever they are.
type BestFit struct{}

// Random takes workers that fit in a random order.
type Random struct {
	// Source makes the choices repeatable.
	Source *rand.Rand
}

func (Adjacent) isPolicy() {}
func (FirstFit) isPolicy() {}
func (BestFit) isPolicy()  {}
func (Random) isPolicy()   {}

// Choose returns one worker for each member, or false when the shape does not fit now.
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
