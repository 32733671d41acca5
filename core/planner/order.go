package planner

import (
	"sort"
	"time"
)

// lateFactor is the multiple of a job's objective, the time within which the job should finish, after which a finished
// job earns no reward.
const lateFactor = 3

// rank holds the sort keys of a waiting unit.
type rank struct {
	unit *unit
	// late is set when the unit is expected to finish later than lateFactor times the objective after the job was
	// accepted or, for a recurring job, after its occurrence was due.
	late     bool
	priority int
	// deadline is the time by which the job should finish according to its objective.
	deadline time.Time
}

// queueOrder returns the waiting units in the order in which they are placed.
func (p *Planner) queueOrder(now time.Time) []*unit {
	if !p.prefersUrgent() {
		units := make([]*unit, 0, len(p.waiting))
		for u := range p.waiting {
			units = append(units, u)
		}
		p.baselineOrder(units, now)
		return units
	}
	ranks := make([]rank, 0, len(p.waiting))
	for u := range p.waiting {
		ranks = append(ranks, p.rank(u, now))
	}
	sort.Slice(ranks, func(i, j int) bool { return ranks[i].before(&ranks[j]) })
	units := make([]*unit, len(ranks))
	for i := range ranks {
		units[i] = ranks[i].unit
	}
	return units
}

func (p *Planner) rank(u *unit, now time.Time) rank {
	begin := u.job.Accepted
	if due := u.job.Due(u.occurrence); !due.IsZero() {
		begin = due
	}
	objective := p.objective(u.job)
	work := p.estimator.expect(u.job.Queue, u.spec().Estimate)
	priority := u.job.queue.Priority
	if u.urgent() {
		priority = 0
	}
	return rank{
		unit:     u,
		late:     !u.spec().LongRunning && now.Add(work).After(begin.Add(lateFactor*objective)),
		priority: priority,
		deadline: begin.Add(objective),
	}
}

func (r *rank) before(other *rank) bool {
	if r.late != other.late {
		return other.late
	}
	if r.priority != other.priority {
		return r.priority < other.priority
	}
	if !r.deadline.Equal(other.deadline) {
		return r.deadline.Before(other.deadline)
	}
	return r.unit.less(other.unit)
}
