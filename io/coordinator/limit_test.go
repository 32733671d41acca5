package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/policy"
	"auburnstack/core/resources"
)

// limitedPolicy returns the policy of a capacityTerm with a limit of accelerators for the account of its jobs.
func limitedPolicy(accelerators int64) *policy.Policy {
	return &policy.Policy{
		Queues:   []policy.Queue{{Name: "urgent", Service: "assay"}, {Name: "long", Service: "assay", Priority: 1}},
		Accounts: []policy.Account{{Name: "", Limit: resources.Amounts{Accelerators: accelerators}}},
	}
}

// TestNoFirstStartAboveLoweredLimit guards against a start that waits to be sent, here because the worker has not answered,
// and is sent although the limit of its account was lowered below what was ordered.
func TestNoFirstStartAboveLoweredLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacityTerm(t)
		defer c.close()
		c.link.setUnresponsive(true)
		c.orders.issue(c.starts[0])
		c.orders.issue(c.starts[1])
		c.planner.SetPolicy(limitedPolicy(1))
		c.retryOrders()
		qt.Check(t, c.orders.pending, qt.HasLen, 1)
		c.retryOrders()
		qt.Check(t, c.worker.startCount(), qt.Equals, 1)
	})
}

// TestNoRepeatedStartAboveLoweredLimit guards against a start that was not answered and is sent again, and then begins a
// run, although the limit of its account was lowered.
func TestNoRepeatedStartAboveLoweredLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacityTerm(t)
		defer c.close()
		c.startUnanswered()
		c.planner.SetPolicy(limitedPolicy(1))
		time.Sleep(orderRetryPause)
		c.retryOrders()
		qt.Check(t, c.worker.startCount(), qt.Equals, 2)

		c.planner.SetPolicy(limitedPolicy(2))
		c.retryOrders()
		qt.Check(t, c.worker.startCount(), qt.Equals, 4)
	})
}
