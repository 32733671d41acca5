package planner

import (
	"cmp"
	"slices"
	"time"
)

// lateFactor is the multiple of a job's objective, the time within which the job should finish, after which a finished
// job earns no reward.
const lateFactor = 3

// waitingStep holds the waiting units of a step of one occurrence, with the sort keys that they share.
type waitingStep struct {
	// units are in no particular order.
	units []*unit
	// late is set when a unit is expected to finish later than lateFactor times the objective after the job was
	// accepted or, for a recurring job, after its occurrence was due.
	late     bool
	priority int
	// overRate is set if the account of the job has submitted more jobs per second than its weight allows. overShare is
	// set if the units take their account beyond its weighted share of the service.
	overRate, overShare bool
	// deadline is the time by which the job should finish according to its objective.
	deadline time.Time
}

// queueOrder returns the waiting units of each step, in the order in which the steps are placed.
func (p *Planner) queueOrder(now time.Time) []*waitingStep {
	if p.prefersUrgent() {
		steps := p.applyWeights(p.waitingSteps(now), now)
		slices.SortFunc(steps, (*waitingStep).compare)
		return steps
	}
	units := make([]*unit, 0, len(p.waiting))
	for u := range p.waiting {
		units = append(units, u)
	}
	p.baselineOrder(units, now)
	return splitByStep(units)
}

// splitByStep returns the runs of successive units that belong to the same step.
func splitByStep(units []*unit) []*waitingStep {
	var steps []*waitingStep
	for i, u := range units {
		if i == 0 || units[i-1].stepRef() != u.stepRef() {
			steps = append(steps, &waitingStep{})
		}
		last := steps[len(steps)-1]
		last.units = append(last.units, u)
	}
	return steps
}

// waitingSteps returns the steps that have waiting units, in no particular order.
func (p *Planner) waitingSteps(now time.Time) []*waitingStep {
	known := map[stepRef]*waitingStep{}
	var steps []*waitingStep
	for u := range p.waiting {
		step := known[u.stepRef()]
		if step == nil {
			step = p.rank(u, now)
			known[u.stepRef()] = step
			steps = append(steps, step)
		}
		step.units = append(step.units, u)
	}
	return steps
}

// rank returns a step without units, with the sort keys that a unit of the step has.
func (p *Planner) rank(u *unit, now time.Time) *waitingStep {
	begin := u.job.Accepted
	if due := u.job.Due(u.occurrence); !due.IsZero() {
		begin = due
	}
	objective := p.objective(u.job)
	work := p.estimator.expect(u.job.queue.key, u.spec().Estimate)
	priority := u.job.queue.Priority
	if u.urgent() {
		priority = 0
	}
	return &waitingStep{
		late:     !u.spec().LongRunning && now.Add(work).After(begin.Add(lateFactor*objective)),
		priority: priority,
		deadline: begin.Add(objective),
	}
}

// compare returns a negative number if the step is placed before the other one.
func (s *waitingStep) compare(other *waitingStep) int {
	switch {
	case s.late != other.late:
		return last(s.late)
	case s.priority != other.priority:
		return cmp.Compare(s.priority, other.priority)
	case s.overRate != other.overRate:
		return last(s.overRate)
	case s.overShare != other.overShare:
		return last(s.overShare)
	case !s.deadline.Equal(other.deadline):
		return s.deadline.Compare(other.deadline)
	case s.units[0].less(other.units[0]):
		return -1
	default:
		return 1
	}
}

// last returns the result of a comparison with a step that differs in a condition, the fulfillment of which comes last.
func last(fulfilled bool) int {
	if fulfilled {
		return 1
	}
	return -1
}
