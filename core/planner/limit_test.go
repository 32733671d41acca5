package planner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/account"
	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

// ordersOf returns the tasks that actions start and stop.
func ordersOf(actions []Action) (started, stopped []string) {
	for _, a := range actions {
		switch a := a.(type) {
		case Start:
			started = append(started, a.Task.String())
		case Stop:
			stopped = append(stopped, a.Task.String())
		}
	}
	return started, stopped
}

// endUnit ends the run of a job's first unit.
func endUnit(p *Planner, id graph.ID, kind EndKind, now time.Time) {
	for _, m := range append([]*member{}, p.jobs[id].units[0][0][0].members...) {
		p.memberEnded(m, kind, "", now)
	}
}

// answerAll reports all running members as active and, if they are long-running, in service.
func answerAll(p *Planner) {
	for _, w := range p.workersByName {
		for m := range w.members {
			if m.state == unconfirmed {
				m.state, m.percent = active, fullPercent
			}
		}
	}
}

// TestHotAccountStaysWithinLimit guards against an account with five times its usual load that takes the workers of
// other accounts: its starts must end at its limit, and the next one must follow as soon as a run has ended.
func TestHotAccountStaysWithinLimit(t *testing.T) {
	p, _, now := newLimitedPlanner(limitedPolicy("gold", 16), 6)
	for i := range 40 {
		p.Submit(simpleJob(fmt.Sprintf("hot-%02d", i), "batch", "gold", 1, 2, now), now)
	}
	p.Submit(simpleJob("group", "batch", "gold", 30, 2, now), now)
	started, _ := ordersOf(settle(p, now))
	qt.Check(t, started, qt.HasLen, 8)
	usage := usageOf(p, "gold")
	qt.Check(t, usage.Running, qt.Equals, amountsOf(16))
	qt.Check(t, usage.Waiting, qt.Equals, 62)
	qt.Check(t, usage.WaitingForLimit, qt.Equals, 62)

	p.Submit(simpleJob("other", "batch", "silver", 1, 2, now), now)
	started, _ = ordersOf(settle(p, now))
	qt.Check(t, started, qt.DeepEquals, []string{"other.0.0.0"})

	endUnit(p, "group", EndDone, now)
	started, _ = ordersOf(settle(p, now))
	qt.Check(t, started, qt.HasLen, 1)
	qt.Check(t, usageOf(p, "gold").Running, qt.Equals, amountsOf(16))
}

// TestGroupStaysWithinLimit guards against a group of tasks that are placed in one search and reserve workers beyond the
// limit of their account.
func TestGroupStaysWithinLimit(t *testing.T) {
	next := limitedPolicy("gold", 16)
	next.Queues = next.Queues[1:]
	p, _, now := newLimitedPlanner(next, 6)
	p.Submit(simpleJob("group", "batch", "gold", 30, 2, now), now)
	p.Plan(now)
	qt.Check(t, usageOf(p, "gold").Reserved, qt.Equals, amountsOf(16))
}

// TestLimitOfOneAccountDoesNotFailOthers guards against a round that skips another account's units because a unit with
// the same demand exceeds the limit of its own account.
func TestLimitOfOneAccountDoesNotFailOthers(t *testing.T) {
	for _, queue := range []string{"urgent", "batch"} {
		// Accounts with a guarantee have demands of their own.
		p, _, now := newLimitedPlanner(limitedPolicy("bronze", 2), 6)
		p.Submit(simpleJob("a", queue, "bronze", 1, 4, now), now)
		p.Submit(simpleJob("b", queue, "iron", 1, 4, now), now)
		started, _ := ordersOf(settle(p, now))
		qt.Check(t, started, qt.DeepEquals, []string{"b.0.0.0"}, qt.Commentf(queue))
	}
}

