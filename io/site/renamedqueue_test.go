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

// TestRenamedQueue gives the queue of a running job and of a waiting one another name, and then kills the leader.
// Guards against LOST, MIXED and UNASKED: all VMs said that there are no such jobs, counted none as waiting and could
// not cancel them.
func TestRenamedQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, 4, 2)
		defer f.close()
		time.Sleep(5 * time.Second)
		perWorker := int(fullCapacity.Accelerators)
		runs := f.submit(batchQueue, oneStep(2*perWorker, false, 1), memworker.Plan{Work: 10 * time.Minute})
		waits := f.submit(batchQueue, oneStep(1, false, 1), memworker.Plan{Work: time.Second})
		f.putQueues(2, policy.Queue{
			Name: "fresh", Host: testHost, Prefix: batchQueue, Service: "assay", Priority: 2, MaxAttempts: 3, Stretch: 3,
		})
		time.Sleep(adoptionTime)
		f.checkRenamed(runs, waits)
		leader := f.awaitLeader()
		leader.kill()
		time.Sleep(completionTimeout)
		leader.restart()
		time.Sleep(adoptionTime)
		f.checkRenamed(runs, waits)

		for _, id := range []graph.ID{waits, runs} {
			f.workers.Cancel(id)
			qt.Check(t, f.vms[1].serve("DELETE", batchQueue+string(id), nil).Kind, qt.Equals, answer.Done)
		}
		time.Sleep(adoptionTime)
		qt.Check(t, f.workers.Running(runs), qt.Equals, 0)
		qt.Check(t, f.workers.Started(waits), qt.IsFalse)
		f.checkNoViolations()
	})
}

// checkRenamed checks what callers are told of a running and a waiting job.
func (f *fleet) checkRenamed(runs, waits graph.ID) {
	f.t.Helper()
	for _, v := range f.vms {
		name := qt.Commentf("%s", v.name)
		qt.Check(f.t, v.serve("GET", batchQueue+string(runs), nil).State, qt.Equals, graph.Running, name)
		qt.Check(f.t, v.serve("GET", batchQueue+string(waits), nil).State, qt.Equals, graph.Queued, name)
		qt.Check(f.t, v.serve("GET", batchQueue, nil).Pending, qt.Equals, 1, name)
	}
}
