package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"auburnstack/core/resources"
)

// Weights order the waiting units of one priority. Jobs that an account submits beyond its rate of one job per second
// and weight come last. Among the others, the units that take their account beyond its weighted share of the service
// come last. Shares are those of weighted dominant-resource fairness: for each account, the resource counts of which it
// holds the largest share of the service's capacity. What an account does not ask for is left to the others.

// defaultWeight is the weight of accounts without one if other accounts have one.
const defaultWeight = 1

// effectiveWeight returns the weight of an account if any account has one.
func (h *holding) effectiveWeight() float64 {
	if h.weight > 0 {
		return h.weight
	}
	return defaultWeight
}

// arrivals measures the rate at which an account submits jobs.
type arrivals struct {
	// next is the time at which the account's next job is within the rate if it is submitted by then.
	next time.Time
}

// arrivalWindow is the time within which an account may submit all the jobs of its rate at once.
const arrivalWindow = time.Second

// maxArrivalInterval bounds the time between two jobs within the rate of an account with a very small weight, so that
// the time does not overflow.
const maxArrivalInterval = 24 * time.Hour

// maxQueuedFor bounds the number of unfinished jobs that count in admit, so that the time does not overflow.
const maxQueuedFor = 50_000

// admit returns the time from which on a job is within the rate of its account. The job queues behind the unfinished
// jobs of the account, the number of which is given: jobs that have ended need no time any more, however fast they were
// submitted.
func (a *arrivals) admit(accepted time.Time, weight float64, unfinished int) time.Time {
	interval := time.Duration(min(float64(time.Second)/weight, float64(maxArrivalInterval)))
	if latest := accepted.Add(time.Duration(min(unfinished, maxQueuedFor)) * interval); a.next.After(latest) {
		a.next = latest
	}
	a.next = later(a.next, accepted)
	within := a.next.Add(-max(arrivalWindow-interval, 0))
	a.next = a.next.Add(interval)
	return within
}

