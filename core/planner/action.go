package planner

import (
	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
)

// Action is a decision to be carried out: Start, Stop, Pace or Consult.
type Action interface {
	isAction()
}

// Start orders a worker to run a task.
type Start struct {
	Worker     endpoint.Name
	Task       graph.TaskID
	Run        graph.Run
	Spec       string
	Checkpoint string
	// Ticket permits the start on a worker of an advised queue; empty on other queues.
	Ticket string
}

// Stop orders a worker to end a run. It repeats until the run has ended.
type Stop struct {
	Worker endpoint.Name
	Task   graph.TaskID
	Run    graph.Run
	Reason StopReason
}

// Pace orders a worker to let a run work at a share of its speed.
type Pace struct {
	Worker  endpoint.Name
	Task    graph.TaskID
	Run     graph.Run
	Percent int
}

// Consult asks the adviser which of some workers may run a step.
type Consult struct {
	Step    graph.StepID
	Workers []endpoint.Name
}

func (Start) isAction()   {}
func (Stop) isAction()    {}
func (Pace) isAction()    {}
func (Consult) isAction() {}

// StopReason tells why a run is stopped.
type StopReason string

// The reasons of a stop.
const (
	JobCanceled  StopReason = "JobCanceled"
	JobFailed    StopReason = "JobFailed"
	GangBroken   StopReason = "GangBroken"
	Preempted    StopReason = "Preempted"
	WorkerLeaves StopReason = "WorkerLeaves"
	Stalled      StopReason = "Stalled"
	NotWanted    StopReason = "NotWanted"
)
