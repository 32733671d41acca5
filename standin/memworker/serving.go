package memworker

import (
	"time"

	"auburnstack/core/graph"
	"auburnstack/io/runner"
)

const (
	// fullPace is, in percent, both the pace of a run at its start and the progress that a serving long-running task
	// reports.
	fullPace = 100
	// startupTime is the time from the start of a long-running task until it serves.
	startupTime = 500 * time.Millisecond
	// baseTailLatency is the tail latency of a serving task on a worker without filler tasks.
	// fillTailLatency is the tail latency that each filler task at full pace adds.
	baseTailLatency = 40 * time.Millisecond
	fillTailLatency = 50 * time.Millisecond
	// overTargetLimit is the longest time for which filler tasks may keep the tail latency of a serving task above its
	// target.
	overTargetLimit = 4 * time.Second
)

// setPace changes the pace of a run.
func (w *simulatedWorker) setPace(pace runner.Pace) error {
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

// atWork reports whether a run serves: it belongs to a long-running task, its startup is over, and it is not being
// stopped.
func (r *run) atWork() bool {
	return r.plan.LongRunning && !r.stopping && time.Since(r.startedAt) >= startupTime
}

// tailLatency returns the tail latency of the serving tasks on a worker.
func (w *simulatedWorker) tailLatency() time.Duration {
	tail := baseTailLatency
	for _, r := range w.runs {
		if r.plan.Fills {
			tail += fillTailLatency * time.Duration(r.pace) / fullPace
		}
	}
	return tail
}

// reading returns the figure that a worker reports for a run: the tail latency in milliseconds if the run has a tail
// latency target, otherwise the CPU that the run needs.
func (w *simulatedWorker) reading(r *run) float64 {
	if r.plan.TailTarget == 0 {
		return float64(r.plan.Needs.CPU)
	}
	w.checkTailLatency()
	return float64(w.tailLatency().Milliseconds())
}

// checkTailLatency records a violation for each serving task whose tail latency has exceeded its target for more than
// overTargetLimit. Targets below baseTailLatency do not count, because no pace can meet them.
func (w *simulatedWorker) checkTailLatency() {
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
			f.recordViolation("%s on %s has exceeded its tail latency target for %s", task, w.info.Name, time.Since(since))
		}
	}
}

// checkAbsence records a violation if a serving task is taken out of service while the largest allowed number of other
// tasks of its job is already out of service.
func (w *simulatedWorker) checkAbsence(task graph.TaskID, r *run) {
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
