package planner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/account"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/core/resources"
)

// weightedPolicy returns testPolicy with weights, and without headroom for urgent work.
func weightedPolicy(weights map[account.Name]float64) *policy.Policy {
	next := testPolicy()
	next.Queues = next.Queues[1:]
	next.Accounts = nil
	for name, weight := range weights {
		next.Accounts = append(next.Accounts, policy.Account{Name: name, Weight: weight})
	}
	return next
}

// TestWeightsDivideAFullService guards against accounts that take a full service in the order of their deadlines, and
// against an account that takes all of it in one decision while it holds less than its share.
func TestWeightsDivideAFullService(t *testing.T) {
	for _, test := range []struct {
		name         string
		weights      map[account.Name]float64
		gold, silver int
		// heldGold and heldSilver are the accelerators that the accounts get, of 32.
		heldGold, heldSilver int64
	}{
		{"three to one", map[account.Name]float64{"gold": 3, "silver": 1}, 60, 60, 24, 8},
		{"fractional", map[account.Name]float64{"gold": 0.5, "silver": 0.5}, 60, 60, 16, 16},
		{"absent weight is 1", map[account.Name]float64{"gold": 3}, 60, 60, 24, 8},
		{"share not asked for", map[account.Name]float64{"gold": 3, "silver": 1}, 5, 60, 5, 27},
		{"no weights", nil, 60, 60, 0, 32},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, _, now := newLimitedPlanner(weightedPolicy(test.weights), 4)
			p.Submit(simpleJob("silver", "batch", "silver", test.silver, 1, now.Add(-time.Second)), now)
			p.Submit(simpleJob("gold", "batch", "gold", test.gold, 1, now), now)
			settle(p, now)
			qt.Check(t, p.holdings["gold"].running.Accelerators, qt.Equals, test.heldGold)
			qt.Check(t, p.holdings["silver"].running.Accelerators, qt.Equals, test.heldSilver)
		})
	}
}

// TestSharesCountTheDominantResource guards against shares that count one resource only: an account whose tasks need
// little CPU and many accelerators must not pass one that holds half as much of the service.
func TestSharesCountTheDominantResource(t *testing.T) {
	p, list, now := newLimitedPlanner(weightedPolicy(map[account.Name]float64{"gold": 1, "silver": 1}), 1)
	list[0].Capacity = fullCapacity.Times(4)
	p.SetWorkers(list, now)
	add := func(name string, needs resources.Amounts, accepted time.Time) {
		job := simpleJob(name, "batch", name, 100, 1, accepted)
		job.Steps[0].Needs = needs
		p.Submit(job, now)
	}
	add("gold", resources.Amounts{CPU: 1000, Memory: 100, Accelerators: 2}, now.Add(-time.Second))
	add("silver", resources.Amounts{CPU: 2000, Memory: 100, Accelerators: 1}, now)
	settle(p, now)
	// The accelerators are used up when both hold two thirds: 10.7 tasks each. The eleventh of silver does not fit.
	qt.Check(t, p.holdings["gold"].running.Accelerators, qt.Equals, int64(22))
	qt.Check(t, p.holdings["silver"].running.CPU, qt.Equals, int64(20000))
}

// TestLimitedShareGoesToOthers guards against a share that is kept for an account that its limit excludes from it.
func TestLimitedShareGoesToOthers(t *testing.T) {
	next := weightedPolicy(map[account.Name]float64{"bronze": 1, "silver": 3})
	next.Accounts = append(next.Accounts, policy.Account{
		Name: "gold", Weight: 4, Limit: resources.Amounts{Accelerators: 4},
	})
	p, _, now := newLimitedPlanner(next, 4)
	for i, name := range []string{"bronze", "silver", "gold"} {
		p.Submit(simpleJob(name, "batch", name, 60, 1, now.Add(time.Duration(i)*time.Millisecond)), now)
	}
	settle(p, now)
	qt.Check(t, p.holdings["gold"].running.Accelerators, qt.Equals, int64(4))
	qt.Check(t, p.holdings["silver"].running.Accelerators, qt.Equals, int64(21))
	qt.Check(t, p.holdings["bronze"].running.Accelerators, qt.Equals, int64(7))
}

// orderOf returns the IDs of the jobs with waiting units in the order in which they are placed.
func orderOf(p *Planner, now time.Time) []graph.ID {
	var ids []graph.ID
	for _, step := range p.queueOrder(now) {
		ids = append(ids, step.units[0].job.ID)
	}
	return ids
}

