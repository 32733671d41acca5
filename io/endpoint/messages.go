// Package endpoint implements the HTTP protocol to endpoints. An endpoint runs requests, one in each of its slots, and
// tasks on its accelerators.
package endpoint

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/job"
	"auburnstack/core/request"
	"auburnstack/core/route"
)

// Paths and headers of an endpoint's HTTP interface.
const (
	PathRun      = "/v1/run"
	PathReserve  = "/v1/reserve"
	PathStart    = "/v1/start"
	PathExchange = "/v1/exchange"
	PathStop     = "/v1/stop"

	HeaderAttempt = "Attempt-Id"
	HeaderRequest = "Request-Id"
	HeaderKind    = "Kind"
	HeaderDigest  = "Body-Digest"
	HeaderNotRun  = "Not-Run"
	HeaderBusy    = "Slots-Busy"
)

// Epoch is a fencing token that increases with each new scheduler of a failure domain. An endpoint rejects messages
// whose epoch is lower than the highest epoch that the endpoint has received.
type Epoch uint64

// Run is the message that sends one attempt of a request to an endpoint.
type Run struct {
	Attempt request.AttemptID
	Request request.ID
	Kind    route.Kind
	Body    []byte
}

// RunReply is the answer to an attempt.
type RunReply struct {
	Body []byte
	// Busy is the number of slots of the endpoint that are in use.
	Busy int
}

// Task identifies one attempt of a job. If the job runs on several endpoints at once, as a gang, each of these
// endpoints holds a task with this identity.
type Task struct {
	Job     job.ID
	Attempt job.Attempt
}

// Reserve asks an endpoint to hold accelerators for a task.
type Reserve struct {
	Epoch        Epoch
	Task         Task
	Accelerators int
	// Lease is the time for which the accelerators stay reserved without a start or a renewal.
	Lease time.Duration
	// Members lists the endpoints of the whole gang. The endpoint returns it in its reports, and a later scheduler needs
	// it to adopt the running task.
	Members []endpoint.Name
	// Term is Guaranteed if the task is never stopped to make room for other jobs, and Borrowed if it may be. The
	// endpoint returns Term in its reports, and a later scheduler needs it to adopt the running task.
	Term string
}

// Start asks an endpoint to start a reserved task. The task waits at a barrier until an Exchange confirms that the
// whole gang has started.
type Start struct {
	Epoch   Epoch
	Task    Task
	Kind    route.Kind
	Payload []byte
	Lease   time.Duration
}

// Exchange asks an endpoint to renew the leases of its tasks and to report the tasks that have changed.
type Exchange struct {
	Epoch Epoch
	// Lease is the new duration of the leases of all running tasks except those in Withhold, counted from the arrival of
	// the message; 0 renews none.
	Lease time.Duration
	// Withhold lists the tasks whose leases are not renewed.
	Withhold []Task `json:",omitempty"`
	// Confirm lists the tasks whose whole gang has started.
	Confirm []Task `json:",omitempty"`
	// Acknowledge lists the ended tasks whose end the scheduler has recorded; the endpoint then forgets these tasks.
	Acknowledge []Task `json:",omitempty"`
	// Since is the version of the last report that the sender of the exchange has received; 0 requests all tasks.
	Since uint64
	// Wait is the time for which the endpoint may hold back the reply while nothing changes (long polling). The endpoint
	// renews the leases as soon as the message arrives.
	Wait time.Duration `json:",omitempty"`
}

// TaskState is the state of a task on an endpoint.
type TaskState string

// The states of a task. A task in the state Started waits at the barrier until an Exchange confirms it; the state of a
// confirmed task is Running.
const (
	Reserved TaskState = "Reserved"
	Started  TaskState = "Started"
	Running  TaskState = "Running"
	Finished TaskState = "Finished"
	Failed   TaskState = "Failed"
	Stopped  TaskState = "Stopped"
)

// Ended reports whether the state is final.
func (s TaskState) Ended() bool {
	return s == Finished || s == Failed || s == Stopped
}

// TaskReport is the state of one task.
type TaskReport struct {
	Task
	State        TaskState
	Accelerators int
	Members      []endpoint.Name `json:",omitempty"`
	Term         string          `json:",omitempty"`
	Result       []byte          `json:",omitempty"`
	// Used is the accelerator time that the task has used, in accelerator-seconds. The measured value lags behind the
	// actual use.
	Used float64 `json:",omitempty"`
}

// Report is the reply to an exchange.
type Report struct {
	// Version is the value to send as Since in the next exchange.
	Version uint64
	// Incarnation identifies the endpoint's process. It changes when the endpoint restarts; the endpoint loses its
	// tasks with the restart.
	Incarnation uint64
	// Tasks holds the tasks that have changed after the version that the exchange gives as Since.
	Tasks []TaskReport `json:",omitempty"`
	Busy  int          `json:",omitempty"`
}

// Stop asks an endpoint to stop a task, after saving a checkpoint if Checkpoint is set.
type Stop struct {
	Epoch      Epoch
	Task       Task
	Checkpoint bool
}
