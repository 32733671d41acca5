package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newReclaimCase returns a planner with three workers on which the account gold, with a limit of 8 accelerators, runs two batch jobs of
// four. The job "old" has run for a second longer than "new".
func newReclaimCase(limit int64) (*Planner, time.Time) {
	p, list, now := newLimitedPlanner(limitedPolicy("gold", limit), 3)
	p.Submit(simpleJob("old", "batch", "gold", 1, 4, now), now)
	settle(p, now)
	now = now.Add(time.Second)
	p.Submit(simpleJob("new", "batch", "gold", 1, 4, now), now)
	settle(p, now)
	answerAll(p)
	for i := range list {
		p.LeaseRenewed(list[i].Name, now)
	}
	return p, now.Add(time.Second)
}

// TestUrgentUnitReclaimsItsLimit guards against an urgent unit that waits although less urgent work of its account uses
// the limit. It must stop the work that loses least, although workers are free, and start only after that has ended.
func TestUrgentUnitReclaimsItsLimit(t *testing.T) {
	p, now := newReclaimCase(8)
	p.Submit(simpleJob("urgent-1", "urgent", "gold", 1, 4, now), now)
	started, stopped := ordersOf(settle(p, now))
	qt.Check(t, started, qt.HasLen, 0)
	qt.Check(t, stopped, qt.DeepEquals, []string{"new.0.0.0"})

	// A second unit that the runs being stopped will make room for stops nothing else.
	p.Submit(simpleJob("urgent-2", "urgent", "gold", 1, 4, now), now)
	_, stopped = ordersOf(settle(p, now))
	qt.Check(t, stopped, qt.DeepEquals, []string{"old.0.0.0"})
	p.Submit(simpleJob("urgent-3", "urgent", "gold", 1, 4, now), now)
	_, stopped = ordersOf(settle(p, now))
	qt.Check(t, stopped, qt.HasLen, 0)

	now = now.Add(300 * time.Millisecond)
	endUnit(p, "new", EndStopped, now)
	started, _ = ordersOf(settle(p, now))
	qt.Check(t, started, qt.DeepEquals, []string{"urgent-1.0.0.0"})
	qt.Check(t, usageOf(p, "gold").Running, qt.Equals, amountsOf(8))
}

// TestNothingIsStoppedInVain guards against stops that do not make the start possible: the limit or the workers must
// suffice after the stops.
func TestNothingIsStoppedInVain(t *testing.T) {
	t.Run("limit below the unit", func(t *testing.T) {
		p, now := newReclaimCase(8)
		p.SetPolicy(limitedPolicy("gold", 3))
		p.Submit(simpleJob("urgent", "urgent", "gold", 1, 4, now), now)
		_, stopped := ordersOf(settle(p, now))
		qt.Check(t, stopped, qt.HasLen, 0)
	})
	t.Run("limit used by urgent work", func(t *testing.T) {
		p, now := newReclaimCase(12)
		p.Submit(simpleJob("first", "urgent", "gold", 1, 4, now), now)
		settle(p, now)
		gang := simpleJob("urgent", "urgent", "gold", 3, 4, now)
		gang.Steps[0].Gang = true
		p.Submit(gang, now)
		_, stopped := ordersOf(settle(p, now))
		qt.Check(t, stopped, qt.HasLen, 0)
	})
	t.Run("workers full", func(t *testing.T) {
		p, now := newReclaimCase(8)
		p.policy.Accounts[0].Guaranteed = 0
		p.Submit(simpleJob("full", "urgent", "bronze", 4, 4, now), now)
		settle(p, now)
		p.Submit(simpleJob("urgent", "urgent", "gold", 1, 8, now), now)
		p.workers[workerOf(p, "old")].retired = true
		_, stopped := ordersOf(settle(p, now))
		qt.Check(t, stopped, qt.HasLen, 0)
	})
	t.Run("victim does not answer", func(t *testing.T) {
		p, now := newReclaimCase(8)
		p.Unanswered(workerOf(p, "old"), now)
		p.Unanswered(workerOf(p, "new"), now)
		p.Submit(simpleJob("urgent", "urgent", "gold", 1, 4, now), now)
		_, stopped := ordersOf(settle(p, now))
		qt.Check(t, stopped, qt.HasLen, 0)
		qt.Check(t, usageOf(p, "gold").Reserved.Accelerators, qt.Equals, int64(0))
	})
}

