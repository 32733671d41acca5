// Package keeper renews the leases of the tasks on a share of a failure domain's workers, as ordered by the scheduler,
// and collects the workers' reports for the scheduler.
package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	core "auburnstack/core/endpoint"
	"auburnstack/core/timeline"
	"auburnstack/io/endpoint"
	"auburnstack/io/peer"
)

const (
	// longPollTime is the time for which a worker may delay its reply while it has nothing new to report. It is
	// therefore also the time between two renewals while nothing changes on the worker.
	longPollTime = 2 * time.Second
	// minInterval is the least time between two exchanges with a worker.
	minInterval = 100 * time.Millisecond
	// OrderLease is the time for which a keeper goes on to renew leases after the scheduler's last order.
	OrderLease = 3 * time.Second
	// TaskLease is the time for which a task runs after the last renewal of its lease.
	TaskLease = 6 * time.Second
	// LostAfter is the time without an answer after which a worker counts as lost and its leases are no longer renewed.
	LostAfter = 3500 * time.Millisecond
	// ExpiryMargin is added to the expiry of a lease to allow for clocks that run at different rates.
	ExpiryMargin = 500 * time.Millisecond
)

// Workers finds the connection to a worker by name.
type Workers interface {
	WorkerByName(name core.Name) (endpoint.Worker, bool)
}

// workerState holds what the keeper knows about one assigned worker.
type workerState struct {
	// since is the version of the worker's last report. It is 0 if the next exchange has to ask for a complete report.
	since       uint64
	incarnation uint64
	// lastAnswer is the time of the worker's last answer, or of its assignment if it has not answered yet.
	lastAnswer time.Time
	// lastRenewal is the time of the last exchange that may have renewed leases.
	lastRenewal time.Time
	// lost is set when the worker has not answered for LostAfter.
	lost bool
}

// Keeper serves one scheduler at a time, the one with the highest epoch. It is safe for concurrent use.
type Keeper struct {
	workers Workers
	clock   *timeline.Clock

	mu sync.Mutex
	// order is the last accepted order of the scheduler.
	// validUntil is the time at which this order expires.
	order      peer.Order
	validUntil time.Time
	states     map[core.Name]*workerState
	// served holds the workers for which a goroutine runs.
	served map[core.Name]bool
	// updates holds the worker updates, each a report on one worker, that the scheduler has not acknowledged.
	// lastSequence is the sequence number of the newest update.
	updates      []peer.WorkerUpdate
	lastSequence uint64
	// staleEpoch is set when a worker has refused the scheduler's epoch.
	staleEpoch bool
	// epochContext is canceled when a scheduler with a higher epoch takes over. It cancels the exchanges that were made
	// for the earlier scheduler, so that the new scheduler does not wait for these exchanges to end.
	epochContext context.Context
	cancelEpoch  context.CancelFunc

	// reassigned is signaled when there may be assigned workers for which no goroutine runs.
	reassigned chan struct{}
}

// New returns a keeper without an order. It does nothing until Run is called.
func New(workers Workers, clock *timeline.Clock) *Keeper {
	k := &Keeper{
		workers: workers, clock: clock, states: map[core.Name]*workerState{}, served: map[core.Name]bool{},
		reassigned: make(chan struct{}, 1),
	}
	k.epochContext, k.cancelEpoch = context.WithCancel(context.Background())
	return k
}

// HandleOrder accepts a scheduler's order unless the order's epoch is stale. It returns the worker updates that the
// scheduler has not acknowledged. If the order names an assignment that the keeper does not have, the reply's
// assignment is 0, and the scheduler then sends the names of the assigned workers.
func (k *Keeper) HandleOrder(order peer.Order, now time.Time) peer.KeepReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	if order.Epoch < k.order.Epoch {
		return peer.KeepReply{StaleEpoch: true, Clock: k.clock.Now(now)}
	}
	if order.Epoch > k.order.Epoch {
		k.reset()
	}
	if order.HasWorkers {
		k.assign(order.Workers, now)
	} else {
		order.Workers = k.order.Workers
	}
	known := order.HasWorkers || order.Assignment == k.order.Assignment
	if !known {
		order.Assignment = 0
	}
	k.order = order
	k.validUntil = now.Add(OrderLease)
	k.dropAcknowledged(order.Acknowledged)
	return peer.KeepReply{
		Assignment: order.Assignment, Workers: append([]peer.WorkerUpdate{}, k.updates...),
		StaleEpoch: k.staleEpoch, Clock: k.clock.Now(now),
	}
}

// reset discards the earlier scheduler's order, the updates for it and the versions of the workers' last reports. The
// workers then send complete reports for the new scheduler.
func (k *Keeper) reset() {
	k.states = map[core.Name]*workerState{}
	k.updates = nil
	k.staleEpoch = false
	k.order = peer.Order{}
	k.cancelEpoch()
	k.epochContext, k.cancelEpoch = context.WithCancel(context.Background())
}

func (k *Keeper) assign(names []core.Name, now time.Time) {
	states := map[core.Name]*workerState{}
	for _, name := range names {
		state := k.states[name]
		if state == nil {
			// Another keeper may have renewed leases on this worker until now, so now counts as the last renewal.
			state = &workerState{lastAnswer: now, lastRenewal: now}
		}
		states[name] = state
	}
	k.states = states
	k.signal()
}

func (k *Keeper) dropAcknowledged(acknowledged uint64) {
	for len(k.updates) > 0 && k.updates[0].Sequence <= acknowledged {
		k.updates = k.updates[1:]
	}
}

