package planner

import (
	"sort"
	"time"

	"auburnstack/core/graph"
	"auburnstack/core/roster"
)

// phase is the stage of a unit's life cycle.
type phase int

const (
	// blocked units wait for earlier steps or for their due time, or are stopped because their job has ended.
	blocked phase = iota
	// waiting units can be placed.
	waiting
	// awaitingCapacity units have been assigned workers and wait until stopped runs have freed enough capacity on these
	// workers.
	awaitingCapacity
	// recording units wait until their placement is stored.
	recording
	// running units were ordered to start.
	running
	// ending units are being stopped.
	ending
	// finished units will not run again.
	finished
)

// unit is the smallest part of a job that is placed as a whole: all tasks of a gang, or a single task.
type unit struct {
	job *jobState
	// part is the part of the job's progress that has the unit.
	part       *part
	occurrence int
	step       int
	// index is the index of the unit's task within the step, or 0 for a gang.
	index int
	phase phase
	run   graph.Run
	// failures is the number of the unit's runs that ended as failed.
	failures int
	// failedRun is the last run that was counted in failures.
	failedRun  graph.Run
	checkpoint string
	// crashes counts the crashes of workers under the unit's tasks since a run last cleared the unit. It holds the tasks
	// under which a worker has crashed, each once, sorted by index. crashAge is the greatest age of the runs that were
	// counted.
	crashes  []taskCrashes
	crashAge time.Duration
	// newestIncarnation is the newest incarnation among the workers of the newest run when the run was placed.
	newestIncarnation roster.Incarnation
	// members holds the tasks of the newest run by index. It is empty while the unit is blocked or waiting.
	members []*member
	// waitingSince is the time at which the unit became ready for placement.
	waitingSince time.Time
	// startedAt is the time at which the start of the newest run was ordered. For a run that a previous leader ordered,
	// it is the time at which the run was restored.
	startedAt time.Time
	// avoidedWorkers holds the workers on which a run has failed, because they may have caused the failure.
	avoidedWorkers []*worker
	// placedAt is the time at which the unit was last assigned workers. finishedAt is the time at which the unit
	// finished.
	placedAt, finishedAt time.Time
	// startSent is set once a start order of the newest run was sent to a worker.
	startSent bool
	// resumed is set when the newest run started from a checkpoint.
	resumed bool
	// triedIn is the number of the last round that tried to place the unit.
	triedIn uint64
	// recordVersion is the version of the part that contains the newest placement.
	recordVersion uint64
	// watch follows the progress of the newest run; nil if its workers' speeds are not learned from it.
	watch *watch
}

func (u *unit) spec() *graph.Step {
	return &u.job.Steps[u.step]
}

// size returns the number of tasks in the unit.
func (u *unit) size() int {
	if u.spec().Gang {
		return u.spec().Tasks
	}
	return 1
}

// urgent reports whether other work may be stopped to place a unit. Long-running tasks are urgent because they must be
// restarted soon after they have ended, however full the workers are.
func (u *unit) urgent() bool {
	return u.job.queue.Priority == 0 || u.spec().LongRunning
}

// task returns the ID of the unit's member with the given index.
func (u *unit) task(member int) graph.TaskID {
	return graph.TaskID{Job: u.job.ID, Occurrence: u.occurrence, Step: u.step, Index: u.index + member}
}

// stepRef identifies a step of one occurrence of a job.
type stepRef struct {
	job              *jobState
	occurrence, step int
}

func (u *unit) stepRef() stepRef {
	return stepRef{job: u.job, occurrence: u.occurrence, step: u.step}
}

// less orders units by job, occurrence, step and index, which makes decisions deterministic.
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
		CrashAge: u.crashAge, Done: u.phase == finished, Checkpoint: u.checkpoint,
	}
	u.recordCrashes(&record)
	if u.phase == recording || u.phase == running || u.phase == ending {
		for _, m := range u.members {
			record.Workers = append(record.Workers, m.worker.Name)
		}
		record.NewestIncarnation = u.newestIncarnation
	}
	return record
}

// memberState is the stage of a task in the unit's newest run.
type memberState int

const (
	// planned members have a reservation, but their start was not ordered.
	planned memberState = iota
	// unconfirmed members may run: their start was ordered by a previous leader or has not been answered.
	unconfirmed
	// active members run.
	active
	// ended members can no longer run.
	ended
)

// member is one task of a unit's newest run.
type member struct {
	unit   *unit
	index  int
	worker *worker
	state  memberState
	// answeredAt is the time at which the worker answered the last order about this run, or at which the run was
	// restored. A report that was requested later shows whether the run exists.
	answeredAt time.Time
	// unansweredAt is the time at which the last attempt to start the run ended without an answer.
	unansweredAt time.Time
	// percent is the task's progress in the worker's last report, or -1 before the first report. percentClock is the
	// worker's clock at the first report of this progress since the last pace order, or noClock before that report.
	// percentAt is the time at which that report arrived.
	percent      int
	percentClock time.Duration
	percentAt    time.Time
	// reading is the value of RunningTask.Reading in the worker's last report.
	reading float64
	// pace is the speed that was last ordered for the task, in percent of full speed, or unknownPace.
	pace int
	// stoppedAt is the time of the last stop order that was sent after the gang had finished.
	stoppedAt time.Time
	// stopping is set while the member's resources are included in worker.stopping.
	stopping bool
	// stoppingSince is the time at which stopping was set.
	stoppingSince time.Time
	// share counts the member among what its account holds of the worker's service.
	share *serviceShare
	// lesser is set if the member counts in holding.lesser.
	lesser bool
	// restored is set if a previous leader ordered the start.
	restored bool
	// confirmed is set once a report of the worker has shown that the run has survived its start.
	confirmed bool
}

func sortUnits(list []*unit) {
	sort.Slice(list, func(i, j int) bool { return list[i].less(list[j]) })
}

func (w *worker) sortedMembers() []*member {
	return w.membersWith(func(*member) bool { return true })
}

// membersWith returns the members that fulfill a condition, sorted by unit and index.
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

// reserve reserves capacity on the given workers, one for each task of the unit.
func (u *unit) reserve(places []*worker) {
	u.members = u.members[:0]
	u.newestIncarnation = 0
	u.startSent = false
	for i, w := range places {
		u.newestIncarnation = max(u.newestIncarnation, w.Incarnation)
		m := &member{unit: u, index: i, worker: w, state: planned}
		u.members = append(u.members, m)
		w.members[m] = struct{}{}
		w.reserved = w.reserved.Add(u.spec().Reserved())
		m.holdReserved()
	}
}

// markOrdered turns the member's reserved capacity into used capacity.
func (m *member) markOrdered() {
	needs := m.unit.spec().Reserved()
	m.worker.reserved = m.worker.reserved.Sub(needs)
	m.worker.used = m.worker.used.Add(needs)
	m.state = unconfirmed
	m.holdOrdered()
}

// markStopping includes the member's resources in worker.stopping.
func (m *member) markStopping(now time.Time) {
	if m.stopping || m.state == planned || m.state == ended {
		return
	}
	m.stopping = true
	m.holdStopping(now)
	m.worker.stopping = m.worker.stopping.Add(m.unit.spec().Reserved())
}

// release removes a member from its worker and frees its resources.
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
	m.holdReleased()
	if m.stopping {
		m.worker.stopping = m.worker.stopping.Sub(needs)
		m.stopping = false
	}
	m.state = ended
	delete(m.worker.members, m)
}