// TestReclaimStopsOwnWorkOnFullWorkers guards against two sets of victims, one for the limit and one for the workers,
// where stopping work of the account serves both.
func TestReclaimStopsOwnWorkOnFullWorkers(t *testing.T) {
	p, now := newReclaimCase(8)
	p.Submit(simpleJob("silver", "batch", "silver", 4, 4, now), now)
	settle(p, now)
	answerAll(p)
	now = now.Add(100 * time.Millisecond)
	p.Submit(simpleJob("urgent", "urgent", "gold", 1, 4, now), now)
	_, stopped := ordersOf(settle(p, now))
	qt.Check(t, stopped, qt.DeepEquals, []string{"new.0.0.0"})
}

// TestReclaimPrefersWorkThatServesBoth guards against two stops, the cheapest one for the limit and the cheapest one for
// the workers, where one stop that costs less than both serves the limit and the workers.
func TestReclaimPrefersWorkThatServesBoth(t *testing.T) {
	p, _, now := newLimitedPlanner(limitedPolicy("gold", 16), 3)
	pauses := []time.Duration{100 * time.Millisecond, time.Second, time.Second}
	for i, name := range []string{"gold", "gold", "silver"} {
		job := simpleJob(string('a'+rune(len(p.jobs))), "batch", name, 1, 8, now)
		if name == "silver" {
			// The headroom for urgent work concerns accelerators only.
			job.Steps[0].Needs.Accelerators = 0
		}
		p.Submit(job, now)
		settle(p, now)
		now = now.Add(pauses[i])
	}
	answerAll(p)
	// The second job of the account is the cheaper one to stop, but its worker gets no new tasks.
	p.workers[workerOf(p, "b")].retired = true
	p.Submit(simpleJob("urgent", "urgent", "gold", 1, 8, now), now)
	_, stopped := ordersOf(settle(p, now))
	qt.Check(t, stopped, qt.DeepEquals, []string{"a.0.0.0"})
}

// TestOtherAccountsAreNotStoppedAboveLimit guards against the preemption of other accounts' work for a unit that its own
// account's limit does not allow.
func TestOtherAccountsAreNotStoppedAboveLimit(t *testing.T) {
	p, _, now := newLimitedPlanner(limitedPolicy("gold", 4), 1)
	p.Submit(simpleJob("silver", "batch", "silver", 2, 4, now), now)
	settle(p, now)
	p.Submit(simpleJob("urgent", "urgent", "gold", 1, 8, now), now)
	_, stopped := ordersOf(settle(p, now))
	qt.Check(t, stopped, qt.HasLen, 0)
}

// TestOverdueStopsReleaseWorkers guards against a placement that holds its workers until the lease of another worker has
// expired, because work that was stopped for the account's limit does not end.
func TestOverdueStopsReleaseWorkers(t *testing.T) {
	p, now := newReclaimCase(8)
	p.Submit(simpleJob("urgent", "urgent", "gold", 1, 4, now), now)
	settle(p, now)
	qt.Assert(t, heldBy(p, "gold"), qt.Equals, int64(12))
	p.Unanswered(workerOf(p, "old"), now)
	p.Unanswered(workerOf(p, "new"), now)
	now = now.Add(capacityTimeout + time.Millisecond)
	p.Tick()
	started, _ := ordersOf(settle(p, now))
	qt.Check(t, started, qt.HasLen, 0)
	qt.Check(t, heldBy(p, "gold"), qt.Equals, int64(8))
	qt.Check(t, p.jobs["urgent"].units[0][0][0].phase, qt.Equals, waiting)
}

// TestReclaimSparesServices guards against long-running tasks that are stopped for a unit beyond its account's guarantee,
// or more of them at a time than their step allows to be absent.
func TestReclaimSparesServices(t *testing.T) {
	for _, test := range []struct {
		guaranteed, wanted int64
		stops              int
	}{{0, 2, 0}, {2, 2, 1}, {4, 4, 0}} {
		next := limitedPolicy("gold", 4)
		next.Accounts[0].Guaranteed = test.guaranteed
		p, _, now := newLimitedPlanner(next, 2)
		service := simpleJob("service", "batch", "gold", 2, 2, now)
		service.Steps[0].LongRunning, service.Steps[0].AbsenceLimit = true, 1
		p.Submit(service, now)
		settle(p, now)
		answerAll(p)
		p.Submit(simpleJob("urgent", "urgent", "gold", 1, test.wanted, now), now)
		_, stopped := ordersOf(settle(p, now))
		qt.Check(t, stopped, qt.HasLen, test.stops, qt.Commentf("%+v", test))
	}
}
