package controller

import (
	"context"
	"time"

	"auburnstack/core/domain"
	"auburnstack/core/job"
	"auburnstack/core/scheduler"
	"auburnstack/core/timeline"
	"auburnstack/io/peer"
)

// sweep reads the job pages that have changed since the last sweep. It finds changes whose notices were lost.
func (c *Controller) sweep(ctx context.Context, now time.Time) {
	r := c.role
	due := r.sweepsDone == 0 || r.sweepsDone < r.adoptAfterSweep || now.Sub(r.lastSweep) >= sweepInterval
	if r.sweeping || !due {
		return
	}
	r.sweeping = true
	r.sweepsBegun++
	r.lastSweep = now
	since := r.sweepRevision
	c.background.Go(func() {
		records, revision, err := c.Book.Changed(r.context, since)
		c.post(ctx, recordsRead{epoch: r.epoch, records: records, revision: revision, fromSweep: true, err: err})
	})
}

// readRecords reads the records of jobs that a notice named. It skips a record that cannot be read; a later sweep reads
// it if it has changed.
func (c *Controller) readRecords(ctx context.Context, ids []job.ID) {
	var records []job.Record
	for _, id := range ids {
		record, err := c.Book.Get(ctx, id)
		if err == nil {
			records = append(records, record)
		}
	}
	c.post(ctx, recordsRead{records: records})
}

func (c *Controller) handleRecords(e recordsRead) {
	r := c.role
	if e.fromSweep {
		if e.epoch != r.epoch {
			return
		}
		r.sweeping = false
		c.recordSweepResult(e.err)
		if e.err != nil {
			return
		}
		r.sweepsDone = r.sweepsBegun
		r.sweepRevision = e.revision
	}
	for _, record := range e.records {
		c.applyRecord(record)
	}
}

// recordSweepResult records that sweeps have begun to fail, or that they succeed again. While they fail, a job whose
// notice was lost is not found.
func (c *Controller) recordSweepResult(err error) {
	failing := err != nil
	if failing == c.role.sweepsFail {
		return
	}
	c.role.sweepsFail = failing
	if failing {
		c.Recorder.Record(timeline.SweepsFail, string(c.home()), err.Error())
		return
	}
	c.Recorder.Record(timeline.SweepsResumed, string(c.home()), "")
}

// applyRecord updates the scheduler from a record that was read from the store: it queues, cancels or removes the job,
// or stops its run if the record no longer allows that run. It ignores a record that is not newer than the last one
// applied for the job.
func (c *Controller) applyRecord(record job.Record) {
	r := c.role
	if record.Version <= r.seenVersions[record.ID] || r.deferIfMoving(record) {
		return
	}
	r.seenVersions[record.ID] = record.Version
	current, isActive := r.runs[record.ID]
	notRunnable := record.FailureDomain != c.home() || record.State.Final()
	if isActive && (notRunnable || record.Attempt > current.task.Attempt) {
		c.endRun(r.context, current, "superseded")
	}
	endedAttempt, ran := r.endedAttempts[record.ID]
	switch {
	case notRunnable:
		c.dropWaiting(record.ID)
	case ran && record.Attempt <= endedAttempt:
	case isActive:
		if record.CancelRequested && current.task.Attempt == record.Attempt {
			r.scheduler.Cancel(record.ID)
		}
	default:
		c.queueOrCancel(record)
	}
}

// deferIfMoving reports whether a move of the job is being stored. If so, it keeps the newest record, which
// handleJobMoved applies when the move has ended.
func (r *role) deferIfMoving(record job.Record) bool {
	newest, moves := r.moving[record.ID]
	if moves && record.Version > newest.Version {
		r.moving[record.ID] = record
	}
	return moves
}

// queueOrCancel queues a waiting job, or cancels the job if its caller has asked for the cancellation. During an
// adoption, and while the job is held, it only stores the record.
func (c *Controller) queueOrCancel(record job.Record) {
	r := c.role
	mayStillRun := r.adopting || r.heldJobs[record.ID]
	if record.CancelRequested && !mayStillRun {
		c.dropWaiting(record.ID)
		c.background.Go(func() { c.storeCancel(r, record) })
		return
	}
	r.records[record.ID] = record
	if !mayStillRun {
		r.scheduler.Submit(scheduler.FromRecord(record))
	}
}

func (c *Controller) dropWaiting(id job.ID) {
	if _, waiting := c.role.records[id]; waiting {
		delete(c.role.records, id)
		delete(c.role.heldJobs, id)
		c.role.scheduler.Cancel(id)
	}
}

// storeCancel stores that a waiting job was canceled. It repeats the write until the store confirms it.
func (c *Controller) storeCancel(r *role, record job.Record) {
	stored, err := c.updateUntilStored(r, record.ID, func(current job.Record) (job.Record, error) {
		return current.Cancel(time.Now())
	})
	if err == nil {
		c.recordEnd(stored)
	}
}

// Notify tells the scheduler of a failure domain that job records have changed. The notice may be lost.
func (c *Controller) Notify(ctx context.Context, target domain.Name, ids []job.ID) {
	if target == c.home() && c.HoldsRole() {
		c.JobsChanged(ctx, ids)
		return
	}
	summary, known := c.Directory.Summary(target)
	if !known {
		return
	}
	found, live := c.Directory.Find(summary.Scheduler)
	if !live {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_ = c.Dialer.Peer(found).NotifyJobs(ctx, peer.JobsNotice{
		FailureDomain: target, Jobs: ids, Clock: c.Clock.Now(time.Now()),
	})
}
