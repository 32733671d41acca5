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
	// orderTimeout bounds one order to a keeper.
	orderTimeout = 500 * time.Millisecond
	// keeperSilentAfter is how long a keeper may leave orders without an answer before its workers go to others. It is
	// shorter than membership.DeadAfter, since nobody notices a lost worker whose keeper is lost as well.
	keeperSilentAfter = 1500 * time.Millisecond
)

// keeperState is what the scheduler knows of one keeper.
type keeperState struct {
	workers []core.Name
	// assignment identifies workers; confirmed is the one that the keeper last confirmed.
	assignment uint64
	confirmed  uint64
	// confirmedAt is when the keeper first confirmed it.
	confirmedAt time.Time
	seen        uint64
	outstanding bool
	sent        time.Time
	// answered is when the keeper last answered an order; for a new one, when it was first seen.
	answered time.Time
}

// confirm notes the assignment that the keeper has.
func (s *keeperState) confirm(assignment uint64, now time.Time) {
	if s.confirmed != assignment {
		s.confirmedAt = now
	}
	s.confirmed = assignment
}

// refreshWorkers takes in the platform's list: workers that leave get no new work, new ones get a keeper.
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

// sendOrders assigns every worker to a keeper and sends each keeper its order.
func (c *Controller) sendOrders(ctx context.Context, now time.Time) {
	if c.mustNotRenew(now) {
		return
	}
	c.assignWorkers(now)
	r := c.role
	for name, state := range r.keepers {
		if state.outstanding || now.Sub(state.sent) < orderInterval {
			continue
		}
		state.outstanding = true
		state.sent = now
		order := c.order(state)
		c.traffic.Go(func() { c.sendOrder(ctx, r, name, order) })
	}
}

// mustNotRenew tells whether another scheduler may be at work: the store is reached by others but does not confirm
// this role. Tasks then end with their leases unless the other scheduler adopts them.
func (c *Controller) mustNotRenew(now time.Time) bool {
	return !c.role.hasMandate(now) && c.Follower.Age(now) <= freshFor
}

// assignWorkers spreads the workers over the keepers that answer. The others still get orders, so that they are heard
// when they are back.
func (c *Controller) assignWorkers(now time.Time) {
	r := c.role
	c.refreshKeepers(now)
	var answering []vm.Name
	self := c.Directory.Self()
	for name, state := range r.keepers {
		leaving := name == self.Name && self.Leaving
		if !leaving && now.Sub(state.answered) < keeperSilentAfter {
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

// refreshKeepers makes this VM and every live one of the failure domain a keeper.
func (c *Controller) refreshKeepers(now time.Time) {
	names := []vm.Name{c.self.Name}
	for _, member := range c.Directory.InDomain(c.home()) {
		names = append(names, member.Name)
	}
	keepers := map[vm.Name]*keeperState{}
	for _, name := range names {
		keepers[name] = c.role.keepers[name]
		if keepers[name] == nil {
			keepers[name] = &keeperState{answered: now}
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
		Scheduler: c.self.Name, Epoch: r.epoch, Assignment: state.assignment, Withhold: c.withheld(), Acknowledged: state.seen,
	}
	if state.confirmed != state.assignment {
		order.HasWorkers = true
		order.Workers = state.workers
	}
	return order
}

// withheld lists the tasks of gangs that are not completely confirmed.
func (c *Controller) withheld() []endpoint.Task {
	var tasks []endpoint.Task
	for _, r := range c.role.runs {
		if r.phase != running {
			tasks = append(tasks, r.task)
		}
	}
	return tasks
}

func (c *Controller) sendOrder(ctx context.Context, r *role, name vm.Name, order peer.Order) {
	e := newsArrived{epoch: r.epoch, keeper: name}
	if name == c.self.Name {
		e.news = c.Keeper.Keep(order, time.Now())
	} else {
		e.news, e.err = c.sendToPeer(r.context, name, order)
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