// TestJobsBeyondTheRateComeLast guards against an account that gets ahead of others by submitting more jobs than its
// weight allows. Its jobs must come within the rate as time passes, and a new leader must order them alike.
func TestJobsBeyondTheRateComeLast(t *testing.T) {
	next := weightedPolicy(map[account.Name]float64{"gold": 2, "silver": 1})
	// The service has room for all, so that no account exceeds its share.
	first, _, now := newLimitedPlanner(next, 40)
	var jobs []*graph.Job
	for i := range 5 {
		jobs = append(jobs, simpleJob(fmt.Sprintf("gold-%d", i), "batch", "gold", 1, 1, now.Add(time.Duration(i)*time.Millisecond)))
	}
	jobs = append(jobs, simpleJob("silver", "batch", "silver", 1, 1, now.Add(10*time.Millisecond)),
		simpleJob("long", "long", "gold", 1, 1, now.Add(11*time.Millisecond)))
	for _, job := range jobs {
		first.Submit(job, now)
	}
	now = now.Add(20 * time.Millisecond)
	want := []graph.ID{"long", "gold-0", "gold-1", "silver", "gold-2", "gold-3", "gold-4"}
	qt.Check(t, orderOf(first, now), qt.DeepEquals, want)

	second, _, _ := newLimitedPlanner(next, 40)
	qt.Check(t, orderOf(second, now), qt.HasLen, 0)
	for i := range jobs {
		second.Restore(jobs[len(jobs)-1-i], graph.Progress{}, now)
	}
	qt.Check(t, orderOf(second, now), qt.DeepEquals, want)

	now = now.Add(500 * time.Millisecond)
	qt.Check(t, orderOf(first, now), qt.DeepEquals, []graph.ID{"long", "gold-0", "gold-1", "gold-2", "silver", "gold-3", "gold-4"})

	first.SetPolicy(weightedPolicy(nil))
	qt.Check(t, orderOf(first, now), qt.DeepEquals, []graph.ID{"long", "gold-0", "gold-1", "gold-2", "gold-3", "gold-4", "silver"})
}

// TestNoAccountStarves guards against an account of small weight that gets nothing while others submit more than the
// service can run: it must get about its share of the starts.
func TestNoAccountStarves(t *testing.T) {
	weights := map[account.Name]float64{"gold": 8, "silver": 4, "bronze": 1}
	p, _, now := newLimitedPlanner(weightedPolicy(weights), 4)
	starts := map[account.Name]int{}
	for i := range 200 {
		now = now.Add(100 * time.Millisecond)
		for name := range weights {
			p.Submit(simpleJob(fmt.Sprintf("%s-%03d", name, i), "batch", string(name), 12, 1, now), now)
		}
		for _, w := range p.workersByName {
			p.LeaseRenewed(w.Name, now)
			for _, m := range w.sortedMembers() {
				if m.unit.phase == running && now.Sub(m.unit.startedAt) >= 400*time.Millisecond {
					p.memberEnded(m, EndDone, "", now)
				}
			}
		}
		for _, a := range settle(p, now) {
			if start, isStart := a.(Start); isStart {
				starts[p.jobs[start.Task.Job].ClientAccount]++
			}
		}
	}
	total := float64(starts["gold"] + starts["silver"] + starts["bronze"])
	for name, weight := range weights {
		share := float64(starts[name]) / total
		qt.Check(t, share > 0.7*weight/13 && share < 1.3*weight/13, qt.IsTrue, qt.Commentf("%s: %.3f of %v", name, share, starts))
	}
}

// TestAbsentResourceLeavesShares guards against weights without effect because one job waits for a resource of which the
// service has nothing left.
func TestAbsentResourceLeavesShares(t *testing.T) {
	p, list, now := newLimitedPlanner(weightedPolicy(map[account.Name]float64{"gold": 3, "silver": 1}), 4)
	for i := range list {
		list[i].Capacity.Accelerators = 0
	}
	p.SetWorkers(list, now)
	p.Submit(simpleJob("accelerated", "batch", "silver", 1, 1, now), now)
	for i, name := range []string{"silver", "gold"} {
		job := simpleJob(name, "batch", name, 60, 0, now.Add(time.Duration(i)*time.Second))
		job.Steps[0].Needs = resources.Amounts{CPU: 1000}
		p.Submit(job, now)
	}
	settle(p, now)
	qt.Check(t, p.holdings["gold"].running.CPU, qt.Equals, int64(24000))
	qt.Check(t, p.holdings["silver"].running.CPU, qt.Equals, int64(8000))
}
