package controller

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/pkg/errors"

	core "auburnstack/core/endpoint"
	"auburnstack/core/job"
	"auburnstack/core/timeline"
	"auburnstack/io/endpoint"
	"auburnstack/io/page"
)

const (
	// maxFailures is the number of different workers on which a job must fail before it ends as failed.
	maxFailures = 3
	// retryPause is the time between two attempts to stop a member or to store a change to a record.
	retryPause = 300 * time.Millisecond
	// startPause is the pause before a job is queued again after its first failed start. The pause grows with the
	// attempt number up to maxStartPause.
	startPause    = 250 * time.Millisecond
	maxStartPause = 5 * time.Second
)

func startDetail(r *run) string {
	return fmt.Sprintf("attempt %d, %s, on %v", r.task.Attempt, r.term, r.workers())
}

func beginChange(r *run) func(job.Record) (job.Record, error) {
	return func(record job.Record) (job.Record, error) { return record.Begin(r.task.Attempt) }
}

// stopRun carries out the scheduler's decision to stop a gang.
func (c *Controller) stopRun(ctx context.Context, id job.ID, reason string) {
	if started, known := c.role.runs[id]; known {
		c.endRun(ctx, started, reason)
	}
}

// endRun begins to stop a gang: it stops every member that has not ended. It does nothing if the gang is being stopped
// already.
func (c *Controller) endRun(ctx context.Context, stopped *run, reason string) {
	if stopped.phase == stopping {
		return
	}
	stopped.phase = stopping
	stopped.reason = reason
	c.Recorder.Record(timeline.JobStopping, string(stopped.task.Job), reason)
	if stopped.cancelStart != nil {
		// handleLaunchEnded stops the members once the start has ended, so that no message of the start reaches a worker
		// after the stop.
		stopped.cancelStart()
		return
	}
	c.stopMembers(ctx, stopped)
}

func (c *Controller) stopMembers(ctx context.Context, stopped *run) {
	r := c.role
	for _, m := range stopped.members {
		if !m.ended {
			c.background.Go(func() { c.stopMember(ctx, r, stopped.task, m.worker) })
		}
	}
}

// stopMember sends the stop message until the worker confirms it or refuses this scheduler's epoch, or until the role
// ends. A task on a silent worker ends when its lease expires, which endExpiredMembers checks.
func (c *Controller) stopMember(ctx context.Context, r *role, task endpoint.Task, name core.Name) {
	for r.context.Err() == nil {
		worker, known := c.Workers.WorkerByName(name)
		if known {
			report, err := worker.Stop(r.context, endpoint.Stop{Epoch: r.epoch, Task: task, Checkpoint: true})
			if err == nil {
				report.Task = task
				c.post(ctx, memberStopped{epoch: r.epoch, worker: name, report: report})
				return
			}
			if errors.Is(err, endpoint.ErrStaleEpoch) {
				c.post(ctx, roleLost{reason: "a worker obeys a later scheduler"})
				return
			}
		}
		select {
		case <-time.After(retryPause):
		case <-r.context.Done():
		}
	}
}

func (c *Controller) handleMemberStopped(e memberStopped) {
	stopped, known := c.role.runs[e.report.Job]
	if e.epoch != c.role.epoch || !known || stopped.task != e.report.Task {
		return
	}
	if m := stopped.member(e.worker); m != nil {
		stopped.endMember(m, e.report)
	}
}

// endExpiredMembers marks a member on a silent worker as ended once the member's lease has expired.
func (c *Controller) endExpiredMembers(now time.Time) {
	for _, r := range c.role.runs {
		for _, m := range r.members {
			if !m.leaseExpiry.IsZero() && now.After(m.leaseExpiry) {
				m.ended = true
			}
		}
	}
}

// storeEndedRuns releases the accelerators of the gangs whose members have all ended, and stores the ends of their
// attempts.
func (c *Controller) storeEndedRuns(ctx context.Context) {
	r := c.role
	for id, ended := range r.runs {
		if !ended.allEnded() {
			continue
		}
		delete(r.runs, id)
		r.scheduler.Ended(id)
		r.endedAttempts[id] = ended.task.Attempt
		r.ending[ended.task] = ended
		c.reportWorkerResults(ended, time.Now())
		c.background.Go(func() { c.storeEnd(ctx, r, ended) })
	}
}

// reportWorkerResults tells the scheduler on which workers the members finished and on which worker one failed.
func (c *Controller) reportWorkerResults(ended *run, now time.Time) {
	for _, m := range ended.members {
		if m.finished {
			c.role.scheduler.WorkerSucceeded(m.worker)
			continue
		}
		if m.worker == ended.failedOn &&
			c.role.scheduler.WorkerFailed(m.worker, ended.task.Job, now) {
			c.Recorder.Record(timeline.WorkerQuarantined, string(m.worker), "failed several jobs")
		}
	}
}

