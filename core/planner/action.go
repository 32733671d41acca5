package planner

import (
	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
)

// Action is a decision to be carried out: Start or Stop.
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
}

// Stop orders a worker to end a run. It repeats until the run has ended.
type Stop struct {
	Worker endpoint.Name
	Task   graph.TaskID
	Run    graph.Run
	Reason StopReason
}

func (Start) isAction() {}
func (Stop) isAction()  {}

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
