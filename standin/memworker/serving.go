package memworker

import (
	"time"

	"auburnstack/core/graph"
	"auburnstack/io/runner"
)

const (
	// fullPace is the pace of a task at its start, and the progress of a long-running task that is at work, in percent.
	fullPace = 100
	// startupTime is how long a long-running task takes until it is at work.
	startupTime = 500 * time.Millisecond
	// baseTailLatency is the tail latency of a task that serves with nothing beside it; fillTailLatency is what each task
	// that fills adds at its full pace.
	baseTailLatency = 40 * time.Millisecond
	fillTailLatency = 50 * time.Millisecond
	// overTargetLimit is how long a task that serves may be over its bound because of tasks that fill.
	overTargetLimit = 4 * time.Second
)

func (w *machine) setPace(pace runner.Pace) error {
	if err := w.admit(pace.Fence); err != nil {
		return err
	}
	r, runs := w.runs[pace.Task]
	if !runs || r.id != pace.Run {
		return runner.ErrRejected
	}
	w.checkTailLatency()
	r.pace = pace.Percent
	return nil
}

// atWork tells whether a long-running task serves.
func (r *run) atWork() bool {
	return r.plan.LongRunning && !r.stopping && time.Since(r.startedAt) >= startupTime
}

// tailLatency is the tailLatency latency of the tasks that serve on a worker.
func (w *machine) tailLatency() time.Duration {
	tail := baseTailLatency
	for _, r := range w.runs {
		if r.plan.Fills {
			tail += fillTailLatency * time.Duration(r.pace) / fullPace
		}
	}
	return tail
}

// reading is the figure that a worker reports of a run.
func (w *machine) reading(r *run) float64 {
	if r.plan.TailTarget == 0 {
		return float64(r.plan.Needs.CPU)
	}
	w.checkTailLatency()
	return float64(w.tailLatency().Milliseconds())
}

// checkTailLatency notes tasks that are over their bound for too long because of what fills beside them.
func (w *machine) checkTailLatency() {
	f := w.fleet
	for task, r := range w.runs {
		if !r.atWork() || r.plan.TailTarget == 0 || w.tailLatency() <= r.plan.TailTarget ||
			baseTailLatency > r.plan.TailTarget {
			delete(f.overTargetSince, task)
			continue
		}
		since, known := f.overTargetSince[task]
		if !known {
			f.overTargetSince[task] = time.Now()
		} else if time.Since(since) > overTargetLimit {
			f.recordViolation("%s on %s is disturbed for %s", task, w.info.Name, time.Since(since))
		}
	}
}

// checkAbsence notes a task that is taken out of service while too many others of its job are.
func (w *machine) checkAbsence(task graph.TaskID, r *run) {
	if !r.plan.LongRunning || !r.atWork() || w.fleet.canceledJobs[task.Job] {
		return
	}
	atWork := 0
	for _, other := range w.fleet.workers {
		for id, candidate := range other.runs {
			if id.Job == task.Job && id != task && candidate.atWork() {
				atWork++
			}
		}
	}
	if absent := r.plan.Tasks - 1 - atWork; absent >= r.plan.AbsenceLimit {
		w.fleet.recordViolation("%s is taken out of service while %d others are absent", task, absent)
	}
}
