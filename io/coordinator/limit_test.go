package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/policy"
	"auburnstack/core/resources"
	"auburnstack/io/policywatch"
)

// setLimit makes a policy with a limit known to the term, as if it was last proven to be the newest at the given time.
func (c *capacityTerm) setLimit(accelerators int64, confirmed time.Time) {
	next := limitedPolicy(accelerators)
	c.config.Policy = func() *policywatch.Snapshot {
		return &policywatch.Snapshot{Policy: next}
	}
	c.config.Clock = func() time.Duration { return time.Since(confirmed) }
	c.planner.SetPolicy(next)
}

// limitedPolicy returns the policy of a capacityTerm with a limit of accelerators for the account of its jobs.
func limitedPolicy(accelerators int64) *policy.Policy {
	return &policy.Policy{
		Queues:   []policy.Queue{{Name: "urgent", Service: "assay"}, {Name: "long", Service: "assay", Priority: 1}},
		Accounts: []policy.Account{{Name: "", Limit: resources.Amounts{Accelerators: accelerators}}},
	}
}

// TestNoFirstStartAboveLoweredLimit guards against a start that waits to be sent, here because the worker has not
// answered, and is sent although the limit of its account was lowered below what was ordered.
func TestNoFirstStartAboveLoweredLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacityTerm(t)
		defer c.close()
		c.link.setUnresponsive(true)
		c.orders.issue(c.starts[0])
		c.orders.issue(c.starts[1])
		c.setLimit(1, time.Now())
		c.retryOrders()
		qt.Check(t, c.orders.pending, qt.HasLen, 1)
		c.retryOrders()
		qt.Check(t, c.worker.startCount(), qt.Equals, 1)
	})
}

// TestNoRepeatedStartAboveLoweredLimit guards against a start that was not answered and is sent again, and then begins
// a run, although the limit of its account was lowered.
func TestNoRepeatedStartAboveLoweredLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacityTerm(t)
		defer c.close()
		c.startUnanswered()
		c.setLimit(1, time.Now())
		time.Sleep(orderRetryPause)
		c.retryOrders()
		qt.Check(t, c.worker.startCount(), qt.Equals, 2)

		c.setLimit(2, time.Now())
		c.retryOrders()
		qt.Check(t, c.worker.startCount(), qt.Equals, 4)
	})
}

// TestNoLimitedStartOnOldConfiguration guards against a leader whose configuration can't be confirmed and that starts
// work by a limit that may have been lowered long ago. Accounts without a limit must not wait for it.
func TestNoLimitedStartOnOldConfiguration(t *testing.T) {
	for limit, sent := range map[int64]int{0: 2, 8: 0} {
		synctest.Test(t, func(t *testing.T) {
			c := newCapacityTerm(t)
			defer c.close()
			confirmed := time.Now()
			c.setLimit(limit, confirmed)
			time.Sleep(maxPolicyAge)
			c.register()
			c.link.setUnresponsive(false)
			c.orders.issue(c.starts[0])
			c.orders.issue(c.starts[1])
			synctest.Wait()
			qt.Check(t, c.worker.startCount(), qt.Equals, sent, qt.Commentf("limit %d", limit))
			c.setLimit(limit, time.Now())
			c.retryOrders()
			qt.Check(t, c.worker.startCount(), qt.Equals, 2, qt.Commentf("limit %d", limit))
		})
	}
}

// TestNoStartWithoutKnownEvacuations guards against a start in a failure domain that was taken out of service, sent by
// a leader that has not heard of it: nothing has proven lately that it knows all evacuations.
func TestNoStartWithoutKnownEvacuations(t *testing.T) {
	const limit = 5 * time.Second
	for _, age := range []time.Duration{3 * time.Second, limit - orderTimeout} {
		synctest.Test(t, func(t *testing.T) {
			c := newCapacityTerm(t)
			defer c.close()
			c.config.EvacuateLimit = limit
			c.config.Policy = func() *policywatch.Snapshot { return &policywatch.Snapshot{CurrentAt: age} }
			c.config.Clock = func() time.Duration { return age }
			c.orders.issue(c.starts[0])
			synctest.Wait()
			want := 1
			if age >= limit-orderTimeout {
				want = 0
			}
			qt.Check(t, c.worker.startCount(), qt.Equals, want, qt.Commentf("%s", age))
		})
	}
}
