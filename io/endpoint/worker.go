package endpoint

import (
	"context"

	"github.com/pkg/errors"
)

// Errors of an endpoint.
var (
	// ErrRefused reports a request that the endpoint refused before it started.
	ErrRefused = errors.New("the endpoint refused the request before the start")
	// ErrNotSent reports a request that was never sent.
	ErrNotSent = errors.New("the request was not sent")
	// ErrFailed reports a request that ran and failed.
	ErrFailed = errors.New("the endpoint failed the request")
	// ErrLost reports that no whole answer came; the request may have run.
	ErrLost = errors.New("no whole answer from the endpoint")
	// ErrCorrupted reports an answer that belongs to another attempt or has a wrong digest.
	ErrCorrupted = errors.New("the answer does not match the attempt")
	// ErrStaleEpoch reports that the endpoint obeys a later scheduler.
	ErrStaleEpoch = errors.New("the endpoint has seen a later epoch")
	// ErrNoTask reports a task that the endpoint does not hold, or not any more.
	ErrNoTask = errors.New("the endpoint does not hold this task")
	// ErrNoCapacity reports that the accelerators are taken.
	ErrNoCapacity = errors.New("the endpoint has too few free accelerators")
)

// Worker is one endpoint. Every method ends by the context's deadline.
type Worker interface {
	// Run sends a request to a slot. It fails with ErrRefused, ErrNotSent, ErrFailed, ErrLost or ErrCorrupted.
	Run(ctx context.Context, run Run) (RunReply, error)
	// Reserve holds accelerators. It fails with ErrStaleEpoch, ErrNoRoom or ErrLost. It can be repeated.
	Reserve(ctx context.Context, reserve Reserve) error
	// Start starts a reserved task. It fails with ErrStaleEpoch, ErrNoTask or ErrLost. It can be repeated.
	Start(ctx context.Context, start Start) error
	// Exchange renews leases and returns news. It fails with ErrStaleEpoch or ErrLost.
	Exchange(ctx context.Context, exchange Exchange) (Report, error)
	// Stop stops a task and returns its last state: one that had ended before keeps its result. One that the endpoint
	// does not hold is Stopped, and a reservation of it that arrives later is refused until the stop is acknowledged.
	// It fails with ErrStaleEpoch or ErrLost.
	Stop(ctx context.Context, stop Stop) (TaskReport, error)
}
