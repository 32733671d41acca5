package memworker

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
)

// maxPercent is the progress that an unfinished task reports at most.
const maxPercent = 99

// SetSpeed sets the speed of the runs that begin on a worker from now on, in percent of the usual speed.
func (f *Fleet) SetSpeed(name endpoint.Name, percent int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[name].speed = percent
}

// ownWork returns the time that a run's work takes at the speed of the worker.
func (w *simulatedWorker) ownWork(r *run) time.Duration {
	if w.speed == 0 {
		return r.plan.Work
	}
	return r.plan.Work * fullPace / time.Duration(w.speed)
}

// slowestWork returns the time after which a run ends: a gang is as slow as its slowest member.
func (w *simulatedWorker) slowestWork(task graph.TaskID, r *run) time.Duration {
	work := w.ownWork(r)
	if r.plan.Gang == 0 {
		return work
	}
	for other, member := range w.fleet.members(task, r.id) {
		work = max(work, w.fleet.workerOf(other, member).ownWork(member))
	}
	return work
}

// percent returns the progress of a run that is not at work for good.
func (w *simulatedWorker) percent(r *run) int {
	if r.workTimer == nil || w.hung {
		return 0
	}
	return int(min(time.Since(r.startedAt)*maxPercent/max(w.ownWork(r), 1), maxPercent))
}
