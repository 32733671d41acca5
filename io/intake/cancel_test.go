package intake_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/answer"
	"auburnstack/io/coordinator"
	"auburnstack/standin/memstore"
)

// lateWrites delays all writes by up to three seconds, without an answer.
var lateWrites = memstore.Faults{LateWrites: 1}

// TestCancelOvertakesSubmission cancels a job whose submission is still on its way to the store. It guards against a job
// that is accepted and runs after its caller was told that there is no such job.
func TestCancelOvertakesSubmission(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			v := newVM(t)
			v.deadline = 100 * time.Millisecond
			v.client.SetFaults(lateWrites)
			qt.Assert(t, v.call("POST", relayed).Kind, qt.Equals, answer.Unknown)
			v.client.SetFaults(memstore.Faults{})
			if len(v.service.Keys(coordinator.JobKey(jobID))) > 0 {
				t.Fatal("the submission was carried out before the cancellation")
			}
			qt.Check(t, v.call("DELETE", relayed).Kind, qt.Equals, answer.NoJob)
			time.Sleep(10 * time.Second)
			qt.Check(t, v.service.Keys(coordinator.JobKey(jobID)), qt.HasLen, 0)
			qt.Check(t, v.call("GET", false).Kind, qt.Equals, answer.NoJob)
		})
	}
}

// TestSubmissionAfterCancel checks that a submission that comes after the cancellation has no effect, that others do, and
// that a repeated cancellation gets the same answer.
func TestSubmissionAfterCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVM(t)
		for range 2 {
			qt.Check(t, v.call("DELETE", false).Kind, qt.Equals, answer.NoJob)
			qt.Check(t, v.call("POST", false).Kind, qt.Equals, answer.NoJob)
		}
		qt.Check(t, v.service.Keys(coordinator.JobKey(jobID)), qt.HasLen, 0)
		qt.Check(t, v.callWith("other", "POST", false).Kind, qt.Equals, answer.Done, qt.Commentf("another account"))
		qt.Check(t, v.callWith("other", "DELETE", false).Kind, qt.Equals, answer.Done)
	})
}

// TestCancelsOfTwoAccounts checks that each account's cancellation holds for its own submission.
func TestCancelsOfTwoAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVM(t)
		for _, key := range []string{"key", "other"} {
			qt.Check(t, v.callWith(key, "DELETE", false).Kind, qt.Equals, answer.NoJob)
		}
		for _, key := range []string{"key", "other"} {
			qt.Check(t, v.callWith(key, "POST", false).Kind, qt.Equals, answer.NoJob)
		}
	})
}

// TestLateCancel checks that a cancellation without an answer is repeated until its outcome is known, and that it is not
// confirmed before.
func TestLateCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVM(t)
		v.client.SetFaults(memstore.Faults{Down: true})
		qt.Check(t, v.call("DELETE", true).Kind != answer.NoJob, qt.IsTrue)
		v.client.SetFaults(memstore.Faults{})
		qt.Check(t, v.call("POST", false).Kind, qt.Equals, answer.Done)
		qt.Check(t, v.call("DELETE", false).Kind, qt.Equals, answer.Done)
	})
}
