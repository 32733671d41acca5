package controller

import (
	"context"
	"sync/atomic"
	"time"

	"auburnstack/core/domain"
	core "auburnstack/core/endpoint"
	"auburnstack/core/job"
	"auburnstack/core/lease"
	"auburnstack/core/scheduler"
	"auburnstack/core/timeline"
	"auburnstack/core/vm"
	"auburnstack/io/endpoint"
	"auburnstack/io/keeper"
	"auburnstack/io/platform"
)

// adoptionLimit is the time, counted from the moment at which this VM becomes the scheduler, after which a task that an
// earlier scheduler started can run only if a worker has reported the task. By then the last orders to the earlier
// scheduler's keepers and the leases of the tasks have expired.
const adoptionLimit = keeper.OrderLease + keeper.TaskLease + keeper.ExpiryMargin

// silentAfter is the time after which a worker without a report counts as silent, measured from its keeper's
// confirmation of the assignment. The adoption then goes on without the worker, and stops gangs with a member on it.
const silentAfter = 1200 * time.Millisecond

// role is the control state of the scheduler under one epoch.
type role struct {
	epoch     endpoint.Epoch
	scheduler *scheduler.Scheduler
	// lease lasts from the store's last confirmation of the role until another VM can acquire it. A change to a record
	// checks the lease after it has read the record. If the write then reaches the store late, it fails, because a
	// successor first rewrites the pages of the jobs that it may start (see fencePages).
	lease atomic.Pointer[lease.Lease]
	// context is canceled when this VM loses or gives up the role.
	context context.Context
	cancel  context.CancelFunc
	// frozen is set while no task may be started.
	frozen bool
	// lastPublished is the time at which the status was last published.
	lastPublished time.Time

	// adopting is set until every worker has reported or counts as silent and a later sweep has read the job records.
	adopting bool
	// adoptionEnds is the time after which no task of an earlier scheduler can run on a worker that has not reported.
	adoptionEnds time.Time
	// inheritedJobs holds the jobs that an earlier scheduler may have started. After the first sweep, fencePages copies
	// the IDs of all jobs in the field records to this field, right before it starts to rewrite their pages.
	inheritedJobs []job.ID
	// heldJobs holds the jobs that a silent worker may still run for an earlier scheduler. They stay in the field
	// records and are not queued before adoptionEnds.
	heldJobs map[job.ID]bool
	// reportedWorkers holds the workers of the failure domain that have reported under this role and are not lost.
	reportedWorkers map[core.Name]bool
	// lostWorkerExpiry holds, for each worker that was lost, the time after which no task can run on that worker. It is
	// used when a gang is adopted.
	lostWorkerExpiry map[core.Name]time.Time
	// inheritedTasks holds, by task and worker, the reports on tasks that an earlier scheduler may have started.
	inheritedTasks map[endpoint.Task]map[core.Name]endpoint.TaskReport

	workers map[core.Name]core.Endpoint
	keepers map[vm.Name]*keeperState

	// runs holds, by job, the gangs that hold accelerators.
	runs map[job.ID]*run
	// ending holds the attempts that have ended but whose end is not stored yet.
	ending map[endpoint.Task]*run
	// records holds the waiting jobs of this failure domain.
	records map[job.ID]job.Record
	// endedAttempts holds, for each job that has run in this failure domain, its highest attempt number that has ended.
	// Records with this attempt number or a lower one are outdated.
	endedAttempts map[job.ID]job.Attempt
	// seenVersions holds, for each job, the highest version of its record that was applied. Records that arrive later
	// with the same version or a lower one are ignored.
	seenVersions map[job.ID]uint64
	// moving holds the jobs whose move to another failure domain is being stored. The value is the job's record from
	// which the move began, or the newest one read since. Such a job is neither queued nor started here.
	moving map[job.ID]job.Record
	// lastMove holds the time at which the scheduler last decided to move each job to another failure domain.
	lastMove map[job.ID]time.Time

	// silentSince holds, for each failure domain in state Out without a live VM, the time at which this scheduler first
	// found no live VM there or last began to take over the domain's jobs. Time during which the lease of this role is
	// not valid does not count.
	silentSince map[domain.Name]time.Time

	// sweepsBegun is the number of sweeps of the job pages that have begun.
	// sweepsDone is the ordinal number of the last sweep that succeeded.
	// adoptAfterSweep is the ordinal number of the sweep for which the adoption waits: the first sweep that begins
	// after the last worker has reported.
	sweepsBegun     int
	sweepsDone      int
	adoptAfterSweep int

	// fence is the progress of the rewrite of the waiting jobs' pages under this role.
	fence fenceState

	// sweeping is set while a sweep runs.
	// sweepsFail is set while the last sweep has failed.
	// lastSweep is the time at which the last sweep began.
	// sweepRevision is the store's revision from which the next sweep reads.
	sweeping      bool
	sweepsFail    bool
	lastSweep     time.Time
	sweepRevision platform.Revision
}

func (c *Controller) gainRole(ctx context.Context, e roleGained) {
	c.dropRole("a new epoch")
	c.roleDropped.Store(false)
	now := time.Now()
	roleContext, cancel := context.WithCancel(ctx)
	c.role = &role{
		epoch:            e.epoch,
		scheduler:        scheduler.New(c.home(), c.Settings),
		context:          roleContext,
		cancel:           cancel,
		adopting:         true,
		adoptionEnds:     now.Add(adoptionLimit),
		heldJobs:         map[job.ID]bool{},
		lostWorkerExpiry: map[core.Name]time.Time{},
		reportedWorkers:  map[core.Name]bool{},
		inheritedTasks:   map[endpoint.Task]map[core.Name]endpoint.TaskReport{},
		workers:          map[core.Name]core.Endpoint{},
		keepers:          map[vm.Name]*keeperState{},
		runs:             map[job.ID]*run{},
		ending:           map[endpoint.Task]*run{},
		records:          map[job.ID]job.Record{},
		endedAttempts:    map[job.ID]job.Attempt{},
		seenVersions:     map[job.ID]uint64{},
		moving:           map[job.ID]job.Record{},
		lastMove:         map[job.ID]time.Time{},
		silentSince:      map[domain.Name]time.Time{},
	}
	c.role.confirm(e.at)
	c.role.scheduler.SetTables(c.Follower.Current(), now)
	c.isScheduler.Store(true)
	c.Recorder.Record(timeline.SchedulerAcquired, string(c.home()), epochDetail(e.epoch))
	c.tick(ctx)
}

// confirm extends the lease of the role. The given time is one at which the store still had this VM as the scheduler.
func (r *role) confirm(at time.Time) {
	granted := lease.Grant(at, roleLease)
	r.lease.Store(&granted)
}

// hasValidLease reports whether the role's lease is still valid, so that no other VM can have the role.
func (r *role) hasValidLease(now time.Time) bool {
	return r.lease.Load().Valid(now)
}

func (c *Controller) dropRole(reason string) {
	if c.role == nil {
		return
	}
	c.role.cancel()
	c.role = nil
	c.roleDropped.Store(true)
	c.isScheduler.Store(false)
	c.status.Store(&Status{})
	c.Recorder.Record(timeline.SchedulerLost, string(c.home()), reason)
}
