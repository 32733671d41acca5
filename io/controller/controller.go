// Package controller runs the scheduler of one failure domain. The VMs of the domain elect one of them as the
// scheduler through a lease in the store. On that VM one goroutine (the control goroutine) owns all control state.
// Other goroutines call the store, the workers and the keepers, and send the results to the control goroutine as
// events. A keeper is a VM that renews the leases of the tasks on a share of the workers.
package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"auburnstack/core/domain"
	core "auburnstack/core/endpoint"
	"auburnstack/core/job"
	"auburnstack/core/lease"
	"auburnstack/core/scheduler"
	"auburnstack/core/table"
	"auburnstack/core/timeline"
	"auburnstack/core/vm"
	"auburnstack/io/endpoint"
	"auburnstack/io/jobbook"
	"auburnstack/io/keeper"
	"auburnstack/io/membership"
	"auburnstack/io/peer"
	"auburnstack/io/platform"
	"auburnstack/io/tables"
)

const (
	// tickInterval is the time between two runs of the periodic work.
	tickInterval = 100 * time.Millisecond
	// orderInterval is the least time between two orders to the same keeper. An order is a message that assigns workers
	// to the keeper and makes it renew their tasks' leases.
	orderInterval = 250 * time.Millisecond
	// maxProofAge is the time for which tasks may be started after the last proof that this VM holds the accepted
	// revision of the tables.
	maxProofAge = 3 * time.Second
	// outageLease is the time for which tasks may be started after mayStart has found that no failure domain reaches
	// the store.
	outageLease = time.Second
	// sweepInterval is the time between two sweeps. A sweep reads all job pages that have changed since the last sweep.
	sweepInterval = 5 * time.Second
	// noticeTimeout is the timeout for reading the records that a notice names.
	noticeTimeout = 2 * time.Second
	// eventQueue is the capacity of the event channel.
	eventQueue = 1024
)

// Workers finds the connection to a worker by name.
type Workers interface {
	WorkerByName(name core.Name) (endpoint.Worker, bool)
}

// Dependencies holds the services and settings that a controller uses.
type Dependencies struct {
	Store     platform.Store
	Book      *jobbook.Book
	Directory *membership.Directory
	Follower  *tables.Follower
	Dialer    peer.Dialer
	Keeper    *keeper.Keeper
	Workers   Workers
	Recorder  *timeline.Recorder
	Clock     *timeline.Clock
	Settings  scheduler.Settings
}

// Controller runs the scheduler of this VM's failure domain while this VM holds the role, and otherwise tries to
// acquire the role.
type Controller struct {
	Dependencies
	self   vm.VM
	events chan event
	// role is the scheduler's state. It is nil while this VM is not the scheduler. Only the control goroutine changes
	// it. The goroutines that the control goroutine starts read only fields that do not change while they run, and the
	// field lease, which is atomic.
	role *role
	// status is the last published status of the scheduler.
	status atomic.Pointer[Status]
	// isScheduler reports to other goroutines whether this VM is the scheduler.
	isScheduler atomic.Bool
	// startPermission is the lease under which tasks may be started. Each step of a gang's start first checks this
	// lease.
	startPermission atomic.Pointer[lease.Lease]
	// roleDropped is set when the control goroutine has given up the role. The candidate then removes the role's key.
	roleDropped atomic.Bool
	// resigned is set when this VM shuts down. The candidate then gives up the role and never acquires it again.
	resigned   atomic.Bool
	background sync.WaitGroup
}

// New returns a controller. It does nothing until Run is called.
func New(dependencies Dependencies) *Controller {
	c := &Controller{
		Dependencies: dependencies,
		self:         dependencies.Directory.Self(),
		events:       make(chan event, eventQueue),
	}
	c.status.Store(&Status{})
	c.startPermission.Store(&lease.Lease{})
	return c
}

