package memworker

import (
	"time"

	"auburnstack/core/graph"
)

const (
	// RegistrationInterval is the time between two writes of a worker's registration (heartbeatMs).
	RegistrationInterval = 1500 * time.Millisecond
	// ContactTime is the time without disruption after which a VM or the store counts as undisturbed (contactMs).
	ContactTime = 3 * time.Second
	// CrashesToGiveUp is the number of workers that must have crashed under a task before its job may be shown as
	// failed.
	CrashesToGiveUp = 2
	// crashesBeforeLimit is the number of workers that may crash under a task before startsAfterCrashes applies.
	// startsAfterCrashes is the number of further starts of such a task that breaks the rule BUDGET.
	crashesBeforeLimit = 3
	startsAfterCrashes = 3
	// RestartLimit is the time within which a task must start again after its worker has left (rule LOST). It ends no
	// sooner than CalmLimit after the last disruption.
	RestartLimit = 4 * time.Second
	// CalmLimit is 4 s without disruption, and 3 s in which the task may not run.
	CalmLimit = 7 * time.Second
)

// StartsAfterCrashes returns the tasks of a job that were started too often after they had crashed their workers (rule
// BUDGET), with the number of these starts. It counts the starts that are not late and for which the function counts
// returns true.
func (f *Fleet) StartsAfterCrashes(id graph.ID, counts func(StartedRun) bool) map[graph.TaskID]int {
	tasks := map[graph.TaskID]int{}
	for _, task := range f.DeadlyTasks(id) {
		excess := 0
		for _, start := range f.Starts(task) {
			if start.Crashes >= crashesBeforeLimit && !start.Late && counts(start) {
				excess++
			}
		}
		if excess >= startsAfterCrashes {
			tasks[task] = excess
		}
	}
	return tasks
}

// FirstStart returns the time of the first start of a task at or after the given time, and false if there is none.
func (f *Fleet) FirstStart(task graph.TaskID, from time.Time) (time.Time, bool) {
	for _, start := range f.Starts(task) {
		if !start.At.Before(from) {
			return start.At, true
		}
	}
	return time.Time{}, false
}
