package controller

import (
	"context"
	"fmt"
	"maps"
	"time"

	"auburnstack/core/timeline"
)

// queueOrHold queues the waiting jobs when the adoption ends. If a worker is silent and may still run tasks,
// queueOrHold holds the inherited jobs, that is, queues them only after the leases on that worker have expired, so that
// no job runs twice. Jobs that were submitted later cannot run on that worker and are queued at once.
func (c *Controller) queueOrHold(ctx context.Context, now time.Time) {
	r := c.role
	if len(r.reportedWorkers) < len(r.workers) && now.Before(r.adoptionEnds) {
		for _, id := range r.inheritedJobs {
			if _, waits := r.records[id]; waits {
				r.heldJobs[id] = true
			}
		}
		c.Recorder.Record(timeline.JobsHeld, string(c.home()),
			heldDetail(len(r.heldJobs), len(r.workers)-len(r.reportedWorkers)))
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

// releaseHeld ends the attempts of the held jobs, which queues these jobs again. It has no effect before adoptionEnds.
// After this time no task that an earlier scheduler started can still run on a silent worker, which is a worker that
// has not reported to this scheduler.
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
