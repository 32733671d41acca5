package planner

import (
	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
)

// Action is an order (an instruction to a worker) or a question to the adviser: Start, Stop, Pace or Consult.
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
	// Ticket is the adviser's permission to start the task on this worker. Ticket is empty for queues without advice.
	Ticket string
	// Speeds is set for the first member of an urgent unit that was placed by learned speeds.
	Speeds SpeedForecast
}

// SpeedForecast is what the learned speeds of a unit's workers promise at its start.
type SpeedForecast struct {
	// Slowest is the expected relative speed of the slowest worker. It is 0 if speeds were not considered.
	Slowest float64
	// Chance is the probability that all workers are fast enough for the unit's objective.
	Chance float64
}

// Stop orders a worker to end a run. The caller of Plan sends the order again until the worker has accepted it or the
// run has ended.
type Stop struct {
	Worker endpoint.Name
	Task   graph.TaskID
	Run    graph.Run
	Reason StopReason
}

// Pace orders a worker to throttle a run to a percentage of its full speed.
type Pace struct {
	Worker  endpoint.Name
	Task    graph.TaskID
	Run     graph.Run
	Percent int
}

// Consult asks the adviser which of the listed workers may run the tasks of a step.
type Consult struct {
	Step    graph.StepID
	Workers []endpoint.Name
}

func (Start) isAction()   {}
func (Stop) isAction()    {}
func (Pace) isAction()    {}
func (Consult) isAction() {}

// StopReason is the reason why a run is stopped.
type StopReason string

// The reasons for a stop.
const (
	JobCanceled  StopReason = "JobCanceled"
	JobFailed    StopReason = "JobFailed"
	GangBroken   StopReason = "GangBroken"
	Preempted    StopReason = "Preempted"
	WorkerLeaves StopReason = "WorkerLeaves"
	Stalled      StopReason = "Stalled"
	NotWanted    StopReason = "NotWanted"
	// NoCapacity stops a run that may not have begun yet on a worker that has no capacity for it any more.
	NoCapacity StopReason = "NoCapacity"
	// AboveLimit stops a run that may not have begun yet and that its account's lowered limit does not allow any more.
	AboveLimit StopReason = "AboveLimit"
	// Restarted stops a run that may have begun, or may still begin, after its worker has restarted.
	Restarted StopReason = "Restarted"
	// StartUnanswered stops a run that may not have begun yet on a worker that has not answered its start for long.
	StartUnanswered StopReason = "StartUnanswered"
)

// MayPrecedeStart reports whether stops for this reason concern runs that may not have begun.
func (r StopReason) MayPrecedeStart() bool {
	return r == NoCapacity || r == AboveLimit || r == Restarted || r == StartUnanswered
}
