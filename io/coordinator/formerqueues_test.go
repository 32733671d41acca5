package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/planner"
	"auburnstack/core/policy"
	"auburnstack/io/election"
	"auburnstack/standin/memstore"
)

// removeQueue puts a policy in force that lacks the queue of the term's jobs, and stores what the next leader needs.
func (c *capacityTerm) removeQueue() {
	c.planner.SetPolicy(&policy.Policy{})
	c.storeFormer()
}

func (c *capacityTerm) storeFormer() {
	c.storeFormerQueues(context.Background(), time.Now())
	time.Sleep(formerQueuesPause)
}

// TestFormerQueuesAreStored guards against a leader that does not know the last settings of a removed queue, because its
// predecessor's write failed and was not repeated, or met a key that a write without an answer had changed.
func TestFormerQueuesAreStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacityTerm(t)
		defer c.close()
		service := memstore.New(1)
		service.Put(election.Key, nil)
		c.config.Store = service.Client()
		read := func() []planner.FormerQueue {
			item, err := c.config.Store.Get(context.Background(), formerQueuesKey)
			qt.Assert(t, err, qt.IsNil)
			return newTestTerm(c.worker).readFormerQueues(item)
		}
		service.SetFaults(memstore.Faults{Refuse: true})
		c.removeQueue()
		service.SetFaults(memstore.Faults{})
		c.storeFormer()
		qt.Assert(t, read(), qt.HasLen, 1)
		qt.Check(t, read()[0].Service, qt.Equals, "assay")

		// A write without an answer, which was carried out late, has changed the key.
		service.Put(formerQueuesKey, []byte("{}"))
		c.moveQueue("spare")
		c.removeQueue()
		c.storeFormer()
		qt.Assert(t, read(), qt.HasLen, 1)
		qt.Check(t, read()[0].Service, qt.Equals, "spare")
		c.moveQueue("spare")
		c.storeFormer()
		qt.Check(t, read(), qt.HasLen, 0)
	})
}
