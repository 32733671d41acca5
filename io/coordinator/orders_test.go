package coordinator

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"auburnstack/core/planner"
	"auburnstack/io/runner"
)

// TestStartOutcome tells what each answer to a start means, at the first try and after one without an answer. A worker
// rejects a run that has begun and ended meanwhile as old: it has run.
func TestStartOutcome(t *testing.T) {
	for _, test := range []struct {
		err             error
		first, repeated planner.Outcome
	}{
		{runner.ErrRejected, planner.Rejected, planner.RejectedAfterRetry},
		{runner.ErrNoCapacity, planner.Rejected, planner.Unanswered},
		{runner.ErrUnhealthy, planner.Rejected, planner.Unanswered},
		{runner.ErrTicket, planner.NotPermitted, planner.Unanswered},
		{runner.ErrReplaced, planner.Rejected, planner.Rejected},
		{runner.ErrUnanswered, planner.Unanswered, planner.Unanswered},
		{runner.ErrFenced, planner.Unanswered, planner.Unanswered},
	} {
		err := errors.WithMessage(test.err, "wrapped")
		qt.Check(t, startOutcome(err, false), qt.Equals, test.first, qt.Commentf("first try: %v", test.err))
		qt.Check(t, startOutcome(err, true), qt.Equals, test.repeated, qt.Commentf("repeated: %v", test.err))
	}
}
