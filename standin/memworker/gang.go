package memworker

import (
	"auburnstack/core/graph"
	"auburnstack/core/planner"
)

// unitOf returns the first task of a gang, as its end stands for all, or the task itself.
func (f *Fleet) unitOf(task graph.TaskID) graph.TaskID {
	if f.plans[task.Job].Gang > 0 {
		task.Index = 0
	}
	return task
}

// breakGang ends the other members of a gang.
func (f *Fleet) breakGang(task graph.TaskID, id graph.Run) {
	for _, w := range f.workers {
		for other, r := range w.runs {
			if other.Job == task.Job && other.Step == task.Step && other.Occurrence == task.Occurrence && r.id == id {
				w.end(other, planner.EndGangBroken)
			}
		}
	}
}

// members returns the present members of a gang's run.
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

func (f *Fleet) workerOf(task graph.TaskID, r *run) *machine {
	for _, w := range f.workers {
		if w.runs[task] == r {
			return w
		}
	}
	return nil
}
