package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/core/policy"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
	"auburnstack/io/runner"
)

// capacityTerm is a term with one worker, whose control goroutine is the test, and the start orders of one job with a task
// for each accelerator of the worker.
type capacityTerm struct {
	*term
	t      *testing.T
	worker *scriptedWorker
	link   *link
	info   roster.Worker
	starts []planner.Action
}

func newCapacityTerm(t *testing.T) *capacityTerm {
	w := &scriptedWorker{answers: []func() (runner.HoldReply, error){reply(1, 0)}}
	c := &capacityTerm{term: newTestTerm(w), t: t, worker: w, info: roster.Worker{
		Name: "w", Service: "assay", Incarnation: 1, Capacity: resources.Amounts{Accelerators: 2}, Labels: []string{"a"},
	}}
	c.planner = planner.New(c.config.Settings, &policy.Policy{Queues: []policy.Queue{
		{Name: "urgent", Service: "assay"}, {Name: "long", Service: "assay", Priority: 1},
	}})
	c.link = newLink(c.term, c.info)
	c.links["w"] = c.link
	c.orders = newOrders(c.role.Context(), c.term)
	time.Sleep(100 * time.Millisecond)
	c.handleEvents()
	c.register()
	c.submit("a", "long", 2)
	c.starts = c.place()
	qt.Assert(t, c.starts, qt.HasLen, 2)
	return c
}

// submit submits a job whose tasks need one accelerator each.
func (c *capacityTerm) submit(id graph.ID, queue string, tasks int) {
	c.planner.Submit(&graph.Job{ID: id, Queue: queue, Accepted: time.Now(), Steps: []graph.Step{{
		Tasks: tasks, Needs: resources.Amounts{Accelerators: 1}, Label: "a", Estimate: time.Second, AbsenceLimit: -1,
	}}}, time.Now())
}

// place places the waiting tasks and returns the planner's actions.
func (c *capacityTerm) place() []planner.Action {
	c.planner.Tick()
	c.planner.Plan(time.Now())
	for _, change := range c.planner.TakeChanges(10) {
		c.planner.Stored(change, time.Now())
	}
	return c.planner.TakeActions()
}

// register makes the planner read the worker's registration.
func (c *capacityTerm) register() {
	c.rosterReadAt = time.Now()
	c.planner.SetWorkers([]roster.Worker{c.info}, time.Now())
	c.planner.SetResponsive("w", true)
}

// shrink registers the worker with a single accelerator.
func (c *capacityTerm) shrink() {
	c.info.Capacity.Accelerators = 1
	c.register()
}

// startUnanswered sends both starts, which get no answer.
func (c *capacityTerm) startUnanswered() (first, second planner.Start) {
	first, second = c.starts[0].(planner.Start), c.starts[1].(planner.Start)
	c.orders.issue(first)
	c.orders.issue(second)
	c.handleEvents()
	qt.Assert(c.t, c.worker.startCount(), qt.Equals, 2)
	return first, second
}

// observe reports to the planner which runs the worker has.
func (c *capacityTerm) observe(runs ...planner.RunningTask) []planner.Action {
	c.planner.Observe(planner.Observation{Worker: "w", Incarnation: 1, Sent: time.Now(), Runs: runs}, time.Now())
	return c.planner.TakeActions()
}

// confirmStarts lets the worker run the tasks for so long that a restart of the worker is no evidence against them.
func (c *capacityTerm) confirmStarts() {
	time.Sleep(4 * time.Second)
	c.handleEvents()
	var runs []planner.RunningTask
	for _, action := range c.starts {
		start := action.(planner.Start)
		runs = append(runs, planner.RunningTask{Task: start.Task, Run: start.Run})
	}
	c.observe(runs...)
	c.register()
}

// retryOrders sends the pending orders again.
func (c *capacityTerm) retryOrders() {
	time.Sleep(orderRetryPause)
	c.handleEvents()
	c.orders.retry(time.Now())
	synctest.Wait()
}

// handleEvents handles the events that have arrived, except that the worker stays responsive.
func (c *capacityTerm) handleEvents() {
	synctest.Wait()
	for {
		select {
		case e := <-c.events:
			c.handle(e)
			c.planner.SetResponsive(endpoint.Name("w"), true)
		default:
			c.link.setUnresponsive(false)
			return
		}
	}
}

func (c *capacityTerm) close() {
	c.role.Resign()
	c.link.Close()
	c.work.Wait()
}

// TestNoFirstStartAfterShrink guards against a start that waits to be sent, here because the worker has not answered,
// and is sent although the worker has shrunk below what was placed on it.
func TestNoFirstStartAfterShrink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacityTerm(t)
		defer c.close()
		c.link.setUnresponsive(true)
		for _, start := range c.starts {
			c.orders.issue(start)
		}
		qt.Check(t, c.orders.pending, qt.HasLen, 2)
		c.shrink()
		c.link.setUnresponsive(false)
		time.Sleep(orderRetryPause)
		c.orders.retry(time.Now())
		synctest.Wait()
		qt.Check(t, c.worker.startCount(), qt.Equals, 1)
		qt.Check(t, c.orders.pending, qt.HasLen, 1)
		c.info.Capacity.Accelerators = 2
		c.register()
		qt.Check(t, c.place(), qt.HasLen, 1, qt.Commentf("the task whose start was withdrawn is placed again"))
	})
}

