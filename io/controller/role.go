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

// adoptionLimit is the time after which no task of an earlier scheduler can run unless a worker has reported it:
// the earlier keepers' orders and the tasks' leases have lapsed.
const adoptionLimit = keeper.OrderLease + keeper.TaskLease + keeper.ExpiryMargin

// silentAfter is how long a worker may be asked by a keeper without an answer before the gangs that it may have a part
// of are stopped.
const silentAfter = 1200 * time.Millisecond

// role is the control state of the scheduler under one epoch.
type role struct {
	epoch     endpoint.Epoch
	scheduler *scheduler.Scheduler
	// lease is the time up to which no other VM can have the role, by the store's last confirmation. Writes check it
	// after they have read what they change; a successor rewrites what it relies on, so a write that was checked but is
	// late finds a changed page.
	lease atomic.Pointer[lease.Lease]
	// context ends with the role.
	context context.Context
	cancel  context.CancelFunc
	frozen  bool
	// lastPublished is when the status was last lastPublished.
	lastPublished time.Time

	// adopting is set until every worker has reported or is known to be silent, and the records were read after that.
	adopting bool
	// adoptionEnds is when no task of an earlier scheduler can run any more on a worker that has not reported.
	adoptionEnds time.Time
	// inheritedJobs holds the jobs that an earlier scheduler may have started.
	inheritedJobs []job.ID
	// heldJobs holds the jobs that a silent worker may still run for an earlier scheduler. They stay in records and are
	// queued at adoptionEnds.
	heldJobs map[job.ID]bool
	// reportedWorkers holds the workers of the failure domain that have reportedWorkers and are not lost.
	reportedWorkers map[core.Name]bool
	// lostWorkerExpiry holds when nothing can run any more on the workers that were lost during the adoption.
	lostWorkerExpiry map[core.Name]time.Time
	// inheritedTasks holds what workers reported of an earlier scheduler's tasks.
	inheritedTasks map[endpoint.Task]map[core.Name]endpoint.TaskReport

	workers map[core.Name]core.Endpoint
	keepers map[vm.Name]*keeperState

	// runs holds the gangs that hold accelerators, by job.
	runs map[job.ID]*run
	// ending holds attempts that have ended but whose end is not stored yet.
	ending map[endpoint.Task]*run
	// records holds the waiting jobs of this failure domain.
	records map[job.ID]job.Record
	// endedAttempts holds, for jobs that have run here, the highest attempt that has ended; older records are stale readings.
	endedAttempts map[job.ID]job.Attempt
	// seenVersions holds the highest version of each record that was taken; readings that arrive late are passed over.
	seenVersions map[job.ID]uint64
	// moving holds the jobs whose move to another failure domain is being stored, each with the newest record that was
	// read meanwhile. Such a job is neither queued nor started here.
	moving map[job.ID]job.Record
	// lastOffer holds when a job was last lastOffer to another failure domain.
	lastOffer map[job.ID]time.Time

	// silentSince holds since when failure domains that are out have been silent while this VM could hear others.
	silentSince map[domain.Name]time.Time

	// sweepsBegun and sweepsDone count readings of the job pages; adoption waits for the one numbered adoptAfterSweep,
	// which began after the last worker had reported.
	sweepsBegun     int
	sweepsDone      int
	adoptAfterSweep int

	// fence says whether the pages of the waiting jobs were rewritten under this role.
	fence fenceState

	sweeping  bool
	lastSweep time.Time
	revision  platform.Revision
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
		lastOffer:        map[job.ID]time.Time{},
		silentSince:      map[domain.Name]time.Time{},
	}
	c.role.confirm(e.at)
	c.role.scheduler.SetTables(c.Follower.Current(), now)
	c.isScheduler.Store(true)
	c.Recorder.Record(timeline.SchedulerAcquired, string(c.home()), epochDetail(e.epoch))
	c.tick(ctx)
}

// confirm notes that the store knew this VM as the scheduler at a time.
func (r *role) confirm(at time.Time) {
	granted := lease.Grant(at, roleLease)
	r.lease.Store(&granted)
}

// hasValidLease tells whether no other VM can have the role.
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