// TestTwoAccountsAtTheirLimits guards against gangs that start in part or beyond a limit, and against a gang that does not
// fit and blocks smaller work: two accounts have gangs on fragmented workers, each more than its limit.
func TestTwoAccountsAtTheirLimits(t *testing.T) {
	next := limitedPolicy("gold", 20)
	next.Accounts[1].Limit.Accelerators = 10
	p, _, now := newLimitedPlanner(next, 12)
	p.Submit(simpleJob("fragments", "batch", "bronze", 8, 3, now), now)
	settle(p, now)
	for _, name := range []string{"gold", "silver"} {
		for i := range 3 {
			job := simpleJob(fmt.Sprintf("%s-%d", name, i), "long", name, 3, 3, now)
			job.Steps[0].Gang = true
			p.Submit(job, now)
		}
		p.Submit(simpleJob(name+"-small", "batch", name, 9, 1, now), now)
	}
	settle(p, now)
	gold, silver := usageOf(p, "gold"), usageOf(p, "silver")
	qt.Check(t, gold.Running.Accelerators, qt.Equals, int64(9+9+2))
	qt.Check(t, silver.Running.Accelerators, qt.Equals, int64(9+1))
	qt.Check(t, []int{gold.Waiting, gold.WaitingForLimit}, qt.DeepEquals, []int{1 + 7, 1 + 7})
	qt.Check(t, []int{silver.Waiting, silver.WaitingForLimit}, qt.DeepEquals, []int{2 + 8, 2 + 8})

	endUnit(p, "silver-0", EndDone, now)
	started, _ := ordersOf(settle(p, now))
	qt.Check(t, started, qt.DeepEquals, []string{"silver-1.0.0.0", "silver-1.0.0.1", "silver-1.0.0.2"})
}

// TestBlockedUnitsCauseNoLoop guards against units that wait for their account's limit and make the planner decide or
// store again and again although nothing has changed.
func TestBlockedUnitsCauseNoLoop(t *testing.T) {
	p, _, now := newLimitedPlanner(limitedPolicy("gold", 4), 2)
	p.Submit(simpleJob("a", "urgent", "gold", 1, 4, now), now)
	p.Submit(simpleJob("b", "urgent", "gold", 20, 2, now), now)
	p.Submit(simpleJob("c", "batch", "gold", 20, 2, now), now)
	settle(p, now)
	for range 5 {
		p.Tick()
		qt.Check(t, p.Plan(now), qt.HasLen, 0)
		qt.Check(t, p.HasChanges(), qt.IsFalse)
		qt.Check(t, p.needsPlacement, qt.IsFalse)
		// Nothing of the account can be stopped, so no worker and no run is examined.
		qt.Check(t, p.lastExamined, qt.Equals, 0)
	}
}

// TestLoweredLimitWithdrawsPlacements guards against placements that start after the limit was lowered, and against runs
// that are stopped for it. The least urgent placements must be withdrawn. A raised limit must apply at once.
func TestLoweredLimitWithdrawsPlacements(t *testing.T) {
	p, _, now := newLimitedPlanner(limitedPolicy("gold", 12), 2)
	p.Submit(simpleJob("running", "batch", "gold", 1, 4, now), now)
	settle(p, now)
	p.Submit(simpleJob("urgent", "urgent", "gold", 1, 4, now), now)
	p.Submit(simpleJob("batch", "batch", "gold", 1, 4, now), now)
	p.Plan(now)
	changes := p.TakeChanges(10)
	qt.Assert(t, changes, qt.HasLen, 2)

	p.SetPolicy(limitedPolicy("gold", 8))
	for _, c := range changes {
		p.Stored(c, now)
	}
	started, stopped := ordersOf(settle(p, now))
	qt.Check(t, started, qt.DeepEquals, []string{"urgent.0.0.0"})
	qt.Check(t, stopped, qt.HasLen, 0)

	p.SetPolicy(limitedPolicy("gold", 3))
	started, stopped = ordersOf(settle(p, now))
	qt.Check(t, len(started)+len(stopped), qt.Equals, 0)
	qt.Check(t, usageOf(p, "gold").Running, qt.Equals, amountsOf(8))

	p.SetPolicy(limitedPolicy("gold", 12))
	started, _ = ordersOf(settle(p, now))
	qt.Check(t, started, qt.DeepEquals, []string{"batch.0.0.0"})
}

