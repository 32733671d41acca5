package planner

import (
	"cmp"
	"slices"
	"time"

	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/core/speed"
)

// jobState is a job with its units and its current state.
type jobState struct {
	*graph.Job
	// queue is the job's queue with its settings as they are now.
	queue *queue
	// holding is the state of the job's client account.
	holding *holding
	// withinRateAt is the time from which on the job is within the rate at which its account may submit jobs.
	withinRateAt time.Time
	// units holds the units of each step of each occurrence: units[occurrence][step].
	units [][][]*unit
	state graph.State
	// stored is the job state that was stored last. Callers do not see a final state before it is stored.
	stored graph.State
	reason string
	ended  time.Time
	// started is set once a worker has accepted a start order of the job or has reported one of its tasks as running.
	started bool
	// parts holds the units in the order of units, divided into the parts that are stored together.
	parts []*part
	// remaining is the number of units that have not finished.
	remaining int
	// firstStart is the time of the job's first start order.
	firstStart time.Time
	// stopCounts holds, for each stop reason, the number of times that a unit of the job was stopped for it.
	stopCounts map[StopReason]int
	// durations holds the durations of the finished tasks of each step.
	durations map[stepKey]*durations
	// rates holds, for each step, what its independent tasks show about the rate of a task on the typical worker.
	rates map[stepKey]speed.Common
}

// Submit adds an accepted job. It has no effect if the planner already has the job.
func (p *Planner) Submit(job *graph.Job, now time.Time) {
	if _, known := p.jobs[job.ID]; known {
		return
	}
	j := p.addJob(job)
	p.admitArrival(j)
	if j.queue.Priority == 0 {
		p.headroom.recordArrival(j, now)
	}
	p.unblock(j, now)
	p.needsPlacement = true
}

func (p *Planner) addJob(job *graph.Job) *jobState {
	j := p.newJob(job)
	p.jobs[job.ID] = j
	p.footprint += job.Footprint()
	j.holding.unfinished++
	j.queue.jobs++
	j.queue.unfinished++
	if job.Recurrence != nil {
		p.recurring[job.ID] = j
	}
	return j
}

func (p *Planner) newJob(job *graph.Job) *jobState {
	j := &jobState{Job: job, state: graph.Queued, stored: graph.Queued, stopCounts: map[StopReason]int{}}
	j.queue = p.queueOf(job)
	j.holding = p.holdingOf(job.ClientAccount)
	j.units = make([][][]*unit, job.Occurrences())
	for occurrence := range j.units {
		j.units[occurrence] = make([][]*unit, len(job.Steps))
		for step := range job.Steps {
			count := job.Steps[step].Tasks
			if job.Steps[step].Gang {
				count = 1
			}
			for index := range count {
				u := &unit{job: j, occurrence: occurrence, step: step, index: index}
				j.units[occurrence][step] = append(j.units[occurrence][step], u)
				j.remaining++
			}
		}
	}
	p.splitUnits(j)
	return j
}

// findUnit returns the unit that contains a task, or nil if the job has no such task.
func (j *jobState) findUnit(occurrence, step, index int) *unit {
	if occurrence < 0 || occurrence >= len(j.units) || step < 0 || step >= len(j.Steps) {
		return nil
	}
	if j.Steps[step].Gang {
		return j.units[occurrence][step][0]
	}
	if index < 0 || index >= len(j.units[occurrence][step]) {
		return nil
	}
	return j.units[occurrence][step][index]
}

// eachUnit calls visit for each unit of the job.
func (j *jobState) eachUnit(visit func(*unit)) {
	for _, steps := range j.units {
		for _, units := range steps {
			for _, u := range units {
				visit(u)
			}
		}
	}
}

// stepDone reports whether all tasks of a step have finished.
func (j *jobState) stepDone(occurrence, step int) bool {
	for _, u := range j.units[occurrence][step] {
		if u.phase != finished {
			return false
		}
	}
	return true
}

// unblock makes a job's blocked units ready for placement once the steps that they depend on have finished. The units
// of a recurring job become ready no earlier than half of Settings.EarlyStart before the due time of their
// occurrence.
func (p *Planner) unblock(j *jobState, now time.Time) {
	for occurrence := range j.units {
		if due := j.Due(occurrence); !due.IsZero() && now.Before(due.Add(-p.settings.EarlyStart/2)) {
			continue
		}
		for step := range j.Steps {
			if p.stepReady(j, occurrence, step) {
				p.unblockStep(j.units[occurrence][step], now)
			}
		}
	}
}

// stepReady reports whether all steps that a step depends on have finished.
func (p *Planner) stepReady(j *jobState, occurrence, step int) bool {
	for _, earlier := range j.Steps[step].After {
		if !j.stepDone(occurrence, earlier) {
			return false
		}
	}
	return true
}

func (p *Planner) unblockStep(units []*unit, now time.Time) {
	for _, u := range units {
		if u.phase == blocked {
			p.enqueue(u, now)
		}
	}
}

// enqueue makes a unit ready for placement.
func (p *Planner) enqueue(u *unit, now time.Time) {
	u.phase = waiting
	u.waitingSince = now
	u.members = nil
	p.waiting[u] = struct{}{}
	p.needsPlacement = true
}

// Cancel ends a job at the caller's request. It reports whether the planner has the job.
func (p *Planner) Cancel(id graph.ID, now time.Time) bool {
	j, known := p.jobs[id]
	if !known {
		return false
	}
	if !j.state.Final() {
		p.end(j, graph.Canceled, "canceled by the caller", JobCanceled, now)
	}
	return true
}

