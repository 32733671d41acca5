// Package controller drives the scheduler of a failure domain on the VM that holds this role:
// one goroutine owns all control state, others talk to the store, to keepers and to workers.
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
	// tickInterval is the time between two looks at the clock.
	tickInterval = 100 * time.Millisecond
	// orderInterval is the time between two orders to a keeper.
	orderInterval = 250 * time.Millisecond
	// maxProofAge is how long starts go on without a proof that the held tables are the accepted ones.
	maxProofAge = 3 * time.Second
	// outageLease is how long one finding that the store is down for everyone allows starts.
	outageLease = time.Second
	// sweepInterval is the time between two readings of all changed job pages.
	sweepInterval = 5 * time.Second
	// eventQueue is the number of events that may wait.
	eventQueue = 1024
)

// Workers finds the connection to a worker by name.
type Workers interface {
	WorkerByName(name core.Name) (endpoint.Worker, bool)
}

// Dependencies are what a controller works with.
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

// Controller holds the scheduler role of this VM's failure domain, or stands by to take it.
type Controller struct {
	Dependencies
	self   vm.VM
	events chan event
	// role is owned by the control goroutine; nil while another VM is the scheduler.
	role *role
	// status is the last published view of role.
	status atomic.Pointer[Status]
	// isScheduler tells other goroutines whether this VM is the scheduler.
	isScheduler atomic.Bool
	// startPermission is checked right before the messages that start a gang.
	startPermission atomic.Pointer[lease.Lease]
	// roleDropped is set when the control goroutine gave up the role, so that the candidate lets its lease go.
	roleDropped atomic.Bool
	// resigned is set when the VM leaves.
	resigned   atomic.Bool
	background sync.WaitGroup
}

// New returns a controller; Run makes it work.
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

// Run does the work of the role until the context ends, and waits for everything it has started.
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

// drain handles the events that wait already, so that one decision serves all of them.
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

// Resign gives up the role at the next occasion and does not take it again.
func (c *Controller) Resign() {
	c.resigned.Store(true)
}

// HoldsRole tells whether this VM is the scheduler of its failure domain.
func (c *Controller) HoldsRole() bool {
	return c.isScheduler.Load()
}

// TablesChanged tells the controller of newly adopted tables.
func (c *Controller) TablesChanged(ctx context.Context, t *table.Tables) {
	c.post(ctx, tablesChanged{tables: t})
}

// JobsChanged tells the controller to read the records of jobs.
func (c *Controller) JobsChanged(ctx context.Context, ids []job.ID) {
	if !c.HoldsRole() {
		return
	}
	c.background.Go(func() { c.readRecords(ctx, ids) })
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
		c.handleMoved(e)
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

// decide lets the scheduler decide and carries out its actions. Nothing is started while starts are not allowed.
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

// mayStart tells whether tasks may start: the role must be confirmed and the tables proven, both recently. When the
// store is down for everyone, neither can change, so starts go on as long as every other failure domain is heard and
// none of them reaches the store.
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
