package controller

import (
	"time"

	"auburnstack/core/scheduler"
	"auburnstack/core/vm"
	"auburnstack/io/endpoint"
	"auburnstack/io/peer"
)

// Status is the state of a scheduler as operators see it. A published value is not modified.
type Status struct {
	Scheduler vm.Name
	Epoch     endpoint.Epoch
	Summary   scheduler.Summary
	Pools     []scheduler.PoolUse
	// Frozen is set while no task may be started.
	Frozen bool
	// Adopting is set while the scheduler takes over the tasks of an earlier one and starts none.
	Adopting bool
	// Unrecorded is the number of attempts that have ended but whose end is not stored yet.
	Unrecorded int
}

// statusInterval is the least time between two publications of the status.
const statusInterval = 200 * time.Millisecond

// Status returns the last published status. It is empty while this VM is not the scheduler.
func (c *Controller) Status() Status {
	return *c.status.Load()
}

func (c *Controller) publish(now time.Time) {
	r := c.role
	if now.Sub(r.lastPublished) < statusInterval {
		return
	}
	r.lastPublished = now
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
