package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/graph"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

// TestFailureCountsOnce checks that a failure counts once although a worker reports it to two leaders, one after the
// other. A gang's failure is stored while other members are still ending. The worker may still report the failed run
// after that, so a new leader may see it again.
func TestFailureCountsOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	list := []roster.Worker{
		{Name: "w1", Service: "assay", Incarnation: 1, Capacity: resources.Amounts{CPU: 1, Accelerators: 1}},
		{Name: "w2", Service: "assay", Incarnation: 1, Capacity: resources.Amounts{CPU: 1, Accelerators: 1}},
	}
	job := &graph.Job{ID: "job", Queue: "long", ClientAccount: "gold", Accepted: now, Steps: []graph.Step{
		{Tasks: 2, Gang: true, Estimate: time.Second, Needs: resources.Amounts{Accelerators: 1}},
	}}
	first := New(testSettings(), testPolicy())
	first.SetWorkers(list, now)
	first.SetResponsive("w1", true)
	first.SetResponsive("w2", true)
	first.Submit(job, now)
	settle(first, now)
	failed := Observation{
		Worker: "w1", Incarnation: 1, Sent: now,
		Ended: []EndedRun{{Task: graph.TaskID{Job: "job"}, Run: 1, Kind: EndFailed}},
	}
	first.Observe(failed, now)
	stored := first.TakeChanges(1)[0].Progress
	qt.Assert(t, stored.Units[0].Failures, qt.Equals, 1)

	second := New(testSettings(), testPolicy())
	second.SetWorkers(list, now)
	second.Restore(job, stored, now)
	now = now.Add(time.Second)
	failed.Sent = now
	second.Observe(failed, now)
	second.Observe(Observation{
		Worker: "w2", Incarnation: 1, Sent: now,
		Ended: []EndedRun{{Task: graph.TaskID{Job: "job", Index: 1}, Run: 1, Kind: EndGangBroken}},
	}, now)
	state, known := second.State("job")
	qt.Assert(t, known, qt.IsTrue)
	qt.Check(t, state, qt.Not(qt.Equals), graph.Failed)
	qt.Check(t, second.jobs["job"].units[0][0][0].failures, qt.Equals, 1)
}

// TestTakeoverCountsStopsThatAreDue guards against work that a new leader stops in vain for an urgent unit, although the
// runs of an ended job, which it has just ordered to stop, leave room below the account's limit.
func TestTakeoverCountsStopsThatAreDue(t *testing.T) {
	for _, ended := range []string{"before the takeover", "in the takeover"} {
		first, list, now := newLimitedPlanner(limitedPolicy("gold", 8), 3)
		jobs := []*graph.Job{
			simpleJob("canceled", "batch", "gold", 1, 4, now), simpleJob("kept", "batch", "gold", 1, 4, now),
		}
		for _, job := range jobs {
			first.Submit(job, now)
		}
		settle(first, now)
		if ended == "before the takeover" {
			first.Cancel("canceled", now)
		}
		second := New(testSettings(), limitedPolicy("gold", 8))
		for _, job := range jobs {
			second.Restore(job, first.jobs[job.ID].wholeProgress(), now)
		}
		second.Cancel("canceled", now)
		second.SetWorkers(list, now)
		for i := range list {
			second.SetResponsive(list[i].Name, true)
		}
		second.Submit(simpleJob("urgent", "urgent", "gold", 1, 4, now), now)
		_, stopped := ordersOf(settle(second, now))
		qt.Check(t, stopped, qt.DeepEquals, []string{"canceled.0.0.0"}, qt.Commentf(ended))
	}
}

// TestEndStoredInPart lets a leader go that has stored the end of a job's last run, but not yet that of the job: the
// two are in different records. Guards against LOST and BUDGET: the job never ended, or its task started again after
// it had failed, or crashed its worker, as often as it may.
func TestEndStoredInPart(t *testing.T) {
	const tasks = maxPartTasks + 1
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		last graph.UnitProgress
		want graph.State
	}{
		{graph.UnitProgress{Index: tasks - 1, Run: 1, Done: true}, graph.Complete},
		{graph.UnitProgress{Index: tasks - 1, Run: 2, Failures: 2, FailedRun: 2}, graph.Failed},
		{graph.UnitProgress{Index: tasks - 1, Run: 4, Crashes: 4, UnambiguousCrashes: 4, CrashedRun: 4}, graph.Failed},
	} {
		progress := graph.Progress{ID: "job", State: graph.Queued, Parts: 2, Units: []graph.UnitProgress{test.last}}
		for index := range tasks - 1 {
			progress.Units = append(progress.Units, graph.UnitProgress{Index: index, Run: 1, Done: true})
		}
		p := New(testSettings(), testPolicy())
		p.SetWorkers([]roster.Worker{{
			Name: "w", Service: "assay", Incarnation: 1, Capacity: amountsOf(8),
		}}, now)
		p.SetResponsive("w", true)
		p.Restore(simpleJob("job", "batch", "gold", tasks, 1, now), progress, now)
		qt.Check(t, settle(p, now), qt.HasLen, 0)
		state, _ := p.State("job")
		qt.Check(t, state, qt.Equals, test.want)
	}
}
