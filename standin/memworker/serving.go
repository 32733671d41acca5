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
	// calmTail is the tail latency of a task that serves with nothing beside it; fillTail is what each task that fills
	// adds at its full pace.
	calmTail = 40 * time.Millisecond
	fillTail = 50 * time.Millisecond
	// disturbLimit is how long a task that serves may be over its bound because of tasks that fill.
	disturbLimit = 4 * time.Second
)

func (w *machine) setPace(pace runner.Pace) error {
	if err := w.admit(pace.Fence); err != nil {
		return err
	}
	r, runs := w.runs[pace.Task]
	if !runs || r.id != pace.Run {
		return runner.ErrRejected
	}
	w.checkDisturbed()
	r.pace = pace.Percent
	return nil
}

// atWork tells whether a long-running task serves.
func (r *run) atWork() bool {
	return r.plan.LongRunning && !r.stopping && time.Since(r.arrived) >= startupTime
}

// tail is the tail latency of the tasks that serve on a worker.
func (w *machine) tail() time.Duration {
	tail := calmTail
	for _, r := range w.runs {
		if r.plan.Fills {
			tail += fillTail * time.Duration(r.pace) / fullPace
		}
	}
	return tail
}

// reading is the figure that a worker reports of a run.
func (w *machine) reading(r *run) float64 {
	if r.plan.TailTarget == 0 {
		return float64(r.plan.Needs.CPU)
	}
	w.checkDisturbed()
	return float64(w.tail().Milliseconds())
}

// checkDisturbed notes tasks that are over their bound for too long because of what fills beside them.
func (w *machine) checkDisturbed() {
	f := w.fleet
	for task, r := range w.runs {
		if !r.atWork() || r.plan.TailTarget == 0 || w.tail() <= r.plan.TailTarget || calmTail > r.plan.TailTarget {
			delete(f.disturbed, task)
			continue
		}
		since, known := f.disturbed[task]
		if !known {
			f.disturbed[task] = time.Now()
		} else if time.Since(since) > disturbLimit {
			f.violate("%s on %s is disturbed for %s", task, w.info.Name, time.Since(since))
		}
	}
}

// checkAbsence notes a task that is taken out of service while too many others of its job are.
func (w *machine) checkAbsence(task graph.TaskID, r *run) {
	if !r.plan.LongRunning || !r.atWork() || w.fleet.canceled[task.Job] {
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
		w.fleet.violate("%s is taken out of service while %d others are absent", task, absent)
	}
}
