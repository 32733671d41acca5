package memworker

import (
	"auburnstack/core/graph"
	"auburnstack/core/planner"
)

// unitOf returns the first task of a gang, because the gang finishes as a whole, or the task itself if its job has no
// gangs.
func (f *Fleet) unitOf(task graph.TaskID) graph.TaskID {
	if f.plans[task.Job].Gang > 0 {
		task.Index = 0
	}
	return task
}

// breakGang ends the remaining members of a gang run.
func (f *Fleet) breakGang(task graph.TaskID, id graph.Run) {
	for _, w := range f.workers {
		for other, r := range w.runs {
			if other.Job == task.Job && other.Step == task.Step && other.Occurrence == task.Occurrence && r.id == id {
				w.end(other, planner.EndGangBroken)
			}
		}
	}
}

// members returns the members of a gang run that are present on any worker.
func (f *Fleet) members(task graph.TaskID, id graph.Run) map[graph.TaskID]*run {
	members := map[graph.TaskID]*run{}
	for _, w := range f.workers {
		for other, r := range w.runs {
			if other.Job == task.Job && other.Step == task.Step && other.Occurrence == task.Occurrence && r.id == id {
				members[other] = r
			}
		}
	}
	return members
}

// workerOf returns the worker that holds a run, or nil if the run has ended.
func (f *Fleet) workerOf(task graph.TaskID, r *run) *simulatedWorker {
	for _, w := range f.workers {
		if w.runs[task] == r {
			return w
		}
	}
	return nil
}
