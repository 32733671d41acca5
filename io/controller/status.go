package controller

import (
	"time"

	"auburnstack/core/scheduler"
	"auburnstack/core/vm"
	"auburnstack/io/endpoint"
	"auburnstack/io/peer"
)

// Status is what operators see of a scheduler. It does not change after it was published.
type Status struct {
	Scheduler vm.Name
	Epoch     endpoint.Epoch
	Summary   scheduler.Summary
	Pools     []scheduler.PoolUse
	// Frozen is set while nothing may start.
	Frozen   bool
	Adopting bool
	// Unrecorded counts attempts that have ended and whose end the store has not taken yet.
	Unrecorded int
}

// statusInterval is the least time between two published views.
const statusInterval = 200 * time.Millisecond

// Status returns the last published view; it is empty while this VM is not the scheduler.
func (c *Controller) Status() Status {
	return *c.status.Load()
}

func (c *Controller) publish(now time.Time) {
	r := c.role
	if now.Sub(r.published) < statusInterval {
		return
	}
	r.published = now
	status := &Status{
		Scheduler: c.self.Name, Epoch: r.epoch, Summary: r.scheduler.Summary(), Pools: r.scheduler.PoolUses(),
		Frozen: r.frozen, Adopting: r.adopting, Unrecorded: len(r.ending),
	}
	c.status.Store(status)
	if r.adopting {
		return
	}
	c.Directory.MergeSummary(peer.Summary{
		Summary: status.Summary, Scheduler: c.self.Name, Version: uint64(now.UnixMilli()),
	})
}
