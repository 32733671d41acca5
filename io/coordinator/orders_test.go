package coordinator

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"auburnstack/core/planner"
	"auburnstack/io/runner"
)

// TestStartOutcome checks the outcome of each error of a start order, at the first attempt and after an unanswered
// attempt. After an unanswered attempt a rejection does not prove that the run never began: a worker also rejects, as
// outdated, a run that the earlier attempt started and that has ended since.
func TestStartOutcome(t *testing.T) {
	for _, test := range []struct {
		err                error
		firstTry, repeated planner.Outcome
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
		qt.Check(t, startOutcome(err, false), qt.Equals, test.firstTry, qt.Commentf("first try: %v", test.err))
		qt.Check(t, startOutcome(err, true), qt.Equals, test.repeated, qt.Commentf("repeated: %v", test.err))
	}
}
