package planner

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Order decides which waiting units are placed first: ByUrgency, or a baseline to compare it with.
type Order interface {
	isOrder()
}

// ByUrgency is the order of the product: by priority, then by the objective of the job, with what has missed every
// reward last. It keeps room free for urgent units and stops other work for them. A nil Order means the same.
type ByUrgency struct{}

// ByArrival is first come, first served.
type ByArrival struct{}

// ByWork places the least expected work first.
type ByWork struct{}

// ByObjective places the earliest objective first, whatever the priority.
type ByObjective struct{}

// RandomOrder places units in a random order that a seed decides.
type RandomOrder struct {
	Seed uint64
}

func (ByUrgency) isOrder()   {}
func (ByArrival) isOrder()   {}
func (ByWork) isOrder()      {}
func (ByObjective) isOrder() {}
func (RandomOrder) isOrder() {}

// Fit decides which of several workers with room take the tasks of a unit: Packed, or a baseline to compare it with.
type Fit interface {
	isFit()
}

// Packed fills racks that are in use and keeps others whole. A nil Fit means the same.
type Packed struct{}

// BestFit takes the workers with the least room left, whatever their racks.
type BestFit struct{}

// FirstFit takes workers in the order of their names.
type FirstFit struct{}

func (Packed) isFit()   {}
func (BestFit) isFit()  {}
func (FirstFit) isFit() {}

// prefersUrgent tells whether room is kept free, and made by stopping other work, for urgent units.
func (p *Planner) prefersUrgent() bool {
	switch p.settings.Order.(type) {
	case nil, ByUrgency:
		return true
	default:
		return false
	}
}

// baselineOrder sorts units by a baseline.
func (p *Planner) baselineOrder(units []*unit, now time.Time) {
	sortUnits(units)
	switch order := p.settings.Order.(type) {
	case ByArrival:
		sort.SliceStable(units, func(i, j int) bool { return units[i].job.Accepted.Before(units[j].job.Accepted) })
	case ByWork:
		sort.SliceStable(units, func(i, j int) bool { return p.expectedWork(units[i]) < p.expectedWork(units[j]) })
	case ByObjective:
		sort.SliceStable(units, func(i, j int) bool {
			a, b := p.rank(units[i], now), p.rank(units[j], now)
			return a.deadline.Before(b.deadline)
		})
	case RandomOrder:
		random := rand.New(rand.NewPCG(order.Seed, uint64(now.UnixNano())))
		random.Shuffle(len(units), func(i, j int) { units[i], units[j] = units[j], units[i] })
	}
}

// expectedWork is the time that a unit's tasks are likely to take together.
func (p *Planner) expectedWork(u *unit) time.Duration {
	return p.estimator.expect(u.job.Queue, u.spec().Estimate) * time.Duration(u.size())
}

// sortForFit brings candidates into the order in which they are filled.
func sortForFit(candidates []candidate, fit Fit) {
	switch fit.(type) {
	case BestFit:
		sort.SliceStable(candidates, func(i, j int) bool { return tighterFit(&candidates[i], &candidates[j]) })
	case FirstFit:
		sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].worker.Name < candidates[j].worker.Name })
	default:
		sortPacked(candidates)
	}
}
