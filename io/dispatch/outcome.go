package dispatch

import (
	"context"

	"github.com/pkg/errors"

	"auburnstack/core/request"
	"auburnstack/io/endpoint"
)

// combineOutcomes returns the parameter after, unless the parameter before says that the request may have run.
func combineOutcomes(before, after request.Outcome) request.Outcome {
	if _, mayHaveRun := before.(request.Unknown); mayHaveRun {
		return before
	}
	return after
}

func (d *Dispatcher) finalOutcome(ctx context.Context, last request.Outcome) request.Outcome {
	if _, notRun := last.(request.NotRun); notRun && ctx.Err() != nil {
		return request.NotRun{Reason: contextReason(ctx)}
	}
	return last
}

// outcomeOf returns the outcome for the caller that corresponds to an endpoint's reply or error.
func outcomeOf(reply endpoint.RunReply, err error) request.Outcome {
	switch {
	case err == nil:
		return request.Answered{Body: reply.Body}
	case errors.Is(err, endpoint.ErrRefused):
		return request.NotRun{Reason: request.EndpointsBusy}
	case errors.Is(err, endpoint.ErrNotSent):
		return request.NotRun{Reason: request.NoEndpoint}
	case errors.Is(err, endpoint.ErrFailed):
		return request.Unknown{Reason: request.EndpointFailed}
	case errors.Is(err, endpoint.ErrCorrupted):
		return request.Unknown{Reason: request.Corrupted}
	default:
		return request.Unknown{Reason: request.ConnectionLost}
	}
}

func contextReason(ctx context.Context) request.Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return request.Canceled
	}
	return request.DeadlinePassed
}
