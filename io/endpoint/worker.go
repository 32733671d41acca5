package endpoint

import (
	"context"

	"github.com/pkg/errors"
)

// Errors that the methods of Worker return.
var (
	// ErrRefused reports a request that the endpoint refused before running it.
	ErrRefused = errors.New("the endpoint refused the request before the start")
	// ErrNotSent reports a request that was never sent.
	ErrNotSent = errors.New("the request was not sent")
	// ErrFailed reports a request that ran and failed.
	ErrFailed = errors.New("the endpoint failed the request")
	// ErrLost reports that no complete answer arrived. The endpoint may have processed the request or message.
	ErrLost = errors.New("no whole answer from the endpoint")
	// ErrCorrupted reports an answer that belongs to another attempt or has a wrong digest.
	ErrCorrupted = errors.New("the answer does not match the attempt")
	// ErrStaleEpoch reports that the endpoint has accepted messages of a scheduler with a higher epoch.
	ErrStaleEpoch = errors.New("the endpoint has seen a later epoch")
	// ErrNoTask reports a task that the endpoint does not hold or no longer holds.
	ErrNoTask = errors.New("the endpoint does not hold this task")
	// ErrNoCapacity reports that the endpoint has too few free accelerators for a reservation.
	ErrNoCapacity = errors.New("the endpoint has too few free accelerators")
)

// Worker makes calls to one endpoint. Every method returns by the context's deadline.
type Worker interface {
	// Run sends a request to a slot. It fails with ErrRefused, ErrNotSent, ErrFailed, ErrLost or ErrCorrupted.
	Run(ctx context.Context, run Run) (RunReply, error)
	// Reserve reserves accelerators. It fails with ErrStaleEpoch, ErrNoCapacity or ErrLost. It is idempotent.
	Reserve(ctx context.Context, reserve Reserve) error
	// Start starts a reserved task. It fails with ErrStaleEpoch, ErrNoTask or ErrLost. It is idempotent.
	Start(ctx context.Context, start Start) error
	// Exchange renews leases and returns the tasks that have changed. It fails with ErrStaleEpoch or ErrLost.
	Exchange(ctx context.Context, exchange Exchange) (Report, error)
	// Stop stops a task and returns its last state. A task that had ended before keeps its result. For a task that the
	// endpoint does not hold, the returned state is Stopped. Until the scheduler acknowledges the stop, the endpoint
	// refuses a reservation for this task, because the reservation may arrive later than the stop. Stop fails with
	// ErrStaleEpoch or ErrLost.
	Stop(ctx context.Context, stop Stop) (TaskReport, error)
}
