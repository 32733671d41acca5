// Package keeper renews the leases of tasks on a part of a failure domain's workers, on a scheduler's order,
// and gathers the workers' news for it.
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
	// holdTime is how long a worker without news holds back its reply, and so the time between two renewals.
	holdTime = 2 * time.Second
	// minInterval is the least time between two exchanges with a worker.
	minInterval = 100 * time.Millisecond
	// OrderLease is how long a keeper renews leases after a scheduler's last order.
	OrderLease = 3 * time.Second
	// TaskLease is how long a task runs after its last renewal.
	TaskLease = 6 * time.Second
	// LostAfter is how long a worker may be silent before its tasks are given up.
	LostAfter = 3500 * time.Millisecond
	// LapseMargin is added to a lapse for clocks that run at different rates.
	LapseMargin = 500 * time.Millisecond
)

// Workers finds the connection to a worker by name.
type Workers interface {
	WorkerByName(name core.Name) (endpoint.Worker, bool)
}

type workerState struct {
	since       uint64
	incarnation uint64
	// answered is the time of the last answer, or of the assignment.
	answered time.Time
	// renewed is the time of the last exchange that may have renewed leases.
	renewed time.Time
	lost    bool
}

// Keeper serves one scheduler at a time, the one with the highest epoch. It is safe for concurrent use.
type Keeper struct {
	workers Workers
	clock   *timeline.Clock

	mu sync.Mutex
	// order is the last one accepted.
	order  peer.Order
	valid  time.Time
	states map[core.Name]*workerState
	// served holds the workers that a goroutine exchanges messages with.
	served map[core.Name]bool
	news   []peer.WorkerUpdate
	number uint64
	stale  bool
	// reign ends when a scheduler with a higher epoch takes over, so that no worker's report waits for the end of an
	// exchange that was made for the earlier one.
	reign    context.Context
	endReign context.CancelFunc

	// reassigned is signaled when unserved workers may be there.
	reassigned chan struct{}
}

// New returns a keeper without an order; Run makes it work.
func New(workers Workers, clock *timeline.Clock) *Keeper {
	k := &Keeper{
		workers: workers, clock: clock, states: map[core.Name]*workerState{}, served: map[core.Name]bool{},
		reassigned: make(chan struct{}, 1),
	}
	k.reign, k.endReign = context.WithCancel(context.Background())
	return k
}

// Keep takes a scheduler's order and returns the news since the last one.
func (k *Keeper) Keep(order peer.Order, now time.Time) peer.KeepReply {
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
	k.valid = now.Add(OrderLease)
	k.dropSeen(order.Acknowledged)
	return peer.KeepReply{
		Assignment: order.Assignment, Workers: append([]peer.WorkerUpdate{}, k.news...),
		StaleEpoch: k.stale, Clock: k.clock.Now(now),
	}
}

// reset forgets what an earlier scheduler was told, so that the new one gets whole reports.
func (k *Keeper) reset() {
	k.states = map[core.Name]*workerState{}
	k.news = nil
	k.stale = false
	k.order = peer.Order{}
	k.endReign()
	k.reign, k.endReign = context.WithCancel(context.Background())
}

func (k *Keeper) assign(names []core.Name, now time.Time) {
	states := map[core.Name]*workerState{}
	for _, name := range names {
		state := k.states[name]
		if state == nil {
			// Another keeper may have renewed leases until now.
			state = &workerState{answered: now, renewed: now}
		}
		states[name] = state
	}
	k.states = states
	k.signal()
}

func (k *Keeper) dropSeen(seen uint64) {
	for len(k.news) > 0 && k.news[0].Sequence <= seen {
		k.news = k.news[1:]
	}
}

// Run exchanges messages with the assigned workers until the context ends: one goroutine for each worker, which ends
// when the worker is assigned to another keeper.
func (k *Keeper) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil {
		for _, name := range k.unserved() {
			group.Go(func() { k.serve(ctx, name) })
		}
		select {
		case <-k.reassigned:
		case <-ctx.Done():
		}
	}
}

