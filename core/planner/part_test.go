package planner

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

// storedParts holds the stored parts of a job's progress by their numbers.
type storedParts map[int]graph.Progress

// withPart returns the parts with a part that has been stored.
func withPart(parts storedParts, stored graph.Progress) storedParts {
	if parts == nil {
		parts = storedParts{}
	}
	parts[stored.Part] = stored
	return parts
}

// whole returns the progress that all parts make up.
func (s storedParts) whole() graph.Progress {
	var progress graph.Progress
	for _, stored := range s {
		progress.Add(stored)
	}
	return progress
}

// wholeProgress returns the progress of a job that all its parts make up.
func (j *jobState) wholeProgress() graph.Progress {
	var progress graph.Progress
	for _, part := range j.parts {
		progress.Add(part.progress())
	}
	return progress
}

// manyTasks returns a job of the given number of tasks in several steps and occurrences.
func manyTasks(now time.Time, occurrences, steps, tasks int) *graph.Job {
	job := &graph.Job{
		ID: "5c0e7a21d94b36f8", Queue: "batch", Accepted: now,
		Recurrence: &graph.Recurrence{Count: occurrences, First: now, Interval: time.Millisecond},
	}
	for range steps {
		job.Steps = append(job.Steps, graph.Step{
			Tasks: tasks, Checkpoints: true, Estimate: time.Minute, Needs: resources.Amounts{CPU: 1},
		})
	}
	return job
}

// plannerOnLargeWorkers returns a planner with workers that hold thousands of small tasks each.
func plannerOnLargeWorkers(now time.Time) *Planner {
	p := New(testSettings(), testPolicy())
	var workers []roster.Worker
	for i := range 4 {
		workers = append(workers, roster.Worker{
			Name: endpoint.Name(fmt.Sprintf("i-7f3b4b5c-%d", i)), Service: "assay", Incarnation: 1, Rack: "r",
			Capacity: resources.Amounts{CPU: 4000, Memory: 4000},
		})
	}
	p.SetWorkers(workers, now)
	for i := range workers {
		p.SetResponsive(workers[i].Name, true)
	}
	return p
}

// maxRecordBytes is the size that no record of a job with usual checkpoints may reach: a tenth of what the store holds.
const maxRecordBytes = 1 << 20 / 10

// TestRecordsStaySmall guards against a record that outgrows the store, so that nothing starts any more on the site: the
// largest jobs are placed, and then crashed under, failed and checkpointed as often as any unit can be.
func TestRecordsStaySmall(t *testing.T) {
	for _, test := range []struct{ occurrences, steps, tasks int }{
		{4, 1, 2048}, {1, 2, 4096}, {1, 256, 32}, {8192, 1, 1}, {512, 4, 4},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := plannerOnLargeWorkers(now)
			p.Submit(manyTasks(now, test.occurrences, test.steps, test.tasks), now)
			now = now.Add(time.Minute)
			settle(p, now)
			units, largest := 0, 0
			for _, part := range p.jobs["5c0e7a21d94b36f8"].parts {
				for _, u := range part.units {
					u.run, u.failures, u.failedRun, u.crashAge = 1e6, 4, 1e6, time.Minute
					u.setCrashes(mostCrashCounts(0))
					u.newestIncarnation, u.checkpoint = 1764921600000, strings.Repeat("c", 64)
				}
				record := part.progress()
				value, err := json.Marshal(record)
				qt.Assert(t, err, qt.IsNil)
				units += len(record.Units)
				largest = max(largest, len(value))
			}
			qt.Check(t, units, qt.Equals, test.occurrences*test.steps*test.tasks)
			qt.Check(t, largest < maxRecordBytes, qt.IsTrue, qt.Commentf("%d bytes", largest))
		})
	}
}

// TestGangRecordStaysSmall guards against a record that outgrows the store: workers have crashed under all tasks of the
// largest gang as often as they can, in different runs.
func TestGangRecordStaysSmall(t *testing.T) {
	now := time.Unix(1000, 0)
	p := plannerOnLargeWorkers(now)
	job := manyTasks(now, 1, 1, graph.MaxTasks)
	job.Steps[0].Gang = true
	p.Submit(job, now)
	now = now.Add(time.Minute)
	settle(p, now)
	part := p.jobs[job.ID].parts[0]
	u := part.units[0]
	u.run, u.checkpoint = 1e6, strings.Repeat("c", 64)
	for task := range graph.MaxTasks {
		c := mostCrashCounts(task)
		c.CrashedRun -= graph.Run(task % 32)
		u.setCrashes(c)
	}
	value, err := json.Marshal(part.progress())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, u.members, qt.HasLen, graph.MaxTasks)
	qt.Check(t, len(value) < maxRecordBytes, qt.IsTrue, qt.Commentf("%d bytes", len(value)))
}

