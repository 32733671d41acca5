// Package admission decides which requests of which accounts may proceed on one VM.
package admission

import (
	"time"

	"golang.org/x/time/rate"

	"auburnstack/core/account"
	"auburnstack/core/request"
	"auburnstack/core/route"
)

const (
	// queueFactor bounds each account's queue to a multiple of the capacity.
	queueFactor = 4
	// reserveDivisor sets the part of the capacity that accounts above their fair share leave free: a tenth.
	reserveDivisor = 10
	// batchDivisor sets the part of the capacity that batch requests leave free: a quarter.
	batchDivisor = 4
	// durationWeight is the weight of the newest duration in the moving average.
	durationWeight = 0.1
	// rateBurst is the time over which an account may save up its rate.
	rateBurst = time.Second
)

// Decision is the answer to an offered request: Admit, Queue or Refuse.
type Decision interface {
	isDecision()
}

// Admit lets the request proceed; Done must follow.
type Admit struct{}

// Queue holds the request; its ticket is returned by a later Done.
type Queue struct {
	Ticket *Ticket
}

// Refuse ends the request before it ran.
type Refuse struct {
	Reason request.Reason
}

func (Admit) isDecision()  {}
func (Queue) isDecision()  {}
func (Refuse) isDecision() {}

// Ticket is a request in a queue.
type Ticket struct {
	Account  account.Name
	Class    route.Class
	Deadline time.Time
	// Admitted is closed by the owner of the controller when the ticket's turn has come.
	Admitted chan struct{}
	// removed is set when the ticket has left its queue.
	removed bool
}

type accountState struct {
	account.Account
	limiter  *rate.Limiter
	inFlight int
	// queues holds one queue for each class, most urgent first.
	queues [route.Batch + 1][]*Ticket
	queued int
}

// share compares accounts for max-min fairness: the lowest value goes first.
func (a *accountState) share() float64 {
	return float64(a.inFlight) / float64(a.Weight)
}

// Controller admits requests by weighted max-min fairness. It is not safe for concurrent use.
type Controller struct {
	capacity int
	inFlight int
	// batchInFlight is the part of inFlight in the batch class.
	batchInFlight int
	totalWeight   int
	accounts      map[account.Name]*accountState
	// accountList keeps decisions independent of the order of the map.
	accountList []*accountState
	// averageDuration is a moving average of the time that a request takes.
	averageDuration time.Duration
}

// New returns a controller for the given accounts.
func New(accounts []account.Account, capacity int) *Controller {
	c := &Controller{accounts: map[account.Name]*accountState{}, capacity: max(capacity, 1)}
	for _, a := range accounts {
		state := &accountState{Account: a}
		if a.RatePerSecond > 0 {
			burst := int(a.RatePerSecond*rateBurst.Seconds()) + 1
			state.limiter = rate.NewLimiter(rate.Limit(a.RatePerSecond), burst)
		}
		c.accounts[a.Name] = state
		c.accountList = append(c.accountList, state)
		c.totalWeight += a.Weight
	}
	return c
}

// SetCapacity changes the number of requests that proceed at a time. The returned tickets may now proceed.
func (c *Controller) SetCapacity(capacity int, now time.Time) []*Ticket {
	c.capacity = max(capacity, 1)
	return c.admitQueued(now)
}

// InFlight returns the number of admitted requests.
func (c *Controller) InFlight() int {
	return c.inFlight
}

// Queued returns the number of queued requests.
func (c *Controller) Queued() int {
	total := 0
	for _, a := range c.accountList {
		total += a.queued
	}
	return total
}

