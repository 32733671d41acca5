// Package adviser describes the service that alone knows which workers may run the steps of advised queues.
package adviser

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/planner"
)

// ErrUnanswered reports a question without a usable answer. It may be asked again.
var ErrUnanswered = errors.New("the adviser has not answered")

// Advice is the answer to a question.
type Advice struct {
	// Tickets holds one for each worker that may run the step.
	Tickets []planner.Ticket
	// Validity is how long they hold, from the answer on.
	Validity time.Duration
}

// Adviser answers one question of a VM at a time.
type Adviser interface {
	// Consult asks which of some workers may run a step. It ends by the context's deadline.
	Consult(ctx context.Context, step graph.StepID, workers []endpoint.Name) (Advice, error)
}
