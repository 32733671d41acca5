package controller

import (
	"context"
	"time"

	"auburnstack/core/domain"
	"auburnstack/core/job"
	"auburnstack/core/timeline"
)

// takeoverAfter is the time for which a failure domain must be in state Out without a live VM before its jobs are taken
// over. It is also the time between two such takeovers from the same failure domain.
const takeoverAfter = 15 * time.Second

// takeOverJobs takes over the jobs of each failure domain that operators have set to Out and whose VMs have all been
// silent for takeoverAfter. The time counts only while the lease of this role is valid: a scheduler that was cut off
// itself, and so heard nobody, starts to count anew when its role is confirmed again.
func (c *Controller) takeOverJobs(ctx context.Context, now time.Time) {
	r := c.role
	for _, d := range c.Follower.Current().Domains() {
		silent := d.State == domain.Out && len(c.Directory.InDomain(d.Name)) == 0
		if d.Name == c.home() || !silent || r.adopting || !r.hasValidLease(now) {
			delete(r.silentSince, d.Name)
			continue
		}
		since, counting := r.silentSince[d.Name]
		switch {
		case !counting:
			r.silentSince[d.Name] = now
		case now.Sub(since) >= takeoverAfter:
			r.silentSince[d.Name] = now
			c.background.Go(func() { c.takeOverJobsOf(ctx, r, d.Name) })
		}
	}
}

// takeOverJobsOf moves jobs of a lost failure domain to this controller's failure domain, but only those for which the
// method destination returns this failure domain. Each job gets a new attempt number, so the result of an earlier
// attempt that still runs behind a network partition is refused.
func (c *Controller) takeOverJobsOf(ctx context.Context, r *role, lost domain.Name) {
	records, _, err := c.Book.Changed(r.context, 0)
	if err != nil {
		return
	}
	for _, record := range records {
		if record.FailureDomain != lost || record.State.Final() {
			continue
		}
		if target, found := c.destination(record); !found || target != c.home() {
			continue
		}
		moved, err := c.Book.Update(r.context, record.ID, r.whileLeaseValid(func(current job.Record) (job.Record, error) {
			if current.FailureDomain != lost {
				return current, errChanged
			}
			requeued, err := current.Requeue(record.Attempt, "")
			requeued.FailureDomain = c.home()
			return requeued, err
		}))
		if err == nil {
			c.Recorder.Record(timeline.JobMoved, string(record.ID), "from "+string(lost)+", which is out and silent")
			c.post(ctx, recordsRead{records: []job.Record{moved}})
		}
	}
}
