package controller

import (
	"context"
	"time"

	core "auburnstack/core/endpoint"
	"auburnstack/core/job"
	"auburnstack/core/scheduler"
	"auburnstack/core/timeline"
	"auburnstack/io/endpoint"
)

// recordInheritedTask stores a report on a task that an earlier scheduler may have started.
func (c *Controller) recordInheritedTask(worker core.Name, report endpoint.TaskReport) {
	r := c.role
	if r.inheritedTasks[report.Task] == nil {
		r.inheritedTasks[report.Task] = map[core.Name]endpoint.TaskReport{}
	}
	r.inheritedTasks[report.Task][worker] = report
}

// checkAdoption ends the adoption, the takeover of an earlier scheduler's tasks, once the job pages have been rewritten
// (see fencePages), every worker has reported or counts as silent, and a later sweep (see sweepInterval) has read the
// job records. Job records that were read earlier are not enough: an earlier scheduler can start a job as long as one
// worker has not seen the higher epoch, because that worker still accepts the earlier epoch.
func (c *Controller) checkAdoption(ctx context.Context, now time.Time) {
	r := c.role
	if !r.adopting {
		return
	}
	fenced := c.fencePages(ctx)
	if !c.allWorkersReportedOrSilent(now) || !fenced {
		return
	}
	if r.adoptAfterSweep == 0 {
		r.adoptAfterSweep = r.sweepsBegun + 1
	}
	if r.sweepsDone < r.adoptAfterSweep {
		return
	}
	r.adopting = false
	for task, reports := range r.inheritedTasks {
		c.adoptTask(ctx, task, reports, now)
	}
	r.inheritedTasks = nil
	c.queueOrHold(ctx, now)
}

// allWorkersReportedOrSilent reports whether every worker has reported or counts as silent. A worker without a report
// counts as silent when its keeper confirmed the assignment at least silentAfter ago, or when adoptionEnds has passed.
// Without workers or keepers the function returns true only from adoptionEnds on.
func (c *Controller) allWorkersReportedOrSilent(now time.Time) bool {
	r := c.role
	if len(r.workers) == 0 || len(r.keepers) == 0 {
		return !now.Before(r.adoptionEnds)
	}
	for _, state := range r.keepers {
		silent := state.confirmed == state.assignment && now.Sub(state.confirmedAt) >= silentAfter
		for _, name := range state.workers {
			if !r.reportedWorkers[name] && !silent && now.Before(r.adoptionEnds) {
				return false
			}
		}
	}
	return true
}

// adoptTask handles a task that an earlier scheduler started. If the task is the current attempt of a job in the map
// role.records, adoptTask takes over the gang, and stops the gang if it is incomplete. Otherwise the task is handled as
// a stray task.
func (c *Controller) adoptTask(
	ctx context.Context, task endpoint.Task, reports map[core.Name]endpoint.TaskReport, now time.Time,
) {
	r := c.role
	record, known := r.records[task.Job]
	if !known || record.Attempt != task.Attempt {
		for worker, report := range reports {
			c.handleStrayTask(ctx, worker, report)
		}
		return
	}
	adopted := inheritedRun(record, reports)
	delete(r.records, task.Job)
	r.runs[task.Job] = adopted
	r.scheduler.Adopt(scheduler.FromRecord(record), adopted.term, adopted.workers(), now)
	complete := c.restoreMembers(adopted, reports)
	c.Recorder.Record(timeline.JobAdopted, string(task.Job), startDetail(adopted))
	if !complete {
		c.endRun(ctx, adopted, "gang incomplete")
	}
}

// silentWorkerExpiry returns the time after which no task of an earlier scheduler can run on a worker that was silent
// when the adoption ended.
func (r *role) silentWorkerExpiry(worker core.Name) time.Time {
	if expiry := r.lostWorkerExpiry[worker]; expiry.After(r.adoptionEnds) {
		return expiry
	}
	return r.adoptionEnds
}

// inheritedRun restores a run from the job's record and from any one of the members' reports.
func inheritedRun(record job.Record, reports map[core.Name]endpoint.TaskReport) *run {
	var sample endpoint.TaskReport
	for _, report := range reports {
		sample = report
	}
	adopted := newRun(record, scheduler.Term(sample.Term), sample.Accelerators, sample.Members)
	adopted.phase = running
	return adopted
}

// restoreMembers sets the members' states from the reports, and reports whether every member runs or has finished.
// A member on a silent worker ends when its lease expires (see silentWorkerExpiry). A member that the report of its
// worker does not name has ended.
func (c *Controller) restoreMembers(adopted *run, reports map[core.Name]endpoint.TaskReport) bool {
	complete := true
	for _, m := range adopted.members {
		report, reported := reports[m.worker]
		switch {
		case reported && report.State == endpoint.Finished:
			adopted.endMember(m, report)
		case !c.role.reportedWorkers[m.worker]:
			m.leaseExpiry = c.role.silentWorkerExpiry(m.worker)
			complete = false
		case reported && report.State == endpoint.Running:
		default:
			m.ended = !reported
			if report.State.Ended() {
				adopted.endMember(m, report)
			}
			complete = false
		}
	}
	return complete
}

// queueInherited queues a job for which no worker reported a task. If the record says that the job runs, queueInherited
// first stores the end of that attempt.
func (c *Controller) queueInherited(ctx context.Context, record job.Record) {
	r := c.role
	if record.State == job.Running {
		c.endInherited(ctx, record)
		return
	}
	// The record was read during the adoption, but the job was not queued. Deleting these two entries makes applyRecord
	// queue the job.
	delete(r.records, record.ID)
	delete(r.seenVersions, record.ID)
	c.applyRecord(record)
}

// endInherited stores the end of an attempt that an earlier scheduler may have started and of which no task runs any
// more. The next start of the job then has an attempt number of its own.
func (c *Controller) endInherited(ctx context.Context, record job.Record) {
	r := c.role
	ended := newRun(record, scheduler.Borrowed, record.Shape.Accelerators, nil)
	delete(r.records, record.ID)
	r.endedAttempts[record.ID] = record.Attempt
	r.ending[ended.task] = ended
	c.background.Go(func() { c.storeEnd(ctx, r, ended) })
}
