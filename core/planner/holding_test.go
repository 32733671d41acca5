package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/account"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

// amountsOf returns the needs of n tasks with one accelerator each, as simpleJob gives them.
func amountsOf(n int64) resources.Amounts {
	return resources.Amounts{CPU: 1000 * n, Memory: 1000 * n, Accelerators: n}
}

// simpleJob returns a job of one step with tasks that need the given number of accelerators each.
func simpleJob(id, queue, name string, tasks int, accelerators int64, accepted time.Time) *graph.Job {
	return &graph.Job{
		ID: graph.ID(id), Queue: queue, ClientAccount: account.Name(name), Accepted: accepted,
		Steps: []graph.Step{{Tasks: tasks, Estimate: 2 * time.Second, Needs: amountsOf(accelerators), AbsenceLimit: -1}},
	}
}

// limitedPolicy returns testPolicy with a limit of the given number of accelerators for an account.
func limitedPolicy(name account.Name, accelerators int64) *policy.Policy {
	next := testPolicy()
	next.Accounts = append([]policy.Account{}, next.Accounts...)
	for i := range next.Accounts {
		if next.Accounts[i].Name == name {
			next.Accounts[i].Limit.Accelerators = accelerators
			return next
		}
	}
	next.Accounts = append(next.Accounts, policy.Account{
		Name: name, Limit: resources.Amounts{Accelerators: accelerators},
	})
	return next
}

// newLimitedPlanner returns a planner with workers of eight accelerators each that answer.
func newLimitedPlanner(p *policy.Policy, workers int) (*Planner, []roster.Worker, time.Time) {
	now := time.Unix(1000, 0)
	planner := New(testSettings(), p)
	list := workersOf(workers, fullCapacity)
	planner.SetWorkers(list, now)
	for i := range list {
		planner.SetResponsive(list[i].Name, true)
	}
	return planner, list, now
}

// report reports that a worker runs nothing but the given tasks.
func report(p *Planner, w *roster.Worker, now time.Time, runs ...RunningTask) {
	p.LeaseRenewed(w.Name, now)
	p.Observe(Observation{Worker: w.Name, Incarnation: w.Incarnation, Sent: now, Runs: runs}, now)
}

// usageOf returns the usage of one account.
func usageOf(p *Planner, name account.Name) AccountUsage {
	for _, usage := range p.AccountUsage() {
		if usage.Account == name {
			return usage
		}
	}
	return AccountUsage{}
}

// TestUsageThroughALife guards against amounts that are counted twice, or lost, on the way of a unit from its placement
// to the end of its run: a limit would then be exceeded, or would never be free again.
func TestUsageThroughALife(t *testing.T) {
	p, list, now := newLimitedPlanner(limitedPolicy("gold", 8), 1)
	p.Submit(simpleJob("job", "batch", "gold", 2, 2, now), now)
	check := func(running, reserved int64) {
		t.Helper()
		usage := usageOf(p, "gold")
		qt.Check(t, usage.Running, qt.Equals, amountsOf(running))
		qt.Check(t, usage.Reserved, qt.Equals, amountsOf(reserved))
		qt.Check(t, usage.Limit, qt.Equals, resources.Amounts{Accelerators: 8})
	}
	check(0, 0)
	p.Plan(now)
	check(0, 4)
	for _, c := range p.TakeChanges(10) {
		p.Stored(c, now)
	}
	check(4, 0)
	actions := p.Plan(now)
	p.StartAnswered(actions[0].(Start), Unanswered, now)
	p.StartAnswered(actions[1].(Start), Accepted, now)
	check(4, 0)
	p.Cancel("job", now)
	check(4, 0)
	now = now.Add(time.Second)
	for _, a := range p.Plan(now) {
		if stop, isStop := a.(Stop); isStop {
			p.StopAnswered(stop, now)
		}
	}
	report(p, &list[0], now.Add(time.Millisecond))
	check(0, 0)
	qt.Check(t, p.holdings["gold"].stopping, qt.HasLen, 0)
	qt.Check(t, p.holdings["gold"].recording, qt.Equals, resources.Amounts{})
	qt.Check(t, p.holdings["gold"].share("assay").held, qt.Equals, resources.Amounts{})
}

// TestUsageCountsFillersInFull guards against filler tasks that count without the CPU that they use: they reserve none
// on their worker.
func TestUsageCountsFillersInFull(t *testing.T) {
	p, _, now := newLimitedPlanner(limitedPolicy("gold", 8), 1)
	job := simpleJob("job", "batch", "gold", 1, 2, now)
	job.Steps[0].Fills = true
	p.Submit(job, now)
	settle(p, now)
	qt.Check(t, usageOf(p, "gold").Running, qt.Equals, amountsOf(2))
	qt.Check(t, p.workersByName[0].used.CPU, qt.Equals, int64(0))
}
