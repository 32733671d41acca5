package planner

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Order is the policy that decides the sequence in which waiting units are placed: ByUrgency in production, or a
// baseline for comparison.
type Order interface {
	isOrder()
}

// ByUrgency is the production order: by priority, then by the job's deadline, with jobs that are too late for any
// reward (see lateFactor) last. It also keeps capacity free for urgent units and preempts other work for them. A nil
// Order has the same effect.
type ByUrgency struct{}

// ByArrival places units first come, first served.
type ByArrival struct{}

// ByWork places the unit with the smallest sum of expected task durations first.
type ByWork struct{}

// ByObjective places the unit with the earliest deadline first, whatever its priority.
type ByObjective struct{}

// RandomOrder places units in a pseudorandom order derived from Seed and the current time.
type RandomOrder struct {
	Seed uint64
}

func (ByUrgency) isOrder()   {}
func (ByArrival) isOrder()   {}
func (ByWork) isOrder()      {}
func (ByObjective) isOrder() {}
func (RandomOrder) isOrder() {}

// Fit is the policy that decides which of several workers with free capacity take the tasks of a unit: Packed in
// production, or a baseline for comparison.
type Fit interface {
	isFit()
}

// Packed fills the racks with the least free accelerators first, which keeps other racks entirely free. A nil Fit has
// the same effect.
type Packed struct{}

// BestFit fills the workers that will have the least capacity left, whatever their racks.
type BestFit struct{}

// FirstFit fills workers in the order of their names.
type FirstFit struct{}

func (Packed) isFit()   {}
func (BestFit) isFit()  {}
func (FirstFit) isFit() {}

// prefersUrgent reports whether the policy in Settings.Order keeps capacity free for urgent units and preempts other
// work for them.
func (p *Planner) prefersUrgent() bool {
	switch p.settings.Order.(type) {
	case nil, ByUrgency:
		return true
	default:
		return false
	}
}

// baselineOrder sorts units by the baseline policy in Settings.Order.
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

// expectedWork returns the sum of the expected durations of a unit's tasks.
func (p *Planner) expectedWork(u *unit) time.Duration {
	return p.estimator.expect(u.job.queue.key, u.spec().Estimate) * time.Duration(u.size())
}

// sortForFit sorts candidates into the order in which the fit policy gives them tasks.
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
