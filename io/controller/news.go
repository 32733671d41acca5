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

func (c *Controller) handleNews(ctx context.Context, e newsArrived) {
	r := c.role
	state := r.keepers[e.keeper]
	if e.epoch != r.epoch || state == nil {
		return
	}
	state.outstanding = false
	if e.err != nil {
		return
	}
	state.answered = time.Now()
	c.Clock.Observe(e.news.Clock)
	if e.news.StaleEpoch {
		c.dropRole("a keeper obeys a later scheduler")
		return
	}
	state.confirm(e.news.Assignment, time.Now())
	for _, news := range e.news.Workers {
		if news.Sequence <= state.seen {
			continue
		}
		state.seen = news.Sequence
		c.handleWorkerNews(ctx, news)
	}
}

func (c *Controller) handleWorkerNews(ctx context.Context, news peer.WorkerUpdate) {
	r := c.role
	known, listed := r.workers[news.Worker]
	if !listed {
		return
	}
	if news.Lost {
		c.handleLostWorker(ctx, news)
		return
	}
	if !r.reported[news.Worker] {
		r.reported[news.Worker] = true
		c.Recorder.Record(timeline.WorkerReturned, string(news.Worker), fmt.Sprintf("incarnation %x", news.Incarnation))
	}
	if !known.Leaving {
		r.scheduler.AddWorker(known)
	}
	for _, report := range news.Tasks {
		c.handleTask(ctx, news.Worker, report)
	}
	if news.Complete {
		c.checkMissing(ctx, news)
	}
}

// handleLostWorker gives up a silent worker and stops the gangs that had a member there.
func (c *Controller) handleLostWorker(ctx context.Context, news peer.WorkerUpdate) {
	r := c.role
	delete(r.reported, news.Worker)
	r.lapses[news.Worker] = time.Now().Add(news.LeasesEndIn)
	c.Recorder.Record(timeline.WorkerLost, string(news.Worker), "tasks end within "+news.LeasesEndIn.String())
	for _, affected := range r.runs {
		m := affected.member(news.Worker)
		if m == nil || m.ended {
			continue
		}
		m.lapses = time.Now().Add(news.LeasesEndIn)
		c.endRun(ctx, affected, "member lost")
	}
	r.scheduler.WorkerLost(news.Worker)
}

// handleTask takes in what a worker says of one task.
func (c *Controller) handleTask(ctx context.Context, worker core.Name, report endpoint.TaskReport) {
	r := c.role
	if r.adopting {
		c.inherit(worker, report)
		return
	}
	if r.held[report.Job] && r.records[report.Job].Attempt == report.Attempt {
		delete(r.held, report.Job)
		c.adoptTask(ctx, report.Task, map[core.Name]endpoint.TaskReport{worker: report}, time.Now())
		return
	}
	current, known := r.runs[report.Job]
	if !known || current.task != report.Task {
		c.handleStray(ctx, worker, report)
		return
	}
	m := current.member(worker)
	if m == nil {
		c.handleStray(ctx, worker, report)
		return
	}
	m.lapses = time.Time{}
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

// handleStray ends a task that belongs to no current attempt. The end of an attempt that is still being stored is not
// acknowledged before that.
func (c *Controller) handleStray(ctx context.Context, worker core.Name, report endpoint.TaskReport) {
	r := c.role
	if _, storing := r.ending[report.Task]; storing {
		return
	}
	if report.State.Ended() {
		c.traffic.Go(func() { c.acknowledgeTask(r, worker, report.Task) })
		return
	}
	c.traffic.Go(func() { c.stopMember(ctx, r, report.Task, worker) })
}

// checkMissing stops gangs whose member a whole report does not name. The stop itself tells whether the member is gone.
func (c *Controller) checkMissing(ctx context.Context, news peer.WorkerUpdate) {
	reported := map[endpoint.Task]bool{}
	for _, report := range news.Tasks {
		reported[report.Task] = true
	}
	for _, current := range c.role.runs {
		m := current.member(news.Worker)
		if m != nil && !m.ended && current.phase == running && !reported[current.task] {
			c.endRun(ctx, current, "member missing")
		}
	}
}
