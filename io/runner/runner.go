// Package runner describes the workers' interface for running tasks.
package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/core/roster"
)

// Fence is a fencing token. A worker obeys no order with a lower one than the highest that it has seen.
type Fence int64

// WorkerTime is a reading of a worker's own steady clock, from an arbitrary origin.
type WorkerTime time.Duration

// Hold renews the lease of everything that runs on a worker and asks what runs there.
type Hold struct {
	Fence Fence
	// Acknowledged is the number of the last end that was recorded; the worker forgets the ends up to it.
	Acknowledged int64
	// Until is when the lease ends; 0 to leave it.
	Until WorkerTime
	// Wait is how long the worker may hold back its answer until a run ends; 0 for an answer at once.
	Wait time.Duration
}

// HoldReply is the answer to a hold.
type HoldReply struct {
	Clock       WorkerTime
	Incarnation roster.Incarnation
	Runs        []planner.RunningTask
	Ended       []planner.EndedRun
	// Last is the number of the last end in Ended; 0 when there is none.
	Last int64
}

// Start orders a run of a task.
type Start struct {
	Task  graph.TaskID
	Run   graph.Run
	Fence Fence
	Spec  string
	// Until is when the lease ends; the start has no effect when it arrives later.
	Until      WorkerTime
	Checkpoint string
	// Ticket permits the start where the queue is advised; empty elsewhere.
	Ticket string
}

// Pace lets a run work at a share of its speed.
type Pace struct {
	Task    graph.TaskID
	Run     graph.Run
	Percent int
	Fence   Fence
}

// Stop orders the end of a run. A run that has not begun never will.
type Stop struct {
	Task  graph.TaskID
	Run   graph.Run
	Fence Fence
}

// Errors of a worker. Of all others a caller knows nothing: the order may have been carried out, or may be later.
var (
	// ErrFenced reports an order with an outdated fencing token.
	ErrFenced = errors.New("the worker obeys a newer leader")
	// ErrRejected reports an order that had no effect and will have none.
	ErrRejected = errors.New("the worker has rejected the order")
	// ErrNoCapacity reports a start that was rejected since the worker lacks room.
	ErrNoCapacity = errors.New("the worker lacks room")
	// ErrTicket reports a start that was rejected since its ticket does not hold.
	ErrTicket = errors.New("the worker does not accept the ticket")
	// ErrUnanswered reports an order without an answer.
	ErrUnanswered = errors.New("the worker has not answered")
	// ErrUnreachable reports an order that was never sent.
	ErrUnreachable = errors.New("the worker can't be reached")
	// ErrReplaced reports that another worker answers at the address: the one that was meant has ended, with all its runs.
	ErrReplaced = errors.New("another worker answers at the address")
	// ErrUnhealthy reports an order that an unhealthy worker has refused.
	ErrUnhealthy = errors.New("the worker says that it is unhealthy")
)

// Worker runs tasks. Every method ends by the context's deadline.
type Worker interface {
	// Hold renews and asks.
	Hold(ctx context.Context, hold Hold) (HoldReply, error)
	// Start begins a run; it succeeds also if the run is already there.
	Start(ctx context.Context, start Start) (WorkerTime, error)
	// Stop ends a run.
	Stop(ctx context.Context, stop Stop) error
	// Pace changes how fast a run works.
	Pace(ctx context.Context, pace Pace) error
}

// Dialer finds the connection to a worker.
type Dialer interface {
	Worker(worker roster.Worker) Worker
}
