package planner

import (
	"sort"
	"time"

	"auburnstack/core/graph"
)

// phase is the place of a unit in its life.
type phase int

const (
	// blocked units wait for earlier steps or for their due time.
	blocked phase = iota
	// waiting units can be placed.
	waiting
	// awaitingCapacity units are placed and wait until there is room.
	awaitingCapacity
	// recording units wait until their placement is stored.
	recording
	// running units were ordered to start.
	running
	// ending units have lost a member or are being stopped.
	ending
	// finished units will not run again.
	finished
)

// unit is what is placed as a whole: all tasks of a gang, or one task outside a gang.
type unit struct {
	job        *jobState
	occurrence int
	step       int
	// index is the task's; 0 for a gang.
	index int
	phase phase
	run   graph.Run
	// failures counts the runs that ended as failed.
	failures int
	// failedRun is the last run that was counted in failures.
	failedRun  graph.Run
	checkpoint string
	// members of the newest run, by index; empty when nothing of it can run any more.
	members []*member
	// waitingSince is when the unit began to wait.
	waitingSince time.Time
	// startedAt is when the newest run was ordered.
	startedAt time.Time
	// avoidedWorkers lists the workers on which a run has failed, as the failure may be theirs.
	avoidedWorkers []*worker
	// placedAt is when the newest placement was made; finishedAt is when the unit finished.
	placedAt, finishedAt time.Time
	// resumed is set when the newest run began at a checkpoint.
	resumed bool
	// recordVersion is the job version that holds the newest placement.
	recordVersion uint64
}

func (u *unit) spec() *graph.Step {
	return &u.job.Steps[u.step]
}

// size returns the number of tasks.
func (u *unit) size() int {
	if u.spec().Gang {
		return u.spec().Tasks
	}
	return 1
}

// urgent tells whether a unit may make room by stopping other work. Long-running tasks must be back soon after they
// have ended, however full the workers are.
func (u *unit) urgent() bool {
	return u.job.queue.Priority == 0 || u.spec().LongRunning
}

func (u *unit) task(member int) graph.TaskID {
	return graph.TaskID{Job: u.job.ID, Occurrence: u.occurrence, Step: u.step, Index: u.index + member}
}

// less orders units by job and place, so that decisions repeat.
func (u *unit) less(other *unit) bool {
	if u.job.ID != other.job.ID {
		return u.job.ID < other.job.ID
	}
	if u.occurrence != other.occurrence {
		return u.occurrence < other.occurrence
	}
	if u.step != other.step {
		return u.step < other.step
	}
	return u.index < other.index
}

func (u *unit) progress() graph.UnitProgress {
	record := graph.UnitProgress{
		Occurrence: u.occurrence, Step: u.step, Index: u.index, Run: u.run,
		Failures: u.failures, FailedRun: u.failedRun,
		Done: u.phase == finished, Checkpoint: u.checkpoint,
	}
	if u.phase == recording || u.phase == running || u.phase == ending {
		for _, m := range u.members {
			record.Workers = append(record.Workers, m.worker.Name)
		}
	}
	return record
}

// memberState is the place of a task's newest run in its life.
type memberState int

const (
	// planned members have a place and were not ordered.
	planned memberState = iota
	// unconfirmed members were ordered by a predecessor, or without an answer.
	unconfirmed
	// active members run.
	active
	// ended members can't run any more.
	ended
)

// member is one task of a unit's newest run.
type member struct {
	unit   *unit
	index  int
	worker *worker
	state  memberState
	// answeredAt is when the last order about this run was answered; an observation sent later shows whether it runs.
	answeredAt time.Time
	// percent is the progress that the worker reported last; percentSince is when it changed.
	percent      int
	percentSince time.Time
	// reading is the worker's last figure of the task, as in RunningTask.
	reading float64
	// pace is the share of its speed in percent that was ordered last; it may be unknownPace.
	pace int
	// stoppedAt is when the member was last told to stop after its gang had finished.
	stoppedAt time.Time
	// stopping is set while the member counts in the worker's stopping amounts.
	stopping bool
}

func sortUnits(list []*unit) {
	sort.Slice(list, func(i, j int) bool { return list[i].less(list[j]) })
}

func (w *worker) sortedMembers() []*member {
	return w.membersWith(func(*member) bool { return true })
}

// membersWith returns the members that fulfil a condition, in the order of their units.
func (w *worker) membersWith(condition func(*member) bool) []*member {
	var list []*member
	for m := range w.members {
		if condition(m) {
			list = append(list, m)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].unit != list[j].unit {
			return list[i].unit.less(list[j].unit)
		}
		return list[i].index < list[j].index
	})
	return list
}

func sortByName(list []*worker) {
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
}

// reserve gives a unit's tasks their places.
func (u *unit) reserve(places []*worker) {
	u.members = u.members[:0]
	for i, w := range places {
		m := &member{unit: u, index: i, worker: w, state: planned}
		u.members = append(u.members, m)
		w.members[m] = struct{}{}
		w.reserved = w.reserved.Add(u.spec().Reserved())
	}
}

// markOrdered turns a reservation into use.
func (m *member) markOrdered() {
	needs := m.unit.spec().Reserved()
	m.worker.reserved = m.worker.reserved.Sub(needs)
	m.worker.used = m.worker.used.Add(needs)
	m.state = unconfirmed
}

// markStopping counts a member as being stopped.
func (m *member) markStopping() {
	if m.stopping || m.state == planned || m.state == ended {
		return
	}
	m.stopping = true
	m.worker.stopping = m.worker.stopping.Add(m.unit.spec().Reserved())
}

// release takes a member off its worker.
func (m *member) release() {
	needs := m.unit.spec().Reserved()
	switch m.state {
	case planned:
		m.worker.reserved = m.worker.reserved.Sub(needs)
	case unconfirmed, active:
		m.worker.used = m.worker.used.Sub(needs)
	case ended:
		return
	}
	if m.stopping {
		m.worker.stopping = m.worker.stopping.Sub(needs)
		m.stopping = false
	}
	m.state = ended
	delete(m.worker.members, m)
}
