package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/account"
	"auburnstack/core/request"
	"auburnstack/core/route"
)

var start = time.Unix(0, 0)

// twoAccounts returns a controller of the given capacity for two accounts, where "large" has three times the weight of
// "small".
func twoAccounts(capacity int) *Controller {
	return New([]account.Account{{Name: "large", Weight: 3}, {Name: "small", Weight: 1}}, capacity)
}

// offer offers a request whose deadline is a minute away.
func offer(c *Controller, name account.Name, class route.Class) Decision {
	return c.Offer(name, class, start.Add(time.Minute), start)
}

// TestSharesByWeight guards against an account that starves the others. It checks that an account that floods a VM
// leaves a reserve of the capacity free for other accounts, and that freed capacity is shared among the accounts by
// weight.
func TestSharesByWeight(t *testing.T) {
	c := qt.New(t)
	controller := twoAccounts(20)
	for range 60 {
		offer(controller, "large", route.Urgent)
	}
	c.Assert(controller.InFlight(), qt.Equals, 18)
	_, admitted := offer(controller, "small", route.Urgent).(Admit)
	c.Assert(admitted, qt.IsTrue)
	for range 30 {
		offer(controller, "small", route.Urgent)
	}
	admittedOf := map[account.Name]int{}
	for range 40 {
		for _, ticket := range controller.Done("large", route.Urgent, time.Millisecond, start) {
			admittedOf[ticket.Account]++
		}
		controller.Offer("large", route.Urgent, start.Add(time.Minute), start)
	}
	c.Assert(controller.accounts["small"].inFlight >= 5, qt.IsTrue)
}

// TestUrgentBeforeBatch checks that an urgent request is admitted before a batch request that has waited longer.
func TestUrgentBeforeBatch(t *testing.T) {
	c := qt.New(t)
	controller := twoAccounts(4)
	for range 4 {
		offer(controller, "large", route.Urgent)
	}
	offer(controller, "large", route.Batch)
	urgent := offer(controller, "large", route.Urgent).(Queue)
	admitted := controller.Done("large", route.Urgent, time.Millisecond, start)
	c.Assert(admitted, qt.HasLen, 1)
	c.Assert(admitted[0], qt.Equals, urgent.Ticket)
}

// TestRefusesEarly checks that a request is refused at once if it would miss its deadline in the queue or if the queue
// is full.
func TestRefusesEarly(t *testing.T) {
	c := qt.New(t)
	controller := twoAccounts(1)
	offer(controller, "large", route.Urgent)
	controller.averageDuration = 10 * time.Second
	for range 3 {
		offer(controller, "large", route.Urgent)
	}
	decision := controller.Offer("large", route.Urgent, start.Add(time.Second), start)
	c.Assert(decision, qt.Equals, Decision(Refuse{Reason: request.DeadlineTooClose}))
	offer(controller, "large", route.Urgent)
	c.Assert(offer(controller, "large", route.Urgent), qt.Equals, Decision(Refuse{Reason: request.QueueFull}))
}

// TestAbandonedTicket checks that a ticket that its owner has abandoned is never admitted.
func TestAbandonedTicket(t *testing.T) {
	c := qt.New(t)
	controller := twoAccounts(1)
	offer(controller, "large", route.Urgent)
	queued := offer(controller, "large", route.Urgent).(Queue)
	c.Assert(controller.Abandon(queued.Ticket), qt.IsTrue)
	c.Assert(controller.Done("large", route.Urgent, 0, start), qt.HasLen, 0)
	c.Assert(controller.InFlight(), qt.Equals, 0)
}
