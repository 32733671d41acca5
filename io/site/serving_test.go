package site

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/core/machine"
	"auburnstack/core/upkeep"
	"auburnstack/standin/memworker"
)

// longRunningJob returns the steps and the plan of a job whose tasks run until it is canceled. At most absenceLimit of
// them may be out of service at a time.
func longRunningJob(tasks, absenceLimit int, tailTarget time.Duration) ([]graph.Step, memworker.Plan) {
	steps := oneStep(tasks, false, 2)
	steps[0].LongRunning, steps[0].AbsenceLimit, steps[0].TailTarget = true, absenceLimit, tailTarget
	return steps, memworker.Plan{LongRunning: true, Tasks: tasks, AbsenceLimit: absenceLimit, TailTarget: tailTarget}
}

// awaitRunning waits until the wanted number of a job's tasks run, at most for the duration limit, and returns the
// number of tasks that run.
func (f *fleet) awaitRunning(id graph.ID, want int, limit time.Duration) int {
	deadline := time.Now().Add(limit)
	for {
		running := f.workers.Running(id)
		if running == want || time.Now().After(deadline) {
			return running
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// TestAdvisedJobs runs jobs whose tasks start only with a ticket of the adviser, the service that knows on which
// workers they may run, and kills the leader meanwhile. All jobs must finish, and no worker may refuse a start because
// its ticket is missing, has expired or was issued for another worker.
func TestAdvisedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 3, 8)
		defer f.close()
		time.Sleep(2 * time.Second)
		var jobs []graph.ID
		for i := range 6 {
			jobs = append(jobs, f.submit(advisedQueue, oneStep(6, i%2 == 0, 2), memworker.Plan{
				Work: 2 * time.Second, Advised: true, Gang: 6 * ((i + 1) % 2),
			}))
			time.Sleep(500 * time.Millisecond)
		}
		v := f.awaitLeader()
		v.kill()
		time.Sleep(time.Second)
		v.restart()
		qt.Check(t, f.awaitAll(advisedQueue, jobs, graph.Complete, completionTimeout), qt.HasLen, 0)
		qt.Check(t, f.workers.TicketRefusals(), qt.Equals, 0)
		f.checkNoViolations()
	})
}

// TestServingBesideFilling runs filler tasks, which use the processor time that other tasks leave unused, beside
// long-running tasks with a target for their tail latency. The long-running tasks must not stay above the target, and
// must all run again after a takeover by another leader. The filler tasks must finish once the other tasks leave enough
// processor time unused.
func TestServingBesideFilling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 3, 2)
		defer f.close()
		time.Sleep(2 * time.Second)
		steps, plan := longRunningJob(2, 0, 100*time.Millisecond)
		service := f.submit(batchQueue, steps, plan)
		qt.Check(t, f.awaitRunning(service, 2, 10*time.Second), qt.Equals, 2)
		fillerSteps := oneStep(4, false, 0)
		fillerSteps[0].Fills, fillerSteps[0].Needs.CPU = true, 8000
		fillerJob := f.submit(batchQueue, fillerSteps, memworker.Plan{Work: 8 * time.Second, Fills: true})
		qt.Check(t, f.awaitAll(batchQueue, []graph.ID{fillerJob}, graph.Complete, completionTimeout), qt.HasLen, 0)
		v := f.awaitLeader()
		v.kill()
		time.Sleep(time.Second)
		v.restart()
		qt.Check(t, f.awaitRunning(service, 2, 10*time.Second), qt.Equals, 2)
		f.checkNoViolations()
	})
}

// TestWaves runs an upkeep wave over all machines of a site, while the leader is killed. Depending on the seed, at most
// one or two machines may be down at a time. At most one task of the long-running job may be out of service at a time.
func TestWaves(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			maxDown := 1 + int(seed%2)
			f := newFleet(t, seed, 3, 4)
			defer f.close()
			time.Sleep(2 * time.Second)
			steps, plan := longRunningJob(4, 1, 0)
			service := f.submit(batchQueue, steps, plan)
			batch := f.submit(batchQueue, oneStep(8, false, 1), memworker.Plan{Work: 3 * time.Second})
			qt.Check(t, f.awaitRunning(service, 4, 10*time.Second), qt.Equals, 4)
			wave := upkeep.Wave{Number: 1, Duration: 30 * time.Second, MaxDown: maxDown}
			for _, name := range f.workerNames {
				wave.Machines = append(wave.Machines, machine.ID("machine-of-"+name))
			}
			f.inventory.SetWave(wave)
			f.waves = []upkeep.Wave{wave}
			f.putPolicy(2)
			time.Sleep(4 * time.Second)
			v := f.awaitLeader()
			v.kill()
			time.Sleep(time.Second)
			v.restart()
			time.Sleep(wave.Duration)
			qt.Check(t, f.inventory.Begun(1), qt.IsTrue)
			qt.Check(t, f.waveRecord().Complete, qt.IsTrue)
			qt.Check(t, f.awaitRunning(service, 4, 10*time.Second), qt.Equals, 4)
			qt.Check(t, f.awaitAll(batchQueue, []graph.ID{batch}, graph.Complete, completionTimeout), qt.HasLen, 0)
			f.checkNoViolations()
		})
	}
}

// waveRecord returns the status of wave 1, as operators read it from the store.
func (f *fleet) waveRecord() upkeep.Record {
	var record upkeep.Record
	item, err := f.store.Client().Get(f.t.Context(), upkeepCodec{}.StatusKey(1))
	qt.Assert(f.t, err, qt.IsNil)
	qt.Assert(f.t, json.Unmarshal(item.Value, &record), qt.IsNil)
	return record
}

// TestImpossibleJobRefused submits a job with a task that is larger than any worker. Every VM must reject the
// submission, and later jobs must still be accepted and finish.
func TestImpossibleJobRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 3, 4)
		defer f.close()
		time.Sleep(15 * time.Second)
		body, err := json.Marshal(graph.Job{Steps: oneStep(1, false, 9)})
		qt.Assert(t, err, qt.IsNil)
		for _, v := range f.vms {
			a := v.serve("POST", urgentQueue+"00000000000000ff", body)
			qt.Check(t, a.Kind, qt.Equals, answer.Invalid)
			qt.Check(t, a.Reason, qt.Contains, "larger than any worker")
		}
		id := f.submit(urgentQueue, oneStep(1, false, 8), memworker.Plan{Work: time.Second})
		qt.Check(t, f.awaitAll(urgentQueue, []graph.ID{id}, graph.Complete, completionTimeout), qt.HasLen, 0)
		f.checkNoViolations()
	})
}
