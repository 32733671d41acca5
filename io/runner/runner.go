// Package runner defines the interface through which the leader runs tasks on workers.
package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/core/roster"
)

// Fence is a fencing token. A worker rejects orders whose token is lower than the highest one that it has received.
type Fence int64

// WorkerTime is a reading of a worker's own monotonic clock, which has an arbitrary origin.
type WorkerTime time.Duration

// Hold is the heartbeat that the leader sends to a worker. It renews the lease of all runs on the worker and asks for
// their state. The worker may delay its reply until a run ends (long polling).
type Hold struct {
	Fence Fence
	// Acknowledged is the sequence number of the last ended run whose effects on its job's progress the leader has
	// stored. The worker discards its ended runs up to this number.
	Acknowledged int64
	// Until is the new end of the lease; 0 leaves the lease unchanged.
	Until WorkerTime
	// Wait is the longest time for which the worker may delay its reply until a run ends; 0 asks for an immediate
	// reply.
	Wait time.Duration
}

// HoldReply is a worker's reply to a Hold.
type HoldReply struct {
	Clock       WorkerTime
	Incarnation roster.Incarnation
	Runs        []planner.RunningTask
	// Ended holds the first ended runs that are not acknowledged. MoreEnded is set if there may be others.
	Ended     []planner.EndedRun
	MoreEnded bool
	// Last is the sequence number of the last run in Ended; 0 if Ended is empty.
	Last int64
}

// Start orders a worker to start a run of a task.
type Start struct {
	Task  graph.TaskID
	Run   graph.Run
	Fence Fence
	Spec  string
	// Until is the new end of the lease. A start that arrives after that time has no effect.
	Until      WorkerTime
	Checkpoint string
	// Ticket is the adviser's permission for the start; empty if the queue of the job does not require one.
	Ticket string
}

// Pace throttles a run to a percentage of its full speed.
type Pace struct {
	Task    graph.TaskID
	Run     graph.Run
	Percent int
	Fence   Fence
}

// Stop orders a worker to end a run. If the run has not begun yet, it can no longer begin.
type Stop struct {
	Task  graph.TaskID
	Run   graph.Run
	Fence Fence
}

// Errors of a worker. After ErrUnanswered, and after any error that is not listed here, the outcome of the order is
// unknown: the worker may have carried it out already or may still do so.
var (
	// ErrFenced reports an order that was rejected because its fencing token is outdated.
	ErrFenced = errors.New("the worker obeys a newer leader")
	// ErrRejected reports an order that had no effect and never will.
	ErrRejected = errors.New("the worker has rejected the order")
	// ErrNoCapacity reports a start that was rejected because the worker has too few free resources.
	ErrNoCapacity = errors.New("the worker lacks room")
	// ErrTicket reports a start that was rejected because its ticket is not valid.
	ErrTicket = errors.New("the worker does not accept the ticket")
	// ErrUnanswered reports an order that got no reply.
	ErrUnanswered = errors.New("the worker has not answered")
	// ErrUnreachable reports an order that was never sent.
	ErrUnreachable = errors.New("the worker can't be reached")
	// ErrReplaced reports that another worker replied at the address. The worker for which the order was meant has
	// ended, and all its runs have ended too.
	ErrReplaced = errors.New("another worker answers at the address")
	// ErrUnhealthy reports an order that a worker refused because it is unhealthy.
	ErrUnhealthy = errors.New("the worker says that it is unhealthy")
)

// Worker is the connection to one worker. Every method returns by the context's deadline.
type Worker interface {
	// Hold renews the lease and returns the state of the runs.
	Hold(ctx context.Context, hold Hold) (HoldReply, error)
	// Start begins a run and returns a reading of the worker's clock. It is idempotent: it also succeeds if the run has
	// already begun.
	Start(ctx context.Context, start Start) (WorkerTime, error)
	// Stop ends a run.
	Stop(ctx context.Context, stop Stop) error
	// Pace throttles a run, or changes how far it is throttled.
	Pace(ctx context.Context, pace Pace) error
}

// Dialer returns the connection to a worker.
type Dialer interface {
	Worker(worker roster.Worker) Worker
}