// Run exchanges messages with the assigned workers until the context ends: one goroutine for each worker, which ends
// when the worker is assigned to another keeper.
func (k *Keeper) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil {
		for _, name := range k.takeUnserved() {
			group.Go(func() { k.serve(ctx, name) })
		}
		select {
		case <-k.reassigned:
		case <-ctx.Done():
		}
	}
}

// serve exchanges messages with one worker as long as the worker is assigned to this keeper.
func (k *Keeper) serve(ctx context.Context, name core.Name) {
	defer k.stopServing(name)
	for ctx.Err() == nil && k.exchange(ctx, name) {
		select {
		case <-time.After(minInterval):
		case <-ctx.Done():
		}
	}
}

// takeUnserved returns the assigned workers for which no goroutine runs yet, and marks them as served.
func (k *Keeper) takeUnserved() []core.Name {
	k.mu.Lock()
	defer k.mu.Unlock()
	var names []core.Name
	for name := range k.states {
		if !k.served[name] && !k.staleEpoch {
			k.served[name] = true
			names = append(names, name)
		}
	}
	return names
}

// stopServing marks a worker as not served. It then signals Run, because the worker may have been assigned to this
// keeper again since serve decided to end.
func (k *Keeper) stopServing(name core.Name) {
	k.mu.Lock()
	delete(k.served, name)
	k.mu.Unlock()
	k.signal()
}

func (k *Keeper) signal() {
	select {
	case k.reassigned <- struct{}{}:
	default:
	}
}

// exchange makes one exchange with a worker. It returns false when the worker is no longer assigned, or when any worker
// has refused the scheduler's epoch.
func (k *Keeper) exchange(ctx context.Context, name core.Name) bool {
	message, epochContext, ok := k.prepareExchange(name, time.Now())
	if !ok {
		return false
	}
	worker, known := k.workers.WorkerByName(name)
	if !known {
		k.recordResult(name, message, endpoint.Report{}, endpoint.ErrLost)
		return true
	}
	report, err := exchangeWithin(ctx, epochContext, worker, message)
	if ctx.Err() == nil {
		k.recordResult(name, message, report, err)
	}
	return true
}

// exchangeWithin makes an exchange and cancels it when epochContext ends.
func exchangeWithin(
	ctx, epochContext context.Context, worker endpoint.Worker, message endpoint.Exchange,
) (endpoint.Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(epochContext, cancel)()
	return worker.Exchange(ctx, message)
}

// prepareExchange returns the message of an exchange with a worker. The message renews the leases of the worker's
// tasks, except the tasks in Withhold, only if the worker is not lost and the keeper accepted the scheduler's last
// order less than OrderLease ago. The returned context ends when a scheduler with a higher epoch takes over.
func (k *Keeper) prepareExchange(name core.Name, now time.Time) (endpoint.Exchange, context.Context, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	state, assigned := k.states[name]
	if !assigned || k.staleEpoch {
		return endpoint.Exchange{}, nil, false
	}
	message := endpoint.Exchange{Epoch: k.order.Epoch, Since: state.since, Withhold: k.order.Withhold, Wait: longPollTime}
	if now.Before(k.validUntil) && !state.lost {
		message.Lease = TaskLease
		state.lastRenewal = now
	}
	return message, k.epochContext, true
}

// recordResult handles the result of an exchange. It ignores an exchange that was made for an earlier scheduler, since
// that result says nothing about the present scheduler.
func (k *Keeper) recordResult(name core.Name, message endpoint.Exchange, report endpoint.Report, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	state, assigned := k.states[name]
	if !assigned || message.Epoch != k.order.Epoch {
		return
	}
	now := time.Now()
	switch {
	case errors.Is(err, endpoint.ErrStaleEpoch):
		k.staleEpoch = true
	case err != nil:
		k.recordSilence(name, state, now)
	default:
		k.recordReport(name, state, message.Since, report, now)
	}
}

func (k *Keeper) recordSilence(name core.Name, state *workerState, now time.Time) {
	if state.lost || now.Sub(state.lastAnswer) < LostAfter {
		return
	}
	state.lost = true
	leasesEndIn := max(state.lastRenewal.Add(TaskLease+ExpiryMargin).Sub(now), 0)
	k.addUpdate(peer.WorkerUpdate{Worker: name, Lost: true, LeasesEndIn: leasesEndIn})
}

func (k *Keeper) recordReport(
	name core.Name, state *workerState, since uint64, report endpoint.Report, now time.Time,
) {
	state.lastAnswer = now
	if state.incarnation != report.Incarnation && since != 0 {
		// The worker has restarted and numbers its reports anew, so the next exchange asks for a complete report.
		state.incarnation = report.Incarnation
		state.since = 0
		return
	}
	hasUpdate := since == 0 || state.lost || len(report.Tasks) > 0
	if state.lost && since != 0 {
		// The lost worker answers again, so the next exchange asks for a complete report.
		state.lost = false
		state.since = 0
		return
	}
	state.lost = false
	state.incarnation = report.Incarnation
	state.since = report.Version
	if hasUpdate {
		k.addUpdate(peer.WorkerUpdate{
			Worker: name, Incarnation: report.Incarnation, Tasks: report.Tasks, Complete: since == 0,
		})
	}
}

func (k *Keeper) addUpdate(update peer.WorkerUpdate) {
	k.lastSequence++
	update.Sequence = k.lastSequence
	k.updates = append(k.updates, update)
}
