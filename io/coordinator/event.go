package coordinator

import (
	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/core/roster"
	"auburnstack/io/store"
)

// event is what the control goroutine handles.
type event interface {
	isEvent()
}

// workersChanged holds all usable registrations.
type workersChanged struct{ workers []roster.Worker }

// jobsAccepted holds jobs and cancellations that were read from the store.
type jobsAccepted struct {
	jobs     []*graph.Job
	canceled []graph.ID
}

// workerHeld is a worker's answer to a hold.
type workerHeld struct {
	observation planner.Observation
	// last is the number of the last end; 0 when there is none.
	last int64
}

// workerSilent tells that a worker has not answered a hold.
type workerSilent struct{ worker endpoint.Name }

// workerGone tells that a worker has ended with all its runs.
type workerGone struct{ worker endpoint.Name }

// startAnswered is the outcome of a start.
type startAnswered struct {
	start   planner.Start
	outcome planner.Outcome
}

// stopAnswered is the outcome of a stop.
type stopAnswered struct {
	stop     planner.Stop
	accepted bool
}

// paceAnswered is the outcome of a change of pace.
type paceAnswered struct {
	pace planner.Pace
	// settled is false when the change may not have been carried out and has to be repeated.
	settled bool
}

// flushed tells that changes were stored, at a revision each.
type flushed struct {
	changes   []planner.Change
	revisions map[graph.ID]store.Revision
	stored    bool
}

// policyChanged tells that another configuration is in force.
type policyChanged struct{}

// question asks for the state of a job.
type question struct {
	id    graph.ID
	reply chan<- JobStatus
}

func (workersChanged) isEvent() {}
func (jobsAccepted) isEvent()   {}
func (workerHeld) isEvent()     {}
func (workerSilent) isEvent()   {}
func (workerGone) isEvent()     {}
func (startAnswered) isEvent()  {}
func (stopAnswered) isEvent()   {}
func (paceAnswered) isEvent()   {}
func (flushed) isEvent()        {}
func (policyChanged) isEvent()  {}
func (question) isEvent()       {}
