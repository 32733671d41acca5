package controller

import (
	"context"
	"fmt"
	"maps"
	"time"

	"auburnstack/core/timeline"
)

// queueOrHold queues the jobs of which no task was reported. While a worker is silent, those that it may run wait until
// its leases have lapsed, so that no job runs twice; jobs that came later need not wait.
func (c *Controller) queueOrHold(ctx context.Context, now time.Time) {
	r := c.role
	if len(r.reportedWorkers) < len(r.workers) && now.Before(r.adoptionEnds) {
		for _, id := range r.inheritedJobs {
			if _, waits := r.records[id]; waits {
				r.heldJobs[id] = true
			}
		}
		c.Recorder.Record(timeline.JobsHeld, string(c.home()), heldDetail(len(r.heldJobs), len(r.workers)-len(r.reportedWorkers)))
	}
	for id, record := range maps.Clone(r.records) {
		if !r.heldJobs[id] {
			c.queueInherited(ctx, record)
		}
	}
}

func heldDetail(jobs, workers int) string {
	return fmt.Sprintf("%d jobs until %d silent workers' leases have lapsed", jobs, workers)
}

// releaseHeld queues the jobs that were held for silent workers once nothing can run there any more.
func (c *Controller) releaseHeld(ctx context.Context, now time.Time) {
	r := c.role
	if len(r.heldJobs) == 0 || now.Before(r.adoptionEnds) {
		return
	}
	for id := range r.heldJobs {
		delete(r.heldJobs, id)
		c.endInherited(ctx, r.records[id])
	}
}