// end sets a job's final state and stops all of its units.
func (p *Planner) end(j *jobState, state graph.State, reason string, stopReason StopReason, now time.Time) {
	j.setFinal(state, now)
	j.reason = reason
	j.eachUnit(func(u *unit) { p.stopUnit(u, stopReason) })
	p.markDirty(j.parts[0])
}

// setFinal sets the state of a job that ends.
func (j *jobState) setFinal(state graph.State, now time.Time) {
	if !j.state.Final() {
		j.countEnded()
	}
	j.state, j.ended = state, now
}

// countEnded takes the job out of the numbers of unfinished jobs.
func (j *jobState) countEnded() {
	j.holding.unfinished--
	j.queue.unfinished--
}

// markDirty marks a part of a job's progress as changed, so that TakeChanges returns it.
func (p *Planner) markDirty(changed *part) {
	p.changes++
	changed.version = p.changes
	if _, known := p.dirty[changed]; !known {
		changed.since = p.changes
		p.dirty[changed] = struct{}{}
	}
	p.needsPlacement = true
}

// stopUnit orders the workers of a unit to stop its run. If no start was ordered yet, stopUnit withdraws the unit's
// placement or takes the unit out of the waiting units.
func (p *Planner) stopUnit(u *unit, reason StopReason) {
	switch u.phase {
	case blocked, finished:
	case waiting:
		delete(p.waiting, u)
		u.phase = blocked
	case awaitingCapacity, recording:
		// No start was ordered yet.
		p.withdraw(u)
	case running, ending:
		u.phase = ending
		u.job.stopCounts[reason]++
		for _, m := range u.members {
			if m.state == ended {
				continue
			}
			m.markStopping(p.now)
			p.actions = append(p.actions, Stop{Worker: m.worker.Name, Task: u.task(m.index), Run: u.run, Reason: reason})
		}
	}
}

// withdraw cancels a placement whose start was not ordered and releases the reserved capacity.
func (p *Planner) withdraw(u *unit) {
	delete(p.awaitingCapacity, u)
	if u.phase == recording {
		p.markDirty(u.part)
		u.job.holding.recording = u.job.holding.recording.Sub(u.needs())
	}
	for _, m := range u.members {
		m.release()
	}
	u.members = nil
	u.phase = blocked
}

// placeAgain withdraws a placement that may not start. Its unit waits on, as if it had not been placed.
func (p *Planner) placeAgain(u *unit, now time.Time) {
	since := u.waitingSince
	p.withdraw(u)
	p.enqueue(u, now)
	u.waitingSince = since
}

// Forgotten is a job that the planner no longer has.
type Forgotten struct {
	ID graph.ID
	// Parts is the number of parts of its progress.
	Parts int
	// Accepted is the time at which the job was accepted.
	Accepted time.Time
}

// Forget removes the jobs that ended more than RetainFinal ago and returns them, sorted by ID. All changes of their
// progress are stored.
func (p *Planner) Forget(now time.Time) []Forgotten {
	var forgotten []Forgotten
	for id, j := range p.jobs {
		old := j.stored.Final() && now.Sub(j.ended) > p.settings.RetainFinal
		if !old || j.hasActiveUnits() || p.hasUnstored(j) {
			continue
		}
		delete(p.jobs, id)
		j.queue.jobs--
		p.footprint -= j.Footprint()
		p.forgetAdvice(id)
		forgotten = append(forgotten, Forgotten{ID: id, Parts: len(j.parts), Accepted: j.Accepted})
	}
	slices.SortFunc(forgotten, func(a, b Forgotten) int { return cmp.Compare(a.ID, b.ID) })
	return forgotten
}

// hasUnstored reports whether a change of the job's progress is not stored yet.
func (p *Planner) hasUnstored(j *jobState) bool {
	return slices.ContainsFunc(j.parts, func(changed *part) bool {
		_, isDirty := p.dirty[changed]
		_, isStoring := p.storing[changed]
		return isDirty || isStoring
	})
}

// hasActiveUnits reports whether any unit of the job is running or ending.
func (j *jobState) hasActiveUnits() bool {
	found := false
	j.eachUnit(func(u *unit) { found = found || u.phase == running || u.phase == ending })
	return found
}

// Footprint returns an upper bound of the bytes that the planner needs to hold its jobs, see graph.Job.Footprint.
func (p *Planner) Footprint() int64 {
	return p.footprint
}

// State returns the state of a job as callers see it, and reports whether the planner has the job. A job whose stored
// state is not final is Running once it has started.
func (p *Planner) State(id graph.ID) (graph.State, bool) {
	j, known := p.jobs[id]
	if !known {
		return "", false
	}
	if !j.stored.Final() && j.started {
		return graph.Running, true
	}
	return j.stored, true
}

// Origin returns how a job was submitted. It is empty if the planner does not have the job.
func (p *Planner) Origin(id graph.ID) graph.Origin {
	j, known := p.jobs[id]
	if !known {
		return graph.Origin{}
	}
	return j.Origin()
}

// Pending returns, by the queues' keys, the number of jobs in each queue that have neither started nor ended.
func (p *Planner) Pending() map[string]int {
	pending := map[string]int{}
	for _, j := range p.jobs {
		if !j.started && !j.state.Final() {
			pending[j.queue.key]++
		}
	}
	return pending
}

// Queue returns the queue of a job, and reports whether the planner has the job.
func (p *Planner) Queue(id graph.ID) (policy.Queue, bool) {
	j, known := p.jobs[id]
	if !known {
		return policy.Queue{}, false
	}
	return j.queue.Queue, true
}

// Has reports whether the planner has the job, in any state.
func (p *Planner) Has(id graph.ID) bool {
	_, known := p.jobs[id]
	return known
}