// storeEnd stores the end of an attempt. The workers keep the results until handleEndRecorded acknowledges the end.
func (c *Controller) storeEnd(ctx context.Context, r *role, ended *run) {
	record, err := c.updateUntilStored(r, ended.task.Job, endChange(ended, time.Now()))
	if r.context.Err() == nil {
		c.post(ctx, endRecorded{epoch: r.epoch, task: ended.task, record: record, err: err})
	}
}

// updateUntilStored repeats a change to a record until the store confirms it, the function change returns an error, or
// the role ends. While the lease of the role is not valid, updateUntilStored only waits, because a successor may rely
// on the record as it is. If a write took effect and only its reply was lost, the repeated change must find its own
// effect in the record and return an error.
func (c *Controller) updateUntilStored(
	r *role, id job.ID, change func(job.Record) (job.Record, error),
) (job.Record, error) {
	for {
		record, err := c.Book.Update(r.context, id, r.whileLeaseValid(change))
		retry := errors.Is(err, page.ErrUnknownEffect) || errors.Is(err, errLeaseNotConfirmed)
		if !retry || r.context.Err() != nil {
			return record, err
		}
		select {
		case <-time.After(retryPause):
		case <-r.context.Done():
		}
	}
}

// endChange returns the change that the end of an attempt makes to the job's record: the job finishes, fails, is
// canceled or is queued again.
func endChange(ended *run, now time.Time) func(job.Record) (job.Record, error) {
	return func(record job.Record) (job.Record, error) {
		if ended.allFinished() {
			return record.Finish(ended.task.Attempt, ended.members[0].result, now)
		}
		requeued, err := record.Requeue(ended.task.Attempt, ended.failedOn)
		switch {
		case err != nil:
			return record, err
		case requeued.CancelRequested:
			return requeued.Cancel(now)
		case len(requeued.FailedOn) >= maxFailures:
			return requeued.Fail("failed on several workers", now)
		default:
			return requeued, nil
		}
	}
}

func (c *Controller) handleEndRecorded(ctx context.Context, e endRecorded) {
	r := c.role
	ended, known := r.ending[e.task]
	if e.epoch != r.epoch || !known {
		return
	}
	delete(r.ending, e.task)
	c.background.Go(func() { c.acknowledge(r, ended) })
	if e.err != nil {
		// The record was changed and no longer has this attempt as its current one. The job may wait in this failure
		// domain for its next attempt, so the record is applied even if a record with its version was applied before.
		delete(r.seenVersions, ended.task.Job)
		c.applyRecord(e.record)
		return
	}
	c.recordEnd(e.record)
	if ended.startFailed {
		c.applyRecordAfterPause(ctx, r, e.record)
		return
	}
	c.applyRecord(e.record)
}

// applyRecordAfterPause queues a job again after a pause that grows with its attempt number. The pause limits the rate
// of writes to the store while each start of the job fails at once.
func (c *Controller) applyRecordAfterPause(ctx context.Context, r *role, record job.Record) {
	pause := min(time.Duration(record.Attempt)*startPause, maxStartPause)
	c.background.Go(func() {
		select {
		case <-time.After(pause):
			c.post(ctx, recordsRead{epoch: r.epoch, records: []job.Record{record}})
		case <-r.context.Done():
		}
	})
}

func (c *Controller) recordEnd(record job.Record) {
	kind := timeline.JobRequeued
	switch record.State {
	case job.Finished:
		kind = timeline.JobFinished
	case job.Failed:
		kind = timeline.JobFailed
	case job.Canceled:
		kind = timeline.JobCanceled
	case job.Accepted, job.Running:
	}
	c.Recorder.Record(kind, string(record.ID), record.Reason)
}

// acknowledge lets the workers forget an attempt whose end is stored. If the message is lost, the worker gets
// another acknowledgment when it reports the task again, for example to a later scheduler.
func (c *Controller) acknowledge(r *role, ended *run) {
	for _, m := range ended.members {
		c.acknowledgeTask(r, m.worker, ended.task)
	}
}

func (c *Controller) acknowledgeTask(r *role, name core.Name, task endpoint.Task) {
	worker, known := c.Workers.WorkerByName(name)
	if !known {
		return
	}
	_, _ = worker.Exchange(r.context, endpoint.Exchange{
		Epoch: r.epoch, Acknowledge: []endpoint.Task{task}, Since: math.MaxUint64,
	})
}