// Run competes for the role and does the scheduler's work until the context ends. It returns after all goroutines that
// the controller started have ended.
func (c *Controller) Run(ctx context.Context) {
	defer c.background.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	candidate := newCandidate(c)
	c.background.Go(func() { candidate.run(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-c.events:
			c.handle(ctx, e)
			c.drain(ctx)
		case <-ticker.C:
			c.tick(ctx)
		case <-ctx.Done():
			c.dropRole("the VM stops")
			return
		}
		c.decide(ctx)
	}
}

// drain handles all queued events, so that the scheduler decides once for all of them.
func (c *Controller) drain(ctx context.Context) {
	for range eventQueue {
		select {
		case e := <-c.events:
			c.handle(ctx, e)
		default:
			return
		}
	}
}

// Resign makes the candidate give up the role at its next step and never acquire it again.
func (c *Controller) Resign() {
	c.resigned.Store(true)
}

// HoldsRole reports whether this VM is the scheduler of its failure domain.
func (c *Controller) HoldsRole() bool {
	return c.isScheduler.Load()
}

// TablesChanged hands newly adopted tables of pools and routes to the scheduler.
func (c *Controller) TablesChanged(ctx context.Context, t *table.Tables) {
	c.post(ctx, tablesChanged{tables: t})
}

// JobsChanged makes the scheduler read the records of the given jobs again. It does nothing on a VM that is not the
// scheduler.
func (c *Controller) JobsChanged(ctx context.Context, ids []job.ID) {
	if !c.HoldsRole() {
		return
	}
	c.background.Go(func() {
		// The context of a caller ends with its call, but the notice must still be handled.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), noticeTimeout)
		defer cancel()
		c.readRecords(ctx, ids)
	})
}

func (c *Controller) post(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

func (c *Controller) handle(ctx context.Context, e event) {
	switch e := e.(type) {
	case roleGained:
		c.gainRole(ctx, e)
		return
	case roleLost:
		c.dropRole(e.reason)
		return
	}
	if c.role == nil {
		return
	}
	switch e := e.(type) {
	case roleConfirmed:
		c.role.confirm(e.at)
	case tablesChanged:
		c.role.scheduler.SetTables(e.tables, time.Now())
	case recordsRead:
		c.handleRecords(e)
	case pagesFenced:
		c.handlePagesFenced(e)
	case keeperReplied:
		c.handleKeeperReply(ctx, e)
	case launchEnded:
		c.handleLaunchEnded(ctx, e)
	case memberStopped:
		c.handleMemberStopped(e)
	case endRecorded:
		c.handleEndRecorded(ctx, e)
	case jobMoved:
		c.handleJobMoved(e)
	}
}

func (c *Controller) tick(ctx context.Context) {
	r := c.role
	if r == nil {
		return
	}
	now := time.Now()
	c.refreshWorkers()
	c.sendOrders(ctx, now)
	c.sweep(ctx, now)
	c.checkAdoption(ctx, now)
	c.releaseHeld(ctx, now)
	c.endExpiredMembers(now)
	c.takeOverJobs(ctx, now)
}

// decide begins to store the ends of ended runs, runs the scheduler, carries out its actions and publishes the status.
// It skips the scheduler during an adoption and while tasks may not be started.
func (c *Controller) decide(ctx context.Context) {
	r := c.role
	if r == nil {
		return
	}
	c.storeEndedRuns(ctx)
	now := time.Now()
	if !r.adopting && c.mayStart(now) {
		for _, action := range r.scheduler.Decide(now) {
			c.act(ctx, action, now)
		}
	}
	c.publish(now)
}

func (c *Controller) act(ctx context.Context, action scheduler.Action, now time.Time) {
	switch a := action.(type) {
	case scheduler.Launch:
		c.launch(ctx, a)
	case scheduler.Stop:
		c.stopRun(ctx, a.ID, string(a.Reason))
	case scheduler.Move:
		c.move(ctx, a.ID, now)
	}
}

// mayStart reports whether tasks may be started, and extends startPermission if so. Normally the lease of the role must
// be valid and the tables must have been proven current within maxProofAge. If exactly one of these conditions holds,
// starts are refused. If neither holds, starts are allowed while this VM hears from every other failure domain and
// knows no newer revision of the tables. The store is then down for every failure domain, because gossip from a VM that
// reaches the store would prove the tables current. While the store is down, neither the role nor the tables can
// change.
func (c *Controller) mayStart(now time.Time) bool {
	r := c.role
	age := c.Follower.Age(now)
	until := now.Add(min(r.lease.Load().Expires.Sub(now), maxProofAge-age))
	allowed := until.After(now)
	if !r.hasValidLease(now) && age > maxProofAge {
		allowed = c.Directory.HeardFromEveryDomain(maxProofAge, now) && !c.Follower.Behind()
		until = now.Add(outageLease)
	}
	if allowed {
		c.startPermission.Store(&lease.Lease{Expires: until})
	}
	if allowed == r.frozen {
		r.frozen = !allowed
		c.recordFreeze(allowed)
	}
	return allowed
}

func (c *Controller) recordFreeze(allowed bool) {
	if allowed {
		c.Recorder.Record(timeline.StartsResumed, string(c.self.FailureDomain), "")
		return
	}
	c.Recorder.Record(timeline.StartsFrozen, string(c.self.FailureDomain), "no recent proof of role and tables")
}

// home returns the failure domain that this controller schedules.
func (c *Controller) home() domain.Name {
	return c.self.FailureDomain
}
