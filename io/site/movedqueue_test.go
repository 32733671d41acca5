package site

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/standin/memworker"
)

// moveTimeout is the time from a change of the configuration within which a job whose queue has moved must have
// started: the configuration is in force and the service has had room for 3 s.
const moveTimeout = applyLimit + 3*time.Second

// moveBatchQueue puts a configuration in force in which the batch queue uses another service.
func (f *fleet) moveBatchQueue(version policy.Version, service string) {
	f.putQueues(version, policy.Queue{
		Name: "batch", Host: testHost, Prefix: batchQueue, Service: service, Priority: 2, MaxAttempts: 3, Stretch: 3,
	})
}

// TestMovedQueue moves the queue of waiting jobs from a full service to an idle one, to one whose workers come later
// and back, and kills the leader in between. Guards against LOST: jobs that were accepted before the move waited for
// the full service.
func TestMovedQueue(t *testing.T) {
	for _, killed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 5, 4, 2)
			defer f.close()
			time.Sleep(5 * time.Second)
			full := oneStep(2, false, fullCapacity.Accelerators)
			full[0].Estimate = 20 * time.Second
			long := oneStep(2, false, fullCapacity.Accelerators)
			long[0].Estimate = 10 * time.Minute
			blocking := f.submit(urgentQueue, long, memworker.Plan{Work: long[0].Estimate})
			first := f.submit(batchQueue, full, memworker.Plan{Work: full[0].Estimate})
			second := f.submit(batchQueue, full, memworker.Plan{Work: full[0].Estimate})
			third := f.submit(batchQueue, full, memworker.Plan{Work: full[0].Estimate})
			qt.Check(t, f.workers.Started(blocking), qt.IsTrue)
			f.addWorker(2, "spare")
			f.addWorker(3, "spare")
			f.moveBatchQueue(2, "spare")
			time.Sleep(moveTimeout)
			qt.Check(t, f.workers.Started(first), qt.IsTrue)

			f.moveBatchQueue(3, "late")
			if killed {
				leader := f.awaitLeader()
				leader.kill()
				time.Sleep(time.Second)
				leader.restart()
			}
			time.Sleep(time.Minute)
			qt.Check(t, f.workers.Done(graph.TaskID{Job: first, Index: 1}), qt.IsTrue)
			qt.Check(t, f.workers.Started(second), qt.IsFalse)
			f.addWorker(4, "late")
			f.addWorker(5, "late")
			time.Sleep(moveTimeout)
			qt.Check(t, f.workers.Started(second), qt.IsTrue)

			f.moveBatchQueue(4, "assay")
			f.workers.Cancel(blocking)
			qt.Check(t, f.vms[1].serve("DELETE", urgentQueue+string(blocking), nil).Kind, qt.Equals, answer.Done)
			time.Sleep(moveTimeout)
			qt.Check(t, f.workers.Started(third), qt.IsTrue)
			f.checkNoViolations()
		})
	}
}

// TestQueueRemovedAfterMove removes the queue of a waiting job after it has moved, and kills the leader. Guards against
// LOST: the next leader knew the settings of the job's acceptance only, so the job waited for the full service.
func TestQueueRemovedAfterMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, 4, 2)
		defer f.close()
		time.Sleep(5 * time.Second)
		long := oneStep(2, false, fullCapacity.Accelerators)
		long[0].Estimate = 10 * time.Minute
		f.submit(urgentQueue, long, memworker.Plan{Work: long[0].Estimate})
		waits := f.submit(batchQueue, oneStep(1, false, fullCapacity.Accelerators), memworker.Plan{Work: time.Second})
		f.moveBatchQueue(2, "late")
		time.Sleep(applyLimit)
		f.putQueues(3, policy.Queue{
			Name: "other", Host: testHost, Prefix: "/other/", Service: "assay", Priority: 2, MaxAttempts: 3, Stretch: 3,
		})
		time.Sleep(applyLimit)
		leader := f.awaitLeader()
		leader.kill()
		time.Sleep(time.Minute)
		leader.restart()
		qt.Check(t, f.workers.Started(waits), qt.IsFalse)
		f.addWorker(2, "late")
		time.Sleep(moveTimeout)
		qt.Check(t, f.workers.Started(waits), qt.IsTrue)
		f.checkNoViolations()
	})
}