// serve exchanges messages with one worker as long as it is assigned.
func (k *Keeper) serve(ctx context.Context, name core.Name) {
	defer k.unserve(name)
	for ctx.Err() == nil && k.exchange(ctx, name) {
		select {
		case <-time.After(minInterval):
		case <-ctx.Done():
		}
	}
}

// unserved returns the assigned workers that no goroutine serves yet, and marks them as served.
func (k *Keeper) unserved() []core.Name {
	k.mu.Lock()
	defer k.mu.Unlock()
	var names []core.Name
	for name := range k.states {
		if !k.served[name] && !k.stale {
			k.served[name] = true
			names = append(names, name)
		}
	}
	return names
}

// unserve marks a worker as served by no goroutine, and looks again in case it was assigned meanwhile.
func (k *Keeper) unserve(name core.Name) {
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

// exchange makes one exchange with a worker. It returns false when the worker is not assigned any more.
func (k *Keeper) exchange(ctx context.Context, name core.Name) bool {
	message, reign, ok := k.message(name, time.Now())
	if !ok {
		return false
	}
	worker, known := k.workers.WorkerByName(name)
	if !known {
		k.note(name, message, endpoint.Report{}, endpoint.ErrLost)
		return true
	}
	report, err := exchangeWithin(ctx, reign, worker, message)
	if ctx.Err() == nil {
		k.note(name, message, report, err)
	}
	return true
}

// exchangeWithin gives an exchange up when the reign of the scheduler that it is made for ends.
func exchangeWithin(
	ctx, reign context.Context, worker endpoint.Worker, message endpoint.Exchange,
) (endpoint.Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(reign, cancel)()
	return worker.Exchange(ctx, message)
}

// message prepares an exchange. It renews leases only under a valid order and while the worker is not given up.
func (k *Keeper) message(name core.Name, now time.Time) (endpoint.Exchange, context.Context, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	state, assigned := k.states[name]
	if !assigned || k.stale {
		return endpoint.Exchange{}, nil, false
	}
	message := endpoint.Exchange{Epoch: k.order.Epoch, Since: state.since, Withhold: k.order.Withhold, Wait: holdTime}
	if now.Before(k.valid) && !state.lost {
		message.Lease = TaskLease
		state.renewed = now
	}
	return message, k.reign, true
}

// note takes in the result of an exchange. One that was made for an earlier scheduler says nothing about this one.
func (k *Keeper) note(name core.Name, message endpoint.Exchange, report endpoint.Report, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	state, assigned := k.states[name]
	if !assigned || message.Epoch != k.order.Epoch {
		return
	}
	now := time.Now()
	switch {
	case errors.Is(err, endpoint.ErrStaleEpoch):
		k.stale = true
	case err != nil:
		k.noteSilence(name, state, now)
	default:
		k.noteReport(name, state, message.Since, report, now)
	}
}

func (k *Keeper) noteSilence(name core.Name, state *workerState, now time.Time) {
	if state.lost || now.Sub(state.answered) < LostAfter {
		return
	}
	state.lost = true
	lapses := max(state.renewed.Add(TaskLease+LapseMargin).Sub(now), 0)
	k.add(peer.WorkerUpdate{Worker: name, Lost: true, LeasesEndIn: lapses})
}

func (k *Keeper) noteReport(
	name core.Name, state *workerState, since uint64, report endpoint.Report, now time.Time,
) {
	state.answered = now
	if state.incarnation != report.Incarnation && since != 0 {
		// The worker has restarted and counts its versions anew.
		state.incarnation = report.Incarnation
		state.since = 0
		return
	}
	news := since == 0 || state.lost || len(report.Tasks) > 0
	if state.lost && since != 0 {
		state.lost = false
		state.since = 0
		return
	}
	state.lost = false
	state.incarnation = report.Incarnation
	state.since = report.Version
	if news {
		k.add(peer.WorkerUpdate{
			Worker: name, Incarnation: report.Incarnation, Tasks: report.Tasks, Complete: since == 0,
		})
	}
}

func (k *Keeper) add(news peer.WorkerUpdate) {
	k.number++
	news.Sequence = k.number
	k.news = append(k.news, news)
}
