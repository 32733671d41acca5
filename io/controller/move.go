package controller

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/destination"
	"auburnstack/core/domain"
	"auburnstack/core/job"
	"auburnstack/core/pool"
	"auburnstack/core/scheduler"
	"auburnstack/core/timeline"
)

// moveInterval is the least time between two moves of the same job to other failure domains.
const moveInterval = 5 * time.Second

// errChanged reports a record that was changed after the scheduler had decided on the job.
var errChanged = errors.New("the job was changed meanwhile")

// move begins to move a waiting job to another failure domain if this controller's failure domain is in state Out, or
// if destination.Improves reports that the move is worth a write to the store.
func (c *Controller) move(ctx context.Context, id job.ID, now time.Time) {
	r := c.role
	record, waiting := r.records[id]
	if !waiting || now.Sub(r.lastMove[id]) < moveInterval {
		return
	}
	target, found := c.destination(record)
	if !found || target == c.home() || !c.worthMoving(record, target) {
		return
	}
	r.lastMove[id] = now
	r.moving[id] = record
	delete(r.records, id)
	r.scheduler.Cancel(id)
	c.background.Go(func() { c.storeMove(ctx, r, record, target) })
}

// destination returns the best failure domain for a job among those of its pool.
func (c *Controller) destination(record job.Record) (domain.Name, bool) {
	p, known := c.poolOf(record)
	if !known {
		return "", false
	}
	return destination.Choose(p, record.Shape, c.Follower.Current().IsIn, c.summary)
}

// poolOf returns the pool that a job's route uses now or, if there is no such route, the one that it used when the job
// was accepted.
func (c *Controller) poolOf(record job.Record) (pool.Pool, bool) {
	current := c.Follower.Current()
	if found, routed := current.Route(record.RouteKey()); routed {
		return current.Pool(found.Pool)
	}
	return current.Pool(record.Pool)
}

func (c *Controller) summary(name domain.Name) (scheduler.Summary, bool) {
	known, ok := c.Directory.Summary(name)
	return known.Summary, ok
}

func (c *Controller) worthMoving(record job.Record, target domain.Name) bool {
	p, known := c.poolOf(record)
	if !c.Follower.Current().IsIn(c.home()) || known && !slices.Contains(p.FailureDomains, c.home()) {
		return true
	}
	from := c.role.scheduler.Summary()
	to, summarized := c.summary(target)
	return summarized && destination.Improves(record.Shape, from, to)
}

// storeMove stores the new failure domain in the job's record, unless the record has changed since it was read.
func (c *Controller) storeMove(ctx context.Context, r *role, record job.Record, target domain.Name) {
	moved, err := c.updateUntilStored(r, record.ID, func(current job.Record) (job.Record, error) {
		if current.Version != record.Version {
			return current, errChanged
		}
		current.FailureDomain = target
		return current, nil
	})
	if err == nil {
		c.Recorder.Record(timeline.JobMoved, string(record.ID), "to "+string(target))
		c.Notify(r.context, target, []job.ID{record.ID})
	}
	c.post(ctx, jobMoved{epoch: r.epoch, id: record.ID, record: moved, err: err})
}

// handleJobMoved applies the record as it is after the move, or as it was found when the move was refused. It then
// applies the newest record that was read while the move was being stored.
func (c *Controller) handleJobMoved(e jobMoved) {
	r := c.role
	if e.epoch != r.epoch {
		return
	}
	newest := r.moving[e.id]
	delete(r.moving, e.id)
	if e.err != nil {
		// The move took the job out of the queue. The record is applied to queue it again, even if its version was seen
		// before.
		delete(r.seenVersions, e.id)
	}
	c.applyRecord(e.record)
	c.applyRecord(newest)
}