// Offer decides about a new request.
func (c *Controller) Offer(name account.Name, class route.Class, deadline, now time.Time) Decision {
	a, known := c.accounts[name]
	switch {
	case !known:
		return Refuse{Reason: request.NoRoute}
	case a.limiter != nil && !a.limiter.AllowN(now, 1):
		return Refuse{Reason: request.RateLimited}
	case a.queued == 0 && c.fits(a, class):
		c.acquire(a, class)
		return Admit{}
	case a.queued >= queueFactor*c.capacity:
		return Refuse{Reason: request.QueueFull}
	case now.Add(c.expectedWait(a, class)).After(deadline):
		return Refuse{Reason: request.DeadlineTooClose}
	}
	ticket := &Ticket{Account: name, Class: class, Deadline: deadline, Admitted: make(chan struct{})}
	a.queues[class] = append(a.queues[class], ticket)
	a.queued++
	return Queue{Ticket: ticket}
}

// Done ends an admitted request. The returned tickets may now proceed.
func (c *Controller) Done(name account.Name, class route.Class, duration time.Duration, now time.Time) []*Ticket {
	c.averageDuration += time.Duration(durationWeight * float64(duration-c.averageDuration))
	c.release(c.accounts[name], class)
	return c.admitQueued(now)
}

// Abandon takes a ticket out of its queue. It reports false when the ticket was admitted already;
// Done must follow then.
func (c *Controller) Abandon(ticket *Ticket) bool {
	if ticket.removed {
		return false
	}
	c.remove(ticket)
	return true
}

// fits tells whether a request may proceed at once.
func (c *Controller) fits(a *accountState, class route.Class) bool {
	if class == route.Batch && c.batchInFlight >= c.capacity-c.capacity/batchDivisor {
		return false
	}
	limit := c.capacity
	if a.inFlight*c.totalWeight >= c.capacity*a.Weight {
		limit -= c.capacity / reserveDivisor
	}
	return c.inFlight < limit
}

// expectedWait estimates the time until a request at the end of the account's queue may proceed.
func (c *Controller) expectedWait(a *accountState, class route.Class) time.Duration {
	ahead := 0
	for k := route.Urgent; k <= class; k++ {
		ahead += len(a.queues[k])
	}
	slots := max(float64(c.capacity)*float64(a.Weight)/float64(c.totalWeight), 1)
	return time.Duration(float64(c.averageDuration) * float64(ahead) / slots)
}

// admitQueued picks tickets while capacity is left: the account with the lowest share first.
func (c *Controller) admitQueued(now time.Time) []*Ticket {
	var admitted []*Ticket
	for {
		ticket := c.nextTicket(now)
		if ticket == nil {
			return admitted
		}
		c.remove(ticket)
		c.acquire(c.accounts[ticket.Account], ticket.Class)
		admitted = append(admitted, ticket)
	}
}

func (c *Controller) nextTicket(now time.Time) *Ticket {
	var best *Ticket
	for _, a := range c.accountList {
		ticket := c.firstFitting(a, now)
		if ticket == nil {
			continue
		}
		if best == nil || ticket.Class < best.Class ||
			ticket.Class == best.Class && a.share() < c.accounts[best.Account].share() {
			best = ticket
		}
	}
	return best
}

// firstFitting returns the account's most urgent ticket that fits. Tickets past their deadline are left to their owners.
func (c *Controller) firstFitting(a *accountState, now time.Time) *Ticket {
	for class, queue := range a.queues {
		for _, ticket := range queue {
			if ticket.Deadline.Before(now) {
				continue
			}
			if c.fits(a, route.Class(class)) {
				return ticket
			}
			break
		}
	}
	return nil
}

func (c *Controller) remove(ticket *Ticket) {
	a := c.accounts[ticket.Account]
	queue := a.queues[ticket.Class]
	for i := range queue {
		if queue[i] == ticket {
			a.queues[ticket.Class] = append(queue[:i:i], queue[i+1:]...)
			break
		}
	}
	ticket.removed = true
	a.queued--
}

func (c *Controller) acquire(a *accountState, class route.Class) {
	a.inFlight++
	c.inFlight++
	if class == route.Batch {
		c.batchInFlight++
	}
}

func (c *Controller) release(a *accountState, class route.Class) {
	a.inFlight--
	c.inFlight--
	if class == route.Batch {
		c.batchInFlight--
	}
}