// mostCrashCounts returns the largest counts that a task can have, with the newest run that was counted.
func mostCrashCounts(task int) taskCrashes {
	return taskCrashes{index: task, CrashCounts: graph.CrashCounts{
		Crashes: 4, UnambiguousCrashes: 2, ExcusedCrashes: 5, CrashedRun: 1e6,
	}}
}

// TestPartsAreStoredInTurn checks that each part is stored although others change all the time, and that ends are
// acknowledged only when all changes before them are stored.
func TestPartsAreStoredInTurn(t *testing.T) {
	now := time.Unix(1000, 0)
	p := plannerOnLargeWorkers(now)
	p.Submit(manyTasks(now, 1, 1, 10*maxPartTasks), now)
	p.Plan(now)
	j := p.jobs["5c0e7a21d94b36f8"]
	qt.Assert(t, j.parts, qt.HasLen, 10)
	placed := p.LastChange()
	for turn := range 5 {
		qt.Check(t, p.StoredUpTo() < placed, qt.IsTrue, qt.Commentf("turn %d", turn))
		changes := p.TakeChanges(2)
		qt.Assert(t, changes, qt.HasLen, 2)
		for _, c := range changes {
			p.markDirty(j.parts[c.Progress.Part])
			p.Stored(c, now)
		}
	}
	qt.Check(t, p.StoredUpTo() >= placed, qt.IsTrue)
	qt.Check(t, p.TakeActions(), qt.HasLen, 10*maxPartTasks)
}

// TestRecordOfEarlierBuild checks that a job whose record has all units is stored anew in parts, the part that replaces
// this record last.
func TestRecordOfEarlierBuild(t *testing.T) {
	now := time.Unix(1000, 0)
	job := &graph.Job{ID: "j", Queue: "batch", Accepted: now, Steps: []graph.Step{{Tasks: 3 * maxPartTasks}}}
	old := graph.Progress{ID: "j", State: graph.Queued}
	for i := range 3 * maxPartTasks {
		old.Units = append(old.Units, graph.UnitProgress{Index: i, Run: 1, Done: i%2 == 0})
	}
	p := New(testSettings(), testPolicy())
	p.Restore(job, old, now)
	stored := storedParts{}
	var order []int
	for p.HasChanges() {
		for _, c := range p.TakeChanges(1) {
			order = append(order, c.Progress.Part)
			stored = withPart(stored, c.Progress)
			p.Stored(c, now)
		}
	}
	qt.Check(t, order, qt.DeepEquals, []int{2, 1, 0})
	qt.Check(t, stored.whole().Units, qt.ContentEquals, old.Units)

	again := New(testSettings(), testPolicy())
	again.Restore(job, stored.whole(), now)
	qt.Check(t, again.HasChanges(), qt.IsFalse)
}

// TestRejectedRecord checks that a job whose progress the store rejects is given up, that the record is not sent again as
// it is, and that the other parts are stored.
func TestRejectedRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	p := plannerOnLargeWorkers(now)
	p.Submit(manyTasks(now, 1, 1, 2*maxPartTasks), now)
	p.Plan(now)
	changes := p.TakeChanges(10)
	qt.Assert(t, changes, qt.HasLen, 2)
	qt.Check(t, p.Rejected(changes[1], now), qt.IsTrue)
	p.Stored(changes[0], now)
	changes = p.TakeChanges(10)
	qt.Assert(t, changes, qt.HasLen, 2)
	qt.Check(t, changes[0].Progress.State, qt.Equals, graph.Failed)
	qt.Check(t, changes[1].Progress.Units, qt.HasLen, 0)
	qt.Check(t, p.Stored(changes[0], now), qt.IsTrue)
	qt.Check(t, p.Rejected(changes[1], now), qt.IsFalse)
	qt.Check(t, p.HasChanges(), qt.IsFalse)
}
