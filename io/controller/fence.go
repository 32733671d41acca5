package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/job"
)

// errLeaseNotConfirmed reports a change that was refused because another VM may already be the scheduler.
var errLeaseNotConfirmed = errors.New("another scheduler may hold the role")

type fenceState int

const (
	// unfenced means that a late write of an earlier scheduler may still change the pages of the waiting jobs.
	unfenced fenceState = iota
	// fencing means that the pages of the waiting jobs are being rewritten.
	fencing
	// fenced means that the pages of the waiting jobs were rewritten after the earlier scheduler's lease had ended.
	fenced
)

// fencePages rewrites, in the background, the pages of the jobs that are waiting after the first sweep. A late write of
// an earlier scheduler then fails, so it cannot move or cancel a job that this scheduler starts. fencePages returns
// true once the pages are rewritten.
func (c *Controller) fencePages(ctx context.Context) bool {
	r := c.role
	if r.fence == fenced {
		return true
	}
	if r.fence == fencing || r.sweepsDone == 0 {
		return false
	}
	r.fence = fencing
	r.inheritedJobs = slices.Collect(maps.Keys(r.records))
	c.background.Go(func() {
		c.post(ctx, pagesFenced{epoch: r.epoch, err: c.Book.Fence(r.context, r.inheritedJobs)})
	})
	return false
}

func (c *Controller) handlePagesFenced(e pagesFenced) {
	r := c.role
	if e.epoch != r.epoch {
		return
	}
	r.fence = fenced
	if e.err != nil {
		r.fence = unfenced
	}
}

// whileLeaseValid wraps a change so that the change is refused while the lease of the role is not valid, because
// another VM may then be the scheduler.
func (r *role) whileLeaseValid(change func(job.Record) (job.Record, error)) func(job.Record) (job.Record, error) {
	return func(record job.Record) (job.Record, error) {
		if !r.hasValidLease(time.Now()) {
			return record, errLeaseNotConfirmed
		}
		return change(record)
	}
}