// TestRaisedLimitAppliesInRound guards against a limit that is raised while a round is not finished and that does not
// help the units that the round has tried already.
func TestRaisedLimitAppliesInRound(t *testing.T) {
	p, _, now := newLimitedPlanner(limitedPolicy("gold", 2), 4)
	p.examineLimit = 1
	p.Submit(simpleJob("a", "urgent", "gold", 1, 4, now), now)
	p.Submit(simpleJob("b", "batch", "silver", 1, 1, now), now)
	p.Submit(simpleJob("c", "batch", "bronze", 1, 1, now.Add(time.Second)), now)
	p.Plan(now)
	qt.Assert(t, p.InRound(), qt.IsTrue)
	p.SetPolicy(limitedPolicy("gold", 4))
	p.Plan(now)
	qt.Check(t, p.jobs["a"].units[0][0][0].isPlaced(), qt.IsTrue)
}

// TestLimitLoweredWhileWaitingForCapacity guards against a placement that waits for stopped runs to end and starts after
// the limit of its account was lowered.
func TestLimitLoweredWhileWaitingForCapacity(t *testing.T) {
	p, _, now := newLimitedPlanner(limitedPolicy("gold", 8), 1)
	p.Submit(simpleJob("victim", "batch", "silver", 1, 8, now), now)
	settle(p, now)
	answerAll(p)
	p.Submit(simpleJob("urgent", "urgent", "gold", 1, 8, now), now)
	_, stopped := ordersOf(settle(p, now))
	qt.Assert(t, stopped, qt.DeepEquals, []string{"victim.0.0.0"})
	qt.Assert(t, usageOf(p, "gold").Reserved, qt.Equals, amountsOf(8))
	p.SetPolicy(limitedPolicy("gold", 7))
	endUnit(p, "victim", EndStopped, now)
	started, _ := ordersOf(settle(p, now))
	qt.Check(t, started, qt.DeepEquals, []string{"victim.0.0.0"})
	qt.Check(t, usageOf(p, "gold").Reserved, qt.Equals, resources.Amounts{})
}

// TestUnexpectedRunsCount guards against starts beyond the limit while a worker still runs what should have ended: such a
// run may be reported after a placement was submitted for storage. It counts until its worker no longer reports it, has
// restarted, or its lease has expired, even if the worker has no registration any more.
func TestUnexpectedRunsCount(t *testing.T) {
	ends := map[string]func(p *Planner, list []roster.Worker, now time.Time){
		"report": func(p *Planner, list []roster.Worker, now time.Time) { report(p, &list[1], now) },
		"restart": func(p *Planner, list []roster.Worker, now time.Time) {
			list[1].Incarnation++
			p.SetWorkers(list, now)
		},
		"lease": func(p *Planner, list []roster.Worker, now time.Time) {
			p.LeaseRenewed(list[0].Name, now.Add(time.Minute))
			p.SetWorkers(list[:1], now)
			qt.Check(t, usageOf(p, "gold").Running, qt.Equals, amountsOf(4))
			p.now, p.lastSweep = now.Add(time.Minute), now
			p.expireLeases(now.Add(time.Minute))
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			p, list, now := newLimitedPlanner(limitedPolicy("gold", 4), 2)
			report(p, &list[0], now)
			report(p, &list[1], now)
			p.Submit(simpleJob("job", "batch", "gold", 1, 4, now), now)
			p.Plan(now)
			changes := p.TakeChanges(10)
			qt.Assert(t, changes, qt.HasLen, 1)
			report(p, &list[1], now, RunningTask{Task: graph.TaskID{Job: "job"}, Run: 9})
			p.Stored(changes[0], now)
			started, _ := ordersOf(settle(p, now))
			qt.Check(t, started, qt.HasLen, 0)
			qt.Check(t, usageOf(p, "gold").Running, qt.Equals, amountsOf(4))
			end(p, list, now.Add(time.Second))
			qt.Check(t, usageOf(p, "gold").Running, qt.Equals, resources.Amounts{})
		})
	}
}