// admitArrivals determines from when on each job is within the rate of its account, after jobs were restored or weights
// have changed. It takes the unfinished jobs in the order of their acceptance.
func (p *Planner) admitArrivals() {
	if !p.arrivalsChanged {
		return
	}
	p.arrivalsChanged = false
	for _, h := range p.holdings {
		h.arrivals = arrivals{}
	}
	jobs := make([]*jobState, 0, len(p.jobs))
	for _, j := range p.jobs {
		if !j.state.Final() {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *jobState) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range jobs {
		p.admitArrival(j)
	}
}

// admitArrival determines from when on a job is within the rate of its account.
func (p *Planner) admitArrival(j *jobState) {
	if p.anyWeighted {
		h := j.holding
		j.withinRateAt = h.arrivals.admit(j.Accepted, h.effectiveWeight(), h.unfinished-1)
	}
}

// applyWeights sets the sort keys of steps that depend on weights, and divides the steps whose units are partly within
// the share of their account.
func (p *Planner) applyWeights(steps []*waitingStep, now time.Time) []*waitingStep {
	if !p.anyWeighted {
		return steps
	}
	p.admitArrivals()
	for _, step := range steps {
		step.overRate = now.Before(step.units[0].job.withinRateAt)
	}
	byService := map[string][]*waitingStep{}
	for _, step := range steps {
		service := step.units[0].job.queue.Service
		byService[service] = append(byService[service], step)
	}
	for service, list := range byService {
		steps = append(steps, p.newShares(service, list, now).divide(list)...)
	}
	return steps
}

// shares are the shares of one service that its accounts hold and are entitled to.
type shares struct {
	capacity resources.Amounts
	accounts map[*holding]*accountShare
}

// accountShare is the share of one account in a service.
type accountShare struct {
	// held holds the amounts of the account's runs and placements and, while steps are divided, of the waiting units
	// that come first. wanted also includes all waiting units.
	held, wanted resources.Amounts
	weight       float64
	// portion is the portion of wanted that the account's limit allows, demand its dominant share. entitled is the
	// dominant share up to which the account's units come first.
	portion, demand, entitled float64
}

// newShares returns the shares of a service with the given waiting steps.
func (p *Planner) newShares(service string, steps []*waitingStep, now time.Time) *shares {
	s := &shares{accounts: map[*holding]*accountShare{}}
	for _, w := range p.workersByName {
		if w.Service == service && p.accepts(w, now) {
			s.capacity = s.capacity.Add(w.Capacity)
		}
	}
	for _, h := range p.holdings {
		if held := h.share(service).held; held != (resources.Amounts{}) {
			s.accounts[h] = &accountShare{held: held, wanted: held, weight: h.effectiveWeight()}
		}
	}
	for _, step := range steps {
		u := step.units[0]
		a := s.accounts[u.job.holding]
		if a == nil {
			a = &accountShare{weight: u.job.holding.effectiveWeight()}
			s.accounts[u.job.holding] = a
		}
		a.wanted = a.wanted.Add(u.needs().Times(len(step.units)))
	}
	s.entitle()
	return s
}

// dominant returns the largest share that amounts have of the service's capacity of a resource. A resource of which the
// service has nothing does not count: nobody can get it, whatever the order.
func (s *shares) dominant(a resources.Amounts) float64 {
	largest := 0.0
	for _, pair := range [][2]int64{
		{a.CPU, s.capacity.CPU}, {a.Memory, s.capacity.Memory}, {a.Accelerators, s.capacity.Accelerators},
	} {
		if pair[0] > 0 && pair[1] > 0 {
			largest = max(largest, float64(pair[0])/float64(pair[1]))
		}
	}
	return largest
}

// entitle divides the service among its accounts: all dominant shares grow in proportion to the weights until a
// resource is used up. What an account does not ask for, or may not hold because of its limit, is left to the others.
func (s *shares) entitle() {
	highest := 0.0
	for h, a := range s.accounts {
		a.portion = portionWithin(a.wanted, h.bound())
		a.demand = a.portion * s.dominant(a.wanted)
		highest = max(highest, a.demand/a.weight)
	}
	level := s.level(highest)
	for _, a := range s.accounts {
		a.entitled = level * a.weight
	}
}

// levelSteps is the number of times that the interval of possible levels is halved. The error of a share is then below
// that of a single task on the largest sites.
const levelSteps = 30

// level returns the highest dominant share per weight at which the service has capacity for all accounts. It is
// infinite if the service has capacity for all that the accounts ask for, which they reach at the highest level.
func (s *shares) level(highest float64) float64 {
	if s.fits(highest) {
		return math.Inf(1)
	}
	low, high := 0.0, highest
	for range levelSteps {
		if middle := (low + high) / 2; s.fits(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// fits reports whether the service has capacity for all accounts at a level, as far as they ask for so much.
func (s *shares) fits(level float64) bool {
	var cpu, memory, accelerators float64
	for _, a := range s.accounts {
		if a.demand == 0 {
			continue
		}
		portion := a.portion * min(1, level*a.weight/a.demand)
		cpu += portion * float64(a.wanted.CPU)
		memory += portion * float64(a.wanted.Memory)
		accelerators += portion * float64(a.wanted.Accelerators)
	}
	return enoughOf(s.capacity.CPU, cpu) && enoughOf(s.capacity.Memory, memory) &&
		enoughOf(s.capacity.Accelerators, accelerators)
}

// enoughOf reports whether a service has enough capacity of a resource, or nothing of it at all.
func enoughOf(capacity int64, wanted float64) bool {
	return capacity <= 0 || wanted <= float64(capacity)
}

// portionWithin returns the largest portion of the wanted amounts, up to 1, that a bound allows.
func portionWithin(wanted, bound resources.Amounts) float64 {
	portion := 1.0
	for _, pair := range [][2]int64{
		{wanted.CPU, bound.CPU}, {wanted.Memory, bound.Memory}, {wanted.Accelerators, bound.Accelerators},
	} {
		if pair[0] > pair[1] {
			portion = min(portion, float64(pair[1])/float64(pair[0]))
		}
	}
	return portion
}

// divide sets overShare for the units of steps that come after the share of their account is used up, and returns the
// further steps that hold the rest of the units of steps that are partly within the share.
func (s *shares) divide(steps []*waitingStep) []*waitingStep {
	slices.SortFunc(steps, (*waitingStep).compare)
	var rest []*waitingStep
	for _, step := range steps {
		a, needs := s.accounts[step.units[0].job.holding], step.units[0].needs()
		within := 0
		for within < len(step.units) && s.dominant(a.held) < a.entitled {
			a.held = a.held.Add(needs)
			within++
		}
		switch {
		case within == len(step.units):
		case within == 0:
			step.overShare = true
		default:
			sortUnits(step.units)
			other := *step
			other.units, other.overShare = step.units[within:], true
			step.units = step.units[:within:within]
			rest = append(rest, &other)
		}
	}
	return rest
}
