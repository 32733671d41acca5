// Package admission implements admission control on one VM: it decides which requests of which client accounts may
// proceed.
package admission

import (
	"time"

	"golang.org/x/time/rate"

	"auburnstack/core/account"
	"auburnstack/core/request"
	"auburnstack/core/route"
)

const (
	// queueFactor limits the queued requests of one account to queueFactor times the capacity, which is the maximum
	// number of requests in flight.
	queueFactor = 4
	// reserveDivisor reserves a tenth of the capacity, which accounts that have used up their fair share must leave free.
	reserveDivisor = 10
	// batchDivisor reserves a quarter of the capacity, which batch requests must leave free for the other classes.
	batchDivisor = 4
	// durationWeight is the weight of the newest request's duration in averageDuration.
	durationWeight = 0.1
	// rateBurst is the time over which an account can accumulate unused requests of its rate limit, to send in a burst.
	rateBurst = time.Second
)

// Decision is the answer to an offered request: Admit, Queue or Refuse.
type Decision interface {
	isDecision()
}

// Admit lets the request proceed. The caller must call Done when the request has ended.
type Admit struct{}

// Queue makes the request wait in its account's queue. A later call of Done or SetCapacity returns the request's ticket
// once the request may proceed.
type Queue struct {
	Ticket *Ticket
}

// Refuse rejects the request, which the caller must not run.
type Refuse struct {
	Reason request.Reason
}

func (Admit) isDecision()  {}
func (Queue) isDecision()  {}
func (Refuse) isDecision() {}

// Ticket represents a queued request of one account in the controller.
type Ticket struct {
	Account  account.Name
	Class    route.Class
	Deadline time.Time
	// Admitted is closed by the owner of the controller once the controller has admitted the request.
	Admitted chan struct{}
	// removed is set once the ticket has left its queue because it was admitted or abandoned.
	removed bool
}

// accountState holds the queued requests of one account and counts those in flight.
type accountState struct {
	account.Account
	// limiter is nil if the account has no rate limit.
	limiter  *rate.Limiter
	inFlight int
	// queues holds one queue for each class, the most urgent class first.
	queues [route.Batch + 1][]*Ticket
	queued int
}

// share returns the number of requests in flight divided by the account's weight. Max-min fairness serves the account
// with the lowest share first.
func (a *accountState) share() float64 {
	return float64(a.inFlight) / float64(a.Weight)
}

// Controller admits requests by weighted max-min fairness. It is not safe for concurrent use.
type Controller struct {
	// capacity is the maximum number of requests in flight.
	capacity int
	inFlight int
	// batchInFlight is the number of requests in flight that belong to the batch class.
	batchInFlight int
	// totalWeight is the sum of the weights of all accounts.
	totalWeight int
	accounts    map[account.Name]*accountState
	// accountList lists the accounts in a fixed order, as the iteration order of a map would make decisions random.
	accountList []*accountState
	// averageDuration is the moving average of the durations of requests.
	averageDuration time.Duration
}

// New returns a controller that shares the capacity, the maximum number of requests in flight, among the given
// accounts.
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

// SetCapacity changes the maximum number of requests in flight and returns the tickets that are admitted as a result.
func (c *Controller) SetCapacity(capacity int, now time.Time) []*Ticket {
	c.capacity = max(capacity, 1)
	return c.admitQueued(now)
}

// InFlight returns the number of admitted requests that have not ended.
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

// Offer decides whether to admit, queue or refuse a new request.
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

// Done ends an admitted request and returns the tickets that are admitted as a result.
func (c *Controller) Done(name account.Name, class route.Class, duration time.Duration, now time.Time) []*Ticket {
	c.averageDuration += time.Duration(durationWeight * float64(duration-c.averageDuration))
	c.release(c.accounts[name], class)
	return c.admitQueued(now)
}

// Abandon removes a ticket from its queue. It returns false if the ticket has already been admitted; the caller must
// then call Done.
func (c *Controller) Abandon(ticket *Ticket) bool {
	if ticket.removed {
		return false
	}
	c.remove(ticket)
	return true
}

// fits reports whether a request may proceed now. Batch requests must leave a share of the capacity free (see
// batchDivisor), and so must an account that has used up its fair share (see reserveDivisor).
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

// expectedWait estimates the time that a new request of the given class must wait: until the account's fair share of
// the capacity has served the queued requests of this class and of more urgent ones.
func (c *Controller) expectedWait(a *accountState, class route.Class) time.Duration {
	ahead := 0
	for k := route.Urgent; k <= class; k++ {
		ahead += len(a.queues[k])
	}
	slots := max(float64(c.capacity)*float64(a.Weight)/float64(c.totalWeight), 1)
	return time.Duration(float64(c.averageDuration) * float64(ahead) / slots)
}

// admitQueued admits queued tickets while capacity is left, and returns them.
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

// nextTicket returns the ticket to admit next, or nil if no ticket fits. It prefers tickets of a more urgent class and,
// within a class, those of the account with the lowest share.
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

// firstFitting returns the account's most urgent ticket that fits, or nil. It skips tickets past their deadline, as
// their owners abandon such tickets.
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

// remove takes a ticket out of its queue and marks it as removed.
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

// acquire counts a request of the account as in flight.
func (c *Controller) acquire(a *accountState, class route.Class) {
	a.inFlight++
	c.inFlight++
	if class == route.Batch {
		c.batchInFlight++
	}
}

// release stops counting a request of the account as in flight.
func (c *Controller) release(a *accountState, class route.Class) {
	a.inFlight--
	c.inFlight--
	if class == route.Batch {
		c.batchInFlight--
	}
}