// TestTakeoverCountsUnansweredOrders guards against a new leader that starts work beyond a limit because it does not count
// the orders of its predecessor that may still be carried out, or the runs of a job that has ended.
func TestTakeoverCountsUnansweredOrders(t *testing.T) {
	first, list, now := newLimitedPlanner(limitedPolicy("gold", 8), 3)
	jobs := []*graph.Job{
		simpleJob("unanswered", "batch", "gold", 1, 4, now), simpleJob("canceled", "batch", "gold", 1, 4, now),
	}
	for _, job := range jobs {
		first.Submit(job, now)
	}
	settle(first, now)
	first.Cancel("canceled", now)

	second := New(testSettings(), limitedPolicy("gold", 8))
	second.SetWorkers(list, now)
	for _, job := range jobs {
		second.Restore(job, first.jobs[job.ID].wholeProgress(), now)
	}
	second.Submit(simpleJob("next", "batch", "gold", 1, 4, now), now)
	for i := range list {
		second.SetResponsive(list[i].Name, true)
	}
	qt.Check(t, usageOf(second, "gold").Running, qt.Equals, amountsOf(8))
	started, _ := ordersOf(settle(second, now))
	qt.Check(t, started, qt.HasLen, 0)

	// The workers' reports show that neither run exists.
	now = now.Add(time.Second)
	for i := range list {
		report(second, &list[i], now)
	}
	settle(second, now)
	qt.Check(t, usageOf(second, "gold").Running, qt.Equals, amountsOf(8))
	qt.Check(t, second.jobs["next"].units[0][0][0].phase, qt.Equals, running)
	qt.Check(t, second.jobs["unanswered"].units[0][0][0].run, qt.Equals, graph.Run(2))
}

// TestUnansweredStartAboveLoweredLimit guards against a start that its worker did not answer and that is repeated until
// it begins a run after the limit was lowered.
func TestUnansweredStartAboveLoweredLimit(t *testing.T) {
	for limit, stops := range map[int64]int{8: 0, 4: 1, 2: 2} {
		p, list, now := newLimitedPlanner(limitedPolicy("gold", 8), 2)
		for _, w := range list {
			report(p, &w, now)
		}
		p.Submit(simpleJob("a", "batch", "gold", 2, 4, now), now)
		actions := settle(p, now)
		for _, a := range actions {
			p.StartAnswered(a.(Start), Unanswered, now)
		}
		p.SetPolicy(limitedPolicy("gold", limit))
		qt.Check(t, p.OverLimit(actions[0].(Start)), qt.Equals, limit < 8)
		now = now.Add(100 * time.Millisecond)
		for i := range list {
			report(p, &list[i], now)
		}
		_, stopped := ordersOf(p.Plan(now))
		qt.Check(t, stopped, qt.HasLen, stops, qt.Commentf("limit %d", limit))
	}
}

// TestAdviserIsNotAskedAboveLimit guards against a unit that waits for its account's limit and uses the adviser, which
// answers one question at a time, while units of other accounts wait for tickets.
func TestAdviserIsNotAskedAboveLimit(t *testing.T) {
	p, _, now := newLimitedPlanner(limitedPolicy("gold", 2), 2)
	p.Submit(simpleJob("a", "advised", "gold", 1, 4, now.Add(-time.Second)), now)
	p.Submit(simpleJob("b", "advised", "silver", 1, 4, now), now)
	actions := p.Plan(now)
	qt.Assert(t, actions, qt.HasLen, 1)
	qt.Check(t, actions[0].(Consult).Step.Job, qt.Equals, graph.ID("b"))
}

// TestHeadroomOfLimitedAccount guards against accelerators that are kept free for urgent jobs that the limit of their
// account does not allow, while other accounts wait for them.
func TestHeadroomOfLimitedAccount(t *testing.T) {
	p, _, now := newLimitedPlanner(limitedPolicy("gold", 8), 10)
	for i := range 20 {
		p.Submit(simpleJob(fmt.Sprintf("hot-%02d", i), "urgent", "gold", 1, 8, now), now)
	}
	qt.Check(t, p.headroom.target("assay", 80, now), qt.Equals, int64(8))
	p.Submit(simpleJob("other", "urgent", "silver", 1, 8, now), now)
	qt.Check(t, p.headroom.target("assay", 80, now), qt.Equals, int64(8+6))
}

// workerOf returns the worker of a job's first task.
func workerOf(p *Planner, id graph.ID) endpoint.Name {
	return p.jobs[id].units[0][0][0].members[0].worker.Name
}

// heldBy returns the accelerators that an account holds in runs and placements.
func heldBy(p *Planner, name account.Name) int64 {
	usage := usageOf(p, name)
	return usage.Running.Accelerators + usage.Reserved.Accelerators
}
