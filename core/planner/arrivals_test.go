package planner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/account"
	"auburnstack/core/graph"
)

// TestEndedJobsAreNotQueuedFor guards against an account that comes after all others for minutes because it has once
// submitted many jobs in a short time, although they have ended and it has kept to its rate since. A new leader must
// order its jobs alike.
func TestEndedJobsAreNotQueuedFor(t *testing.T) {
	next := weightedPolicy(map[account.Name]float64{"gold": 1, "silver": 1})
	first, list, now := newLimitedPlanner(next, 40)
	var jobs []*graph.Job
	submit := func(name string, holder string) {
		job := simpleJob(name, "batch", holder, 1, 1, now)
		jobs = append(jobs, job)
		first.Submit(job, now)
	}
	for i := range 60 {
		submit(fmt.Sprintf("burst-%02d", i), "gold")
	}
	settle(first, now)
	for i := range 60 {
		endUnit(first, graph.ID(fmt.Sprintf("burst-%02d", i)), EndDone, now)
	}
	settle(first, now)
	now = now.Add(5 * time.Second)
	submit("gold", "gold")
	now = now.Add(time.Millisecond)
	submit("silver", "silver")
	want := []graph.ID{"gold", "silver"}
	qt.Check(t, orderOf(first, now), qt.DeepEquals, want)

	second := New(testSettings(), next)
	second.SetWorkers(list, now)
	for _, job := range jobs {
		second.Restore(job, first.jobs[job.ID].wholeProgress(), now)
	}
	qt.Check(t, orderOf(second, now), qt.DeepEquals, want)
}
