package coordinator

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/core/roster"
	"auburnstack/io/store"
)

// event is a message to the control goroutine.
type event interface {
	isEvent()
}

// workersChanged carries all valid worker registrations, as last read from the store, and the last state of those that
// were removed since. The store still had them at the time readAt.
type workersChanged struct {
	workers, removed []roster.Worker
	readAt           time.Time
}

// jobsAccepted reports jobs and cancellations that were read from the store.
type jobsAccepted struct {
	jobs     []*graph.Job
	canceled []graph.ID
}

// holdAnswered reports a worker's reply to a hold (runner.Hold).
type holdAnswered struct {
	observation planner.Observation
	// lastEnd is the sequence number of the last ended run that the reply lists; 0 if the reply lists none.
	lastEnd int64
}

// holdUnanswered reports that a worker has not replied to a hold.
type holdUnanswered struct{ worker endpoint.Name }

// workerReplaced reports that a worker has ended, with all its runs, because another worker replied at its address.
type workerReplaced struct{ worker endpoint.Name }

// startAnswered reports the outcome of a start order.
type startAnswered struct {
	start   planner.Start
	outcome planner.Outcome
}

// stopAnswered reports the outcome of a stop order.
type stopAnswered struct {
	stop     planner.Stop
	accepted bool
}

// paceAnswered reports the outcome of a pace order.
type paceAnswered struct {
	pace planner.Pace
	// settled is false if the worker may not have carried out the order, so that the order has to be sent again.
	settled bool
}

// flushDone reports the outcome of storing changes of jobs' progress.
type flushDone struct {
	stored []planner.Change
	// revisions holds the new store revisions of the stored records by their keys.
	revisions map[string]store.Revision
	// rejected holds the changes whose records the store will never accept. open holds those whose outcome was not known
	// when the term ended.
	rejected, open []planner.Change
}

// removalEnded reports the end of a removal of old jobs. The field done is set if all their records were removed from
// the store.
type removalEnded struct {
	ids  []graph.ID
	done bool
}

// policyChanged reports that another configuration is in force.
type policyChanged struct{}

// stateQuery asks for the state of a job.
type stateQuery struct {
	id    graph.ID
	reply chan<- JobStatus
}

func (workersChanged) isEvent() {}
func (jobsAccepted) isEvent()   {}
func (holdAnswered) isEvent()   {}
func (holdUnanswered) isEvent() {}
func (workerReplaced) isEvent() {}
func (startAnswered) isEvent()  {}
func (stopAnswered) isEvent()   {}
func (paceAnswered) isEvent()   {}
func (flushDone) isEvent()      {}
func (removalEnded) isEvent()   {}
func (policyChanged) isEvent()  {}
func (stateQuery) isEvent()     {}
