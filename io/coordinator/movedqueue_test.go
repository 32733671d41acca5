package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/core/policy"
	"auburnstack/core/resources"
)

// moveQueue puts a policy in force in which the queue of the term's jobs uses another service.
func (c *capacityTerm) moveQueue(service string) {
	c.planner.SetPolicy(&policy.Policy{Queues: []policy.Queue{{Name: "long", Service: service, Priority: 1}}})
}

// TestNoFirstStartAfterMove guards against a start that waits to be sent, here because the worker has not answered, and
// is sent although the queue of its job has moved to another service.
func TestNoFirstStartAfterMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacityTerm(t)
		defer c.close()
		c.link.setUnresponsive(true)
		for _, start := range c.starts {
			c.orders.issue(start)
		}
		c.moveQueue("spare")
		c.retryOrders()
		qt.Check(t, c.worker.startCount(), qt.Equals, 0)
		qt.Check(t, c.orders.pending, qt.HasLen, 0)
		qt.Check(t, c.place(), qt.HasLen, 0)
		c.moveQueue("assay")
		qt.Check(t, c.place(), qt.HasLen, 2, qt.Commentf("the tasks are placed again after the queue has moved back"))
	})
}

// TestGangInPartAfterMove guards against a gang that is broken, and whose work is lost, because its queue moves while
// one of its starts was sent and the other one was not.
func TestGangInPartAfterMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacityTerm(t)
		defer c.close()
		c.info.Capacity.Accelerators = 4
		c.register()
		c.planner.Submit(&graph.Job{ID: "gang", Queue: "long", Accepted: time.Now(), Steps: []graph.Step{{
			Tasks: 2, Gang: true, Needs: resources.Amounts{Accelerators: 1}, Label: "a", Estimate: time.Second, AbsenceLimit: -1,
		}}}, time.Now())
		starts := c.place()
		qt.Assert(t, starts, qt.HasLen, 2)
		c.orders.issue(starts[0])
		c.link.setUnresponsive(true)
		c.orders.issue(starts[1])
		synctest.Wait()
		qt.Assert(t, c.worker.startCount(), qt.Equals, 1)
		c.moveQueue("spare")
		c.retryOrders()
		qt.Check(t, c.worker.startCount(), qt.Equals, 2)
		qt.Check(t, c.orders.pending, qt.HasLen, 2)
		for _, action := range c.planner.TakeActions() {
			_, isStop := action.(planner.Stop)
			qt.Check(t, isStop, qt.IsFalse)
		}
	})
}
