// Package planner decides which tasks run on which workers. It does no I/O and reads no clock: its input is method
// calls with the current time, its output is actions, and the job progress that the caller must store. It places
// units, each a single task or a gang. The start of a new placement is ordered only after the progress that contains
// the placement is stored.
package planner

import (
	"time"

	"auburnstack/core/account"
	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/core/roster"
	"auburnstack/core/speed"
)

// Settings holds the time limits and factors that apply to one site.
type Settings struct {
	// LeaseLimit is the longest time for which a worker runs tasks without a lease renewal.
	LeaseLimit time.Duration
	// RegistrationInterval is the time between two writes of a worker's registration. A worker that leaves removes its
	// registration; that of a silent worker is removed after three intervals.
	RegistrationInterval time.Duration
	// StopTime is the longest time between the arrival of a stop order at a worker and the end of the task.
	StopTime time.Duration
	// RemoteFactor is the factor by which a task takes longer if it runs outside the rack of its data or if its gang is
	// spread over several racks.
	RemoteFactor float64
	// EarlyStart is the longest time by which an occurrence of a recurring job may start before it is due.
	EarlyStart time.Duration
	// RetainFinal is the time for which the planner keeps the state of a job after the job has ended.
	RetainFinal time.Duration
	// LearnSpeeds makes the planner estimate the relative speeds of workers and place units accordingly.
	LearnSpeeds bool
	// Order and Fit are nil in production. Experiments set them to compare the production policies with baselines.
	Order Order
	Fit   Fit
}

const (
	// clockDrift is the largest relative error of a worker's monotonic clock.
	clockDrift = 0.02
	// leaseMargin is the time allowed for the last lease renewal to reach the worker.
	leaseMargin = 150 * time.Millisecond
)

// Planner holds the state of all jobs and workers of a site. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	policy   *policy.Policy
	// queueIndex finds the queues of the policy.
	queueIndex *policy.QueueIndex
	workers    map[endpoint.Name]*worker
	// workersByName lists the workers sorted by name, which makes decisions deterministic.
	workersByName []*worker
	// anyRetired is set if a worker may be retired. anyAdvised is set if a job may be in a queue with advice.
	anyRetired, anyAdvised bool
	jobs                   map[graph.ID]*jobState
	// queues holds the queues of all jobs.
	queues map[queueRef]*queue
	// holdings holds the state of all client accounts in the policy and in jobs.
	holdings map[account.Name]*holding
	// anyLimited and anyWeighted are set if the policy in force has an account with a limit or a weight.
	anyLimited, anyWeighted bool
	// arrivalsChanged is set if the rates at which accounts submit jobs must be determined again.
	arrivalsChanged bool
	// footprint is the sum of the footprints of all jobs.
	footprint int64
	// recurring holds the recurring jobs that have not ended.
	recurring map[graph.ID]*jobState
	// waiting holds the units that can be placed.
	waiting map[*unit]struct{}
	// awaitingCapacity holds the units that have been assigned workers and wait until these workers have enough free
	// capacity.
	awaitingCapacity map[*unit]struct{}
	// dirty holds the parts of jobs' progress that have changed since TakeChanges last returned them. storing holds the
	// parts that TakeChanges has returned and that are not stored yet, with the numbers of their oldest changes. changes
	// is the number of all changes so far.
	dirty   map[*part]struct{}
	storing map[*part]uint64
	changes uint64
	actions []Action
	// findings holds the findings since the last call of TakeFindings.
	findings []Finding
	// suspected holds the units that are isolated because workers may have crashed under them. expired holds runs that
	// count if their worker turns out to have crashed.
	suspected map[*unit]struct{}
	expired   []expiredRun
	// unexplained holds the recent crashes that no start explains.
	unexplained []crash
	// lastUnexplained is the time of the last crash of a worker that no start explains.
	lastUnexplained time.Time
	// now is the time that was passed to the current or last call of Plan.
	now time.Time
	// lastSweep is the time of the last call of sweep.
	lastSweep time.Time
	// needsPlacement is set when an event may have made a placement possible.
	needsPlacement bool
	// round is the pass over the waiting units that the last call of Plan has not finished, or nil. rounds is the number
	// of rounds that have begun.
	round  *round
	rounds uint64
	// partTasks is maxPartTasks, but for tests.
	partTasks int
	// examineLimit is maxExamined, but for tests. lastExamined is the number of workers and running tasks that the last
	// call of Plan has examined to place units.
	examineLimit, lastExamined int
	// lastApplied is the number of queues, placed tasks and waiting units that the last call of SetPolicy has examined.
	lastApplied int
	estimator   *estimator
	// advice holds, for each step, the adviser's answers about the workers that may run the step.
	advice       map[graph.StepID]*advice
	consultation consultation
	// headroom determines the capacity that is kept free for urgent jobs.
	headroom      headroom
	ratioVariance ratioVariance
	// speeds estimates the speeds of workers. It is nil unless Settings.LearnSpeeds is set.
	speeds *speed.Model
	// sizes holds, for each worker size, the largest number of workers of that size that were registered at the same
	// time. firstListed is the time at which the planner received the first list of workers.
	sizes       map[roster.Size]int
	firstListed time.Time
	// capacityChanges holds the changes of registered capacities that TakeCapacityChanges has not returned yet.
	capacityChanges capacityChanges
}

// New returns a planner without workers and jobs.
func New(settings Settings, p *policy.Policy) *Planner {
	planner := &Planner{
		settings:         settings,
		policy:           p,
		queueIndex:       policy.NewQueueIndex(p),
		workers:          map[endpoint.Name]*worker{},
		jobs:             map[graph.ID]*jobState{},
		queues:           map[queueRef]*queue{},
		holdings:         map[account.Name]*holding{},
		recurring:        map[graph.ID]*jobState{},
		waiting:          map[*unit]struct{}{},
		awaitingCapacity: map[*unit]struct{}{},
		dirty:            map[*part]struct{}{},
		storing:          map[*part]uint64{},
		partTasks:        maxPartTasks,
		suspected:        map[*unit]struct{}{},
		advice:           map[graph.StepID]*advice{},
		sizes:            map[roster.Size]int{},
		estimator:        newEstimator(),
		examineLimit:     maxExamined,
	}
	planner.applyAccounts()
	if settings.LearnSpeeds {
		planner.speeds = speed.New()
	}
	return planner
}

// SetPolicy replaces the policy in force, which is the operators' configuration. All jobs follow the settings of their
// queue, except for runs that were ordered to start: these go on. SetPolicy returns the changes of such settings.
func (p *Planner) SetPolicy(next *policy.Policy) []QueueChange {
	p.policy, p.queueIndex = next, policy.NewQueueIndex(next)
	p.needsPlacement = true
	if p.applyAccounts() {
		// Units that the current round has tried may fit now.
		p.round = nil
		p.withdrawOverLimits()
	}
	return p.applyQueues()
}

// leaseEnd returns the time at which a lease that was renewed at the given time has expired, whatever the drift of
// the worker's clock.
func (p *Planner) leaseEnd(renewed time.Time) time.Time {
	limit := time.Duration(float64(p.settings.LeaseLimit) * (1 + clockDrift))
	return renewed.Add(limit + leaseMargin)
}
