// Package adviser defines the client interface of the external service that decides which workers may run the steps of
// the jobs in advised queues. A queue is advised if its configuration requires the tickets of this service.
package adviser

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/planner"
)

// ErrUnanswered reports a request that got no usable response. The caller may retry it.
var ErrUnanswered = errors.New("the adviser has not answered")

// Advice is the response to a request for advice.
type Advice struct {
	// Tickets holds one ticket for each worker that may run the step.
	Tickets []planner.Ticket
	// Validity is the time for which the tickets are valid, counted from the response.
	Validity time.Duration
}

// Adviser is a client of the external service that advises on workers. The service handles one request from each VM at
// a time.
type Adviser interface {
	// Consult asks which of the given workers may run a step. It returns by the context's deadline.
	Consult(ctx context.Context, step graph.StepID, workers []endpoint.Name) (Advice, error)
}
