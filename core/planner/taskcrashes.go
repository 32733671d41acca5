package planner

import (
	"cmp"
	"slices"

	"auburnstack/core/graph"
)

const (
	// maxUnambiguousCrashes is the number of unambiguous crashes after which a task is given up.
	maxUnambiguousCrashes = 2
	// maxCrashes is the number of crashes, ambiguous or not, after which a task is given up.
	maxCrashes = 4
	// maxLosses is the number of crashes after which a task is given up even if it was not suspected of some of them:
	// tasks of several jobs that crash their workers excuse each other.
	maxLosses = 5
	// closeLosses is the number of crashes under a task of a gang from which on all crashes under its gang count for it.
	// The number of further starts is bounded then, whichever task of the gang is the first to crash its worker.
	closeLosses = 3
)

// taskCrashes counts the crashes of workers under one task of a unit.
type taskCrashes struct {
	// index is the index of the task within the unit.
	index int
	graph.CrashCounts
}

// deadly reports whether the task crashes the workers that start it.
func (c taskCrashes) deadly() bool {
	return c.UnambiguousCrashes >= maxUnambiguousCrashes || c.Crashes >= maxCrashes || c.losses() >= maxLosses
}

// losses returns the number of counted crashes, whether the task is suspected of them or not.
func (c taskCrashes) losses() int {
	return c.Crashes + c.ExcusedCrashes
}

// crashes returns the crashes that were counted for the task of a run.
func (r lostRun) crashes() taskCrashes {
	return r.unit.crashesUnder(r.Task.Index - r.unit.index)
}

// crashesUnder returns the crashes that were counted for the unit's task with the given index.
func (u *unit) crashesUnder(index int) taskCrashes {
	if i, found := u.findCrashes(index); found {
		return u.crashes[i]
	}
	return taskCrashes{index: index}
}

// setCrashes replaces the crashes that were counted for a task.
func (u *unit) setCrashes(changed taskCrashes) {
	i, found := u.findCrashes(changed.index)
	if !found {
		u.crashes = slices.Insert(u.crashes, i, taskCrashes{})
	}
	u.crashes[i] = changed
}

// findCrashes returns the position in unit.crashes at which a task is or would be, and whether it is there.
func (u *unit) findCrashes(index int) (int, bool) {
	return slices.BinarySearchFunc(u.crashes, taskCrashes{index: index}, compareIndexes)
}

func compareIndexes(a, b taskCrashes) int { return cmp.Compare(a.index, b.index) }

// mostCrashes returns the largest number of crashes of which one of the unit's tasks is suspected.
func (u *unit) mostCrashes() int {
	most := 0
	for _, c := range u.crashes {
		most = max(most, c.Crashes)
	}
	return most
}

// deadlyTask returns a task of the unit that crashes the workers that start it, and false if there is none.
func (u *unit) deadlyTask() (taskCrashes, bool) {
	i := slices.IndexFunc(u.crashes, taskCrashes.deadly)
	if i < 0 {
		return taskCrashes{}, false
	}
	return u.crashes[i], true
}

// excuseOthers counts the loss of a gang's run for those tasks of the gang that have closeLosses already.
func (u *unit) excuseOthers(run graph.Run) {
	for i := range u.crashes {
		c := &u.crashes[i]
		if c.losses() >= closeLosses && run > c.CrashedRun {
			c.ExcusedCrashes++
			c.CrashedRun = run
		}
	}
}

// recordCrashes adds the counted crashes to the unit's record.
func (u *unit) recordCrashes(record *graph.UnitProgress) {
	if u.spec().Gang {
		record.TaskCrashes = u.groupedCrashes()
		return
	}
	c := u.crashesUnder(0)
	record.Crashes, record.UnambiguousCrashes = c.Crashes, c.UnambiguousCrashes
	record.ExcusedCrashes, record.CrashedRun = c.ExcusedCrashes, c.CrashedRun
}

// groupedCrashes returns the counted crashes with one entry for all tasks that have the same counts.
func (u *unit) groupedCrashes() []graph.TaskCrashes {
	var groups []graph.TaskCrashes
	position := map[graph.CrashCounts]int{}
	for _, c := range u.crashes {
		i, known := position[c.CrashCounts]
		if !known {
			i = len(groups)
			position[c.CrashCounts] = i
			groups = append(groups, graph.TaskCrashes{CrashCounts: c.CrashCounts})
		}
		groups[i].Indexes = append(groups[i].Indexes, c.index)
	}
	return groups
}

// restoreCrashes takes the counted crashes from the unit's record. What an earlier build has counted for a gang as a
// whole says nothing about a task.
func (u *unit) restoreCrashes(record *graph.UnitProgress) {
	u.crashAge = record.CrashAge
	if u.spec().Gang {
		u.restoreGroups(record.TaskCrashes)
		return
	}
	counts := graph.CrashCounts{
		Crashes: record.Crashes, UnambiguousCrashes: record.UnambiguousCrashes,
		ExcusedCrashes: record.ExcusedCrashes, CrashedRun: record.CrashedRun,
	}
	if counts != (graph.CrashCounts{}) {
		u.setCrashes(taskCrashes{CrashCounts: counts})
	}
}

func (u *unit) restoreGroups(groups []graph.TaskCrashes) {
	for _, group := range groups {
		for _, index := range group.Indexes {
			u.crashes = append(u.crashes, taskCrashes{index: index, CrashCounts: group.CrashCounts})
		}
	}
	slices.SortFunc(u.crashes, compareIndexes)
}
