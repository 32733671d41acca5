// Package planner decides which tasks run on which workers. It does no I/O and reads no clock: events come in as method
// calls, decisions go out as actions, and what must be stored before an action is taken comes out as progress records.
package planner

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/core/roster"
)

// Settings are the times and factors of a site.
type Settings struct {
	// LeaseLimit is the longest time for which a worker runs tasks without a renewal.
	LeaseLimit time.Duration
	// StopTime bounds the time from a stop's arrival to the end of the task.
	StopTime time.Duration
	// RemoteFactor is how much longer tasks take away from their data or spread over racks.
	RemoteFactor float64
	// EarlyStart is how long before its due time an occurrence may start.
	EarlyStart time.Duration
	// RetainFinal is how long the state of a job that has ended is kept.
	RetainFinal time.Duration
	// Order and Fit are those of the product when they are nil; experiments set others beside them.
	Order Order
	Fit   Fit
}

const (
	// clockDrift is the largest relative error of a worker's steady clock.
	clockDrift = 0.02
	// leaseMargin covers the delivery of the last renewal.
	leaseMargin = 150 * time.Millisecond
)

// Planner holds the state of all jobs and workers of a site. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	policy   *policy.Policy
	workers  map[endpoint.Name]*worker
	// workersByName lists the workers by name, so that decisions repeat.
	workersByName []*worker
	jobs          map[graph.ID]*jobState
	// waiting lists the units that may be placed, in no order.
	waiting map[*unit]struct{}
	// awaitingCapacity lists the units that are placed and wait for room.
	awaitingCapacity map[*unit]struct{}
	// dirty lists the jobs whose progress has changed since it was last taken.
	dirty   map[graph.ID]*jobState
	actions []Action
	// now is the time of the decision that is being made.
	now time.Time
	// lastSweep is when all running tasks were looked at last.
	lastSweep time.Time
	// needsPlacement is set when an event may have made a decision possible.
	needsPlacement bool
	estimator      *estimator
	// advice holds what the adviser has said of each step.
	advice       map[graph.StepID]*advice
	consultation consultation
	// headroom is what is kept free for urgent jobs.
	headroom      headroom
	ratioVariance ratioVariance
	// sizes counts the workers of each size; followed is when they were listed first.
	sizes       map[roster.Size]int
	firstListed time.Time
}

// New returns a planner without workers and jobs.
func New(settings Settings, p *policy.Policy) *Planner {
	return &Planner{
		settings:         settings,
		policy:           p,
		workers:          map[endpoint.Name]*worker{},
		jobs:             map[graph.ID]*jobState{},
		waiting:          map[*unit]struct{}{},
		awaitingCapacity: map[*unit]struct{}{},
		dirty:            map[graph.ID]*jobState{},
		advice:           map[graph.StepID]*advice{},
		sizes:            map[roster.Size]int{},
		estimator:        newEstimator(),
	}
}

// SetPolicy replaces the configuration in force. Jobs keep what it said of their queue when they were accepted, unless
// it said nothing.
func (p *Planner) SetPolicy(next *policy.Policy) {
	p.policy = next
	p.needsPlacement = true
	for _, j := range p.jobs {
		if j.queue.Name == "" {
			j.queue, _ = next.Queue(j.Queue)
		}
	}
}

// leaseEnd returns when a lease that was renewed at a time has ended on any worker's clock.
func (p *Planner) leaseEnd(renewed time.Time) time.Time {
	limit := time.Duration(float64(p.settings.LeaseLimit) * (1 + clockDrift))
	return renewed.Add(limit + leaseMargin)
}
