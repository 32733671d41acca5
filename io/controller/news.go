package controller

import (
	"context"
	"fmt"
	"time"

	core "auburnstack/core/endpoint"
	"auburnstack/core/timeline"
	"auburnstack/io/endpoint"
	"auburnstack/io/peer"
)

func (c *Controller) handleKeeperReply(ctx context.Context, e keeperReplied) {
	r := c.role
	state := r.keepers[e.keeper]
	if e.epoch != r.epoch || state == nil {
		return
	}
	state.outstanding = false
	if e.err != nil {
		return
	}
	state.lastAnswer = time.Now()
	c.Clock.Observe(e.reply.Clock)
	if e.reply.StaleEpoch {
		c.dropRole("a keeper obeys a later scheduler")
		return
	}
	state.confirm(e.reply.Assignment, time.Now())
	for _, update := range e.reply.Workers {
		if update.Sequence <= state.lastSequence {
			continue
		}
		state.lastSequence = update.Sequence
		c.handleWorkerUpdate(ctx, update)
	}
}

func (c *Controller) handleWorkerUpdate(ctx context.Context, update peer.WorkerUpdate) {
	r := c.role
	known, listed := r.workers[update.Worker]
	if !listed {
		return
	}
	if update.Lost {
		c.handleLostWorker(ctx, update)
		return
	}
	if !r.reportedWorkers[update.Worker] {
		r.reportedWorkers[update.Worker] = true
		c.Recorder.Record(timeline.WorkerReturned, string(update.Worker), fmt.Sprintf("incarnation %x", update.Incarnation))
	}
	if !known.Leaving {
		r.scheduler.AddWorker(known)
	}
	for _, report := range update.Tasks {
		c.handleTask(ctx, update.Worker, report)
	}
	if update.Complete {
		c.stopGangsWithMissingMember(ctx, update)
	}
}

// handleLostWorker tells the scheduler that a worker no longer answers, and stops the gangs with a member on it.
func (c *Controller) handleLostWorker(ctx context.Context, update peer.WorkerUpdate) {
	r := c.role
	delete(r.reportedWorkers, update.Worker)
	r.lostWorkerExpiry[update.Worker] = time.Now().Add(update.LeasesEndIn)
	c.Recorder.Record(timeline.WorkerLost, string(update.Worker), "tasks end within "+update.LeasesEndIn.String())
	for _, affected := range r.runs {
		m := affected.member(update.Worker)
		if m == nil || m.ended {
			continue
		}
		m.leaseExpiry = time.Now().Add(update.LeasesEndIn)
		c.endRun(ctx, affected, "member lost")
	}
	r.scheduler.WorkerLost(update.Worker)
}

// handleTask applies a worker's report on one task. During an adoption it only stores the report.
func (c *Controller) handleTask(ctx context.Context, worker core.Name, report endpoint.TaskReport) {
	r := c.role
	if r.adopting {
		c.recordInheritedTask(worker, report)
		return
	}
	if r.heldJobs[report.Job] && r.records[report.Job].Attempt == report.Attempt {
		delete(r.heldJobs, report.Job)
		c.adoptTask(ctx, report.Task, map[core.Name]endpoint.TaskReport{worker: report}, time.Now())
		return
	}
	current, known := r.runs[report.Job]
	if !known || current.task != report.Task {
		c.handleStrayTask(ctx, worker, report)
		return
	}
	m := current.member(worker)
	if m == nil {
		c.handleStrayTask(ctx, worker, report)
		return
	}
	m.leaseExpiry = time.Time{}
	if report.State.Ended() {
		current.endMember(m, report)
	}
	switch report.State {
	case endpoint.Failed:
		c.endRun(ctx, current, "failed on "+string(worker))
	case endpoint.Stopped:
		c.endRun(ctx, current, "member stopped")
	case endpoint.Reserved, endpoint.Started, endpoint.Running, endpoint.Finished:
	}
}

// handleStrayTask handles a report on a task that belongs to no current run: it acknowledges the task if it has ended
// and stops it otherwise. It ignores the task while the end of its attempt is still being stored.
func (c *Controller) handleStrayTask(ctx context.Context, worker core.Name, report endpoint.TaskReport) {
	r := c.role
	if _, storing := r.ending[report.Task]; storing {
		return
	}
	if report.State.Ended() {
		c.background.Go(func() { c.acknowledgeTask(r, worker, report.Task) })
		return
	}
	c.background.Go(func() { c.stopMember(ctx, r, report.Task, worker) })
}

// stopGangsWithMissingMember stops the running gangs that have a member on a worker whose complete report does not name
// the member. The reply to the stop shows whether the member has ended.
func (c *Controller) stopGangsWithMissingMember(ctx context.Context, update peer.WorkerUpdate) {
	reported := map[endpoint.Task]bool{}
	for _, report := range update.Tasks {
		reported[report.Task] = true
	}
	for _, current := range c.role.runs {
		m := current.member(update.Worker)
		if m != nil && !m.ended && current.phase == running && !reported[current.task] {
			c.endRun(ctx, current, "member missing")
		}
	}
}
