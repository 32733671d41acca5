package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/job"
)

// errLeaseNotConfirmed reports a change to a record by a scheduler that another may have replaced.
var errLeaseNotConfirmed = errors.New("another scheduler may hold the role")

type fenceState int

const (
	// unfenced pages may still be changed by a write of an earlier scheduler.
	unfenced fenceState = iota
	// fencing pages are being rewritten.
	fencing
	// fenced pages were rewritten after the earlier scheduler's lease had ended.
	fenced
)

// fencePages rewrites the pages of the jobs that an earlier scheduler knew as waiting, so that none of its writes can
// still move or cancel a job that this one starts. It returns true once that is done.
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

// whileLeaseValid makes a change only while no other VM can be the scheduler.
func (r *role) whileLeaseValid(change func(job.Record) (job.Record, error)) func(job.Record) (job.Record, error) {
	return func(record job.Record) (job.Record, error) {
		if !r.hasValidLease(time.Now()) {
			return record, errLeaseNotConfirmed
		}
		return change(record)
	}
}
