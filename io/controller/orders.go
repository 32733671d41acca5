package controller

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	core "auburnstack/core/endpoint"
	"auburnstack/core/rendezvous"
	"auburnstack/core/vm"
	"auburnstack/io/endpoint"
	"auburnstack/io/peer"
)

const (
	// orderTimeout is the timeout of one call to another VM that carries an order to a keeper or a notice about jobs.
	orderTimeout = 500 * time.Millisecond
	// keeperSilentAfter is the time since a keeper's last answer after which the keeper's workers are assigned to other
	// keepers. It is shorter than membership.DeadAfter, because nobody notices a lost worker while its keeper is lost
	// too.
	keeperSilentAfter = 1500 * time.Millisecond
)

// keeperState holds what the scheduler knows about one keeper.
type keeperState struct {
	workers []core.Name
	// assignment is a hash of the list in the field workers. It is never 0, because a keeper replies 0 to an order
	// whose assignment the keeper does not know.
	// confirmed is the assignment that the keeper last confirmed.
	assignment uint64
	confirmed  uint64
	// confirmedAt is the time at which the keeper first confirmed the assignment in the field confirmed.
	confirmedAt time.Time
	// lastSequence is the sequence number of the keeper's last report on a worker (peer.WorkerUpdate) that was handled.
	lastSequence uint64
	// outstanding is set while an order is on its way or the keeper's reply has not been handled.
	outstanding bool
	lastSent    time.Time
	// lastAnswer is the time at which the keeper last answered an order. For a new keeper it is the time at which it was
	// added.
	lastAnswer time.Time
}

// confirm stores the assignment that the keeper has confirmed. If this assignment differs from the last confirmed one,
// confirm also stores the current time in confirmedAt.
func (s *keeperState) confirm(assignment uint64, now time.Time) {
	if s.confirmed != assignment {
		s.confirmedAt = now
	}
	s.confirmed = assignment
}

// refreshWorkers applies the platform's list of endpoints: it adds the new workers of this failure domain, and tells
// the scheduler which workers are leaving, so that they get no new work.
func (c *Controller) refreshWorkers() {
	r := c.role
	for _, e := range c.Directory.Endpoints() {
		if e.FailureDomain != c.home() || e.Accelerators == 0 {
			continue
		}
		if e.Leaving && !r.workers[e.Name].Leaving {
			r.scheduler.WorkerLeaving(e.Name)
		}
		r.workers[e.Name] = e
	}
}

// sendOrders assigns every worker to a keeper. It then sends an order to each keeper whose last order has been answered
// or has failed, and was sent at least orderInterval ago.
func (c *Controller) sendOrders(ctx context.Context, now time.Time) {
	if c.mustNotRenew(now) {
		return
	}
	c.assignWorkers(now)
	r := c.role
	for name, state := range r.keepers {
		if state.outstanding || now.Sub(state.lastSent) < orderInterval {
			continue
		}
		state.outstanding = true
		state.lastSent = now
		order := c.order(state)
		c.background.Go(func() { c.sendOrder(ctx, r, name, order) })
	}
}

// mustNotRenew reports whether another VM may be the scheduler: the lease of this role has expired although the tables
// were proven current recently, so the store can be reached. Without orders the leases of the tasks expire unless the
// other scheduler adopts the tasks.
func (c *Controller) mustNotRenew(now time.Time) bool {
	return !c.role.hasValidLease(now) && c.Follower.Age(now) <= maxProofAge
}

// assignWorkers distributes the workers among the keepers that answer. The other keepers still get orders, without
// workers, so that the scheduler notices when they answer again.
func (c *Controller) assignWorkers(now time.Time) {
	r := c.role
	c.refreshKeepers(now)
	var answering []vm.Name
	self := c.Directory.Self()
	for name, state := range r.keepers {
		leaving := name == self.Name && self.Leaving
		if !leaving && now.Sub(state.lastAnswer) < keeperSilentAfter {
			answering = append(answering, name)
		}
	}
	if len(answering) == 0 {
		answering = []vm.Name{self.Name}
	}
	assigned := map[vm.Name][]core.Name{}
	for name := range r.workers {
		chosen, _ := rendezvous.Pick(string(name), answering)
		assigned[chosen] = append(assigned[chosen], name)
	}
	for name, state := range r.keepers {
		state.setWorkers(assigned[name])
	}
}

// refreshKeepers makes this VM and every other live VM of the failure domain a keeper, and removes all other keepers.
func (c *Controller) refreshKeepers(now time.Time) {
	names := []vm.Name{c.self.Name}
	for _, member := range c.Directory.InDomain(c.home()) {
		names = append(names, member.Name)
	}
	keepers := map[vm.Name]*keeperState{}
	for _, name := range names {
		keepers[name] = c.role.keepers[name]
		if keepers[name] == nil {
			keepers[name] = &keeperState{lastAnswer: now}
		}
	}
	c.role.keepers = keepers
}

func (s *keeperState) setWorkers(workers []core.Name) {
	sort.Slice(workers, func(i, j int) bool { return workers[i] < workers[j] })
	joined := make([]string, 0, len(workers))
	for _, name := range workers {
		joined = append(joined, string(name))
	}
	s.workers = workers
	s.assignment = xxhash.Sum64String(strings.Join(joined, "\x00")) | 1
}

func (c *Controller) order(state *keeperState) peer.Order {
	r := c.role
	order := peer.Order{
		Scheduler: c.self.Name, Epoch: r.epoch, Assignment: state.assignment, Withhold: c.withheldTasks(),
		Acknowledged: state.lastSequence,
	}
	if state.confirmed != state.assignment {
		order.HasWorkers = true
		order.Workers = state.workers
	}
	return order
}

// withheldTasks returns the tasks of gangs that are being started or stopped. Keepers must not renew their leases.
func (c *Controller) withheldTasks() []endpoint.Task {
	var tasks []endpoint.Task
	for _, r := range c.role.runs {
		if r.phase != running {
			tasks = append(tasks, r.task)
		}
	}
	return tasks
}

func (c *Controller) sendOrder(ctx context.Context, r *role, name vm.Name, order peer.Order) {
	e := keeperReplied{epoch: r.epoch, keeper: name}
	if name == c.self.Name {
		e.reply = c.Keeper.HandleOrder(order, time.Now())
	} else {
		e.reply, e.err = c.sendToPeer(r.context, name, order)
	}
	c.post(ctx, e)
}

func (c *Controller) sendToPeer(ctx context.Context, name vm.Name, order peer.Order) (peer.KeepReply, error) {
	target, known := c.Directory.Find(name)
	if !known {
		return peer.KeepReply{}, peer.ErrUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.Dialer.Peer(target).Keep(ctx, order)
}