// TestLeastUrgentStartsAreWithdrawn guards against urgent work that is withdrawn from a worker that has shrunk while less
// urgent work starts there. The pending orders have no order, so the test repeats.
func TestLeastUrgentStartsAreWithdrawn(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			c := newCapacityTerm(t)
			defer c.close()
			c.info.Capacity.Accelerators = 3
			c.register()
			c.submit("b", "urgent", 1)
			c.link.setUnresponsive(true)
			for _, start := range append(c.starts, c.place()...) {
				c.orders.issue(start)
			}
			qt.Assert(t, c.orders.pending, qt.HasLen, 3)
			c.shrink()
			c.retryOrders()
			qt.Check(t, c.worker.startCount(), qt.Equals, 1)
			qt.Assert(t, c.orders.pending, qt.HasLen, 1)
			for key := range c.orders.pending {
				qt.Check(t, key.task.Job, qt.Equals, graph.ID("b"))
			}
		})
	}
}

// TestNoRepeatedStartAfterShrink guards against a start that is sent again, after an attempt without an answer, to a worker
// that has shrunk meanwhile: the run may not exist yet. It is sent again once the worker has grown.
func TestNoRepeatedStartAfterShrink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacityTerm(t)
		defer c.close()
		c.startUnanswered()
		c.shrink()
		c.retryOrders()
		qt.Check(t, c.worker.startCount(), qt.Equals, 2)
		qt.Check(t, c.orders.pending, qt.HasLen, 2)

		c.info.Capacity.Accelerators = 2
		c.register()
		c.retryOrders()
		qt.Check(t, c.worker.startCount(), qt.Equals, 4)
	})
}

// TestNoRepeatedStartBesideUnwantedRun guards against a start that is sent again, after an attempt without an answer, to a
// worker that reports a run which should not exist: that run takes the resources. The start is given up by a stop.
func TestNoRepeatedStartBesideUnwantedRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacityTerm(t)
		defer c.close()
		first, second := c.startUnanswered()
		time.Sleep(time.Millisecond)
		unwanted := planner.RunningTask{Task: graph.TaskID{Job: "forgotten"}, Run: 1}
		qt.Check(t, c.observe(planner.RunningTask{Task: first.Task, Run: first.Run}, unwanted), qt.DeepEquals, []planner.Action{
			planner.Stop{Worker: "w", Task: unwanted.Task, Run: 1, Reason: planner.NotWanted},
			planner.Stop{Worker: "w", Task: second.Task, Run: second.Run, Reason: planner.NoCapacity},
		})
		c.retryOrders()
		qt.Check(t, c.worker.startCount(), qt.Equals, 2)
	})
}

// TestUnansweredStartIsSettledAfterShrink guards against a task that waits for good for a start that is not sent again.
// The worker's report shows whether the first attempt has started the run. If not, a stop rules out that it starts late.
func TestUnansweredStartIsSettledAfterShrink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacityTerm(t)
		defer c.close()
		first, second := c.startUnanswered()
		c.shrink()
		time.Sleep(time.Millisecond)
		running := planner.RunningTask{Task: first.Task, Run: first.Run}
		stop := planner.Stop{Worker: "w", Task: second.Task, Run: second.Run, Reason: planner.NoCapacity}
		qt.Check(t, c.observe(running), qt.DeepEquals, []planner.Action{stop})
		time.Sleep(orderRetryPause)
		c.orders.retry(time.Now())
		qt.Check(t, c.orders.pending, qt.HasLen, 0)

		c.planner.StopAnswered(stop, time.Now())
		time.Sleep(time.Millisecond)
		c.observe(running)
		c.info.Capacity.Accelerators = 2
		c.register()
		again := c.place()
		qt.Assert(t, again, qt.HasLen, 1)
		qt.Check(t, again[0].(planner.Start).Task, qt.Equals, second.Task)
		qt.Check(t, again[0].(planner.Start).Run > second.Run, qt.IsTrue)
	})
}

// TestNoStartOnOldRegistration guards against a start on a worker whose own registration is old although the registrations
// were read just now, as after an outage of the store: the worker may have shrunk longer ago than a start may ignore.
func TestNoStartOnOldRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacityTerm(t)
		defer c.close()
		clock, known := c.link.workerClock(time.Now(), 1)
		qt.Assert(t, known, qt.IsTrue)
		c.info.Clock = clock - c.maxRegistrationAge() - time.Millisecond
		c.register()
		c.orders.issue(c.starts[0])
		synctest.Wait()
		qt.Check(t, c.worker.startCount(), qt.Equals, 0)

		c.info.Clock = clock - c.maxRegistrationAge() + orderRetryPause + time.Millisecond
		time.Sleep(orderRetryPause)
		c.register()
		c.orders.retry(time.Now())
		synctest.Wait()
		qt.Check(t, c.worker.startCount(), qt.Equals, 1)
	})
}

// TestRegistrationAgeBound checks that what is known of a capacity plus one attempt of an order stays within the time after
// which a start must respect a smaller capacity, and that a worker that registers on time isn't held back.
func TestRegistrationAgeBound(t *testing.T) {
	c := newTerm(Config{Settings: planner.Settings{RegistrationInterval: 1500 * time.Millisecond}}, nil)
	qt.Check(t, c.maxRegistrationAge()+orderTimeout <= 3*time.Second+1500*time.Millisecond, qt.IsTrue)
	qt.Check(t, c.maxRegistrationAge() > 2*1500*time.Millisecond, qt.IsTrue)
}
