package controller

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	core "auburnstack/core/endpoint"
	"auburnstack/core/scheduler"
	"auburnstack/core/timeline"
	"auburnstack/io/endpoint"
)

const (
	// startLease is the duration of the lease of a reserved or started gang member. A member that is not confirmed
	// within this time ends.
	startLease = 3 * time.Second
	// launchTimeout is the timeout of the whole start of a gang. It is shorter than startLease.
	launchTimeout = 2500 * time.Millisecond
	// parallelMembers is the maximum number of concurrent calls to the members of one gang.
	parallelMembers = 64
)

// errFrozen reports a start that was given up because tasks may no longer be started.
var errFrozen = errors.New("starts are not allowed")

// memberError is an error of one gang member during the start of the gang.
type memberError struct {
	worker core.Name
	cause  error
}

// Error returns the worker and the cause.
func (e *memberError) Error() string {
	return string(e.worker) + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *memberError) Unwrap() error {
	return e.cause
}

// launch starts a gang on the workers that the scheduler has chosen. The start goes on in the background and ends with
// a launchEnded event.
func (c *Controller) launch(ctx context.Context, action scheduler.Launch) {
	r := c.role
	record, known := r.records[action.ID]
	if !known {
		r.scheduler.Ended(action.ID)
		return
	}
	delete(r.records, action.ID)
	started := newRun(record, action.Term, action.Accelerators, action.Workers)
	r.runs[action.ID] = started
	epoch := r.epoch
	startContext, cancel := context.WithCancel(r.context)
	started.cancelStart = cancel
	c.background.Go(func() {
		defer cancel()
		err := c.startGang(startContext, epoch, started)
		c.post(ctx, launchEnded{epoch: epoch, task: started.task, err: err})
	})
}

// startGang reserves all members, then starts all, then confirms all. Each step begins only after the step before has
// succeeded on every worker. A member that is not confirmed waits at its barrier and ends when its start lease expires.
func (c *Controller) startGang(ctx context.Context, epoch endpoint.Epoch, started *run) error {
	ctx, cancel := context.WithTimeout(ctx, launchTimeout)
	defer cancel()
	steps := []func(context.Context, endpoint.Worker) error{
		func(ctx context.Context, w endpoint.Worker) error {
			return w.Reserve(ctx, endpoint.Reserve{
				Epoch: epoch, Task: started.task, Accelerators: started.accelerators, Lease: startLease,
				Members: started.workers(), Term: string(started.term),
			})
		},
		func(ctx context.Context, w endpoint.Worker) error {
			return w.Start(ctx, endpoint.Start{
				Epoch: epoch, Task: started.task, Kind: started.record.Kind,
				Payload: started.record.Payload, Lease: startLease,
			})
		},
		func(ctx context.Context, w endpoint.Worker) error {
			_, err := w.Exchange(ctx, endpoint.Exchange{
				Epoch: epoch, Confirm: []endpoint.Task{started.task}, Since: math.MaxUint64,
			})
			return err
		},
	}
	for _, step := range steps {
		if !c.startPermission.Load().Valid(time.Now()) {
			return errFrozen
		}
		if err := c.forEachMember(ctx, started, step); err != nil {
			return err
		}
	}
	return nil
}

// forEachMember runs one step of the start on all members, at most parallelMembers at a time. On the first error it
// cancels the step on the other members and returns that error.
func (c *Controller) forEachMember(
	ctx context.Context, started *run, step func(context.Context, endpoint.Worker) error,
) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelMembers)
	for _, m := range started.members {
		group.Go(func() error {
			worker, known := c.Workers.WorkerByName(m.worker)
			if !known {
				return &memberError{worker: m.worker, cause: endpoint.ErrLost}
			}
			if err := step(ctx, worker); err != nil {
				return &memberError{worker: m.worker, cause: err}
			}
			return nil
		})
	}
	return group.Wait()
}

func (c *Controller) handleLaunchEnded(ctx context.Context, e launchEnded) {
	r := c.role
	started, known := r.runs[e.task.Job]
	if e.epoch != r.epoch || !known || started.task != e.task {
		return
	}
	if errors.Is(e.err, endpoint.ErrStaleEpoch) {
		c.dropRole("a worker obeys a later scheduler")
		return
	}
	started.cancelStart = nil
	if started.phase == stopping {
		c.stopMembers(ctx, started)
		return
	}
	if e.err != nil {
		c.Recorder.Record(timeline.JobStartFailed, string(e.task.Job), e.err.Error())
		started.startFailed = true
		c.endRun(ctx, started, "start failed")
		return
	}
	started.phase = running
	c.Recorder.Record(timeline.JobStarted, string(e.task.Job), startDetail(started))
	c.background.Go(func() { c.storeStart(r.context, started) })
}

// storeStart stores the start in the job's record, where callers see it. Nothing else depends on it, so errors are
// ignored.
func (c *Controller) storeStart(ctx context.Context, started *run) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = c.Book.Update(ctx, started.task.Job, beginChange(started))
}
