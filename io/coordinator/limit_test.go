package coordinator

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/policy"
	"auburnstack/core/resources"
)

// setLimit limits the accelerators of the account that has the jobs of the term.
func (c *capacityTerm) setLimit(accelerators int64) {
	c.planner.SetPolicy(&policy.Policy{Queues: testQueues, Accounts: []policy.Account{{
		Name: "owner", Limit: resources.Amounts{Accelerators: accelerators},
	}}})
}

// TestNoFirstStartAboveLimit guards against a start that waits to be sent and is sent after the limit of its account was
// lowered below what was placed.
func TestNoFirstStartAboveLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacityTerm(t)
		defer c.close()
		c.link.setUnresponsive(true)
		for _, start := range c.starts {
			c.orders.issue(start)
		}
		c.setLimit(1)
		c.link.setUnresponsive(false)
		c.retryOrders()
		qt.Check(t, c.worker.startCount(), qt.Equals, 1)
		qt.Check(t, c.orders.pending, qt.HasLen, 1)
		c.setLimit(2)
		qt.Check(t, c.place(), qt.HasLen, 1, qt.Commentf("the task whose start was withdrawn is placed again"))
	})
}

// TestNoRepeatedStartAboveLimit guards against a start that is sent again, after an attempt without an answer, although
// the limit of its account was lowered meanwhile: the run may not exist yet. It is sent again once the limit allows it.
func TestNoRepeatedStartAboveLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacityTerm(t)
		defer c.close()
		c.startUnanswered()
		c.setLimit(1)
		c.retryOrders()
		qt.Check(t, c.worker.startCount(), qt.Equals, 2)
		c.setLimit(2)
		c.register()
		c.retryOrders()
		qt.Check(t, c.worker.startCount(), qt.Equals, 4)
	})
}
