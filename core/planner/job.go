package planner

import (
	"time"

	"auburnstack/core/graph"
	"auburnstack/core/policy"
)

// jobState is a job with its units.
type jobState struct {
	*graph.Job
	queue policy.Queue
	// units lists the units of each step of each occurrence: units[occurrence][step].
	units [][][]*unit
	state graph.State
	// stored is the state that was stored last; callers are shown this one.
	stored graph.State
	reason string
	ended  time.Time
	// started is set once a task has been seen running.
	started bool
	// version grows with each change of the progress.
	version uint64
	// remaining counts the units that have not finished.
	remaining int
	// firstStart is when the first task was ordered; stops counts the stopped units by reason.
	firstStart time.Time
	stopCounts map[StopReason]int
	// durations holds how long the tasks of each step took.
	durations map[stepKey]*durations
}

// Submit adds an accepted job. A job that is known is left as it is.
func (p *Planner) Submit(job *graph.Job, now time.Time) {
	if _, known := p.jobs[job.ID]; known {
		return
	}
	j := p.newJob(job)
	p.jobs[job.ID] = j
	if j.queue.Priority == 0 {
		p.headroom.recordArrival(job, now)
	}
	p.unblock(j, now)
	p.needsPlacement = true
}

// Restore adds a job that was accepted earlier together with the progress that was stored.
func (p *Planner) Restore(job *graph.Job, progress graph.Progress, now time.Time) {
	if _, known := p.jobs[job.ID]; known {
		return
	}
	j := p.newJob(job)
	p.jobs[job.ID] = j
	j.state, j.stored = progress.State, progress.State
	j.reason, j.ended = progress.Reason, progress.Ended
	for _, record := range progress.Units {
		p.restoreUnit(j, record, now)
	}
	if len(p.workersByName) != len(p.workers) {
		p.sortWorkers()
	}
	if !j.state.Final() {
		p.unblock(j, now)
	}
	p.needsPlacement = true
}

func (p *Planner) restoreUnit(j *jobState, record graph.UnitProgress, now time.Time) {
	u := j.findUnit(record.Occurrence, record.Step, record.Index)
	if u == nil {
		return
	}
	u.run, u.checkpoint = record.Run, record.Checkpoint
	u.failures, u.failedRun = record.Failures, record.FailedRun
	if record.Done {
		u.phase = finished
		j.remaining--
		return
	}
	if len(record.Workers) != u.size() {
		return
	}
	places := make([]*worker, 0, len(record.Workers))
	for _, name := range record.Workers {
		w, known := p.workers[name]
		if !known {
			// A worker that is not registered may still run what it ran until its lease has ended.
			w = p.addWorker(name, now)
		}
		places = append(places, w)
	}
	u.reserve(places)
	for _, m := range u.members {
		m.markOrdered()
		m.answeredAt = now
		m.percentSince = now
		m.percent = -1
		m.pace = unknownPace
		if u.spec().Fills {
			m.worker.pacing = pacing{percent: adoptedPace, changed: now}
		}
	}
	u.phase = running
	u.startedAt = now
	if j.state.Final() {
		p.stopUnit(u, NotWanted)
	}
}

func (p *Planner) newJob(job *graph.Job) *jobState {
	j := &jobState{Job: job, state: graph.Queued, stored: graph.Queued, stopCounts: map[StopReason]int{}}
	j.queue, _ = p.policy.Queue(job.Queue)
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
	return j
}

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

func (j *jobState) eachUnit(visit func(*unit)) {
	for _, steps := range j.units {
		for _, units := range steps {
			for _, u := range units {
				visit(u)
			}
		}
	}
}

// stepDone tells whether all tasks of a step have finished.
func (j *jobState) stepDone(occurrence, step int) bool {
	for _, u := range j.units[occurrence][step] {
		if u.phase != finished {
			return false
		}
	}
	return true
}

// unblock lets the units wait whose earlier steps have finished and whose time has come.
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

// enqueue lets a unit be placed.
func (p *Planner) enqueue(u *unit, now time.Time) {
	u.phase = waiting
	u.waitingSince = now
	u.members = nil
	p.waiting[u] = struct{}{}
	p.needsPlacement = true
}

// Cancel ends a job on its caller's request. It tells whether the job is known.
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

// end gives a job its final state and stops what still runs of it.
func (p *Planner) end(j *jobState, state graph.State, reason string, stopReason StopReason, now time.Time) {
	j.state, j.reason, j.ended = state, reason, now
	j.eachUnit(func(u *unit) { p.stopUnit(u, stopReason) })
	p.markDirty(j)
}

// markDirty marks a job's progress as changed.
func (p *Planner) markDirty(j *jobState) {
	j.version++
	p.dirty[j.ID] = j
	p.needsPlacement = true
}

// stopUnit ends what runs of a unit, or takes back its placement.
func (p *Planner) stopUnit(u *unit, reason StopReason) {
	switch u.phase {
	case blocked, finished:
	case waiting:
		delete(p.waiting, u)
		u.phase = blocked
	case awaitingCapacity, recording:
		// Nothing was ordered yet.
		p.withdraw(u)
	case running, ending:
		u.phase = ending
		u.job.stopCounts[reason]++
		for _, m := range u.members {
			if m.state == ended {
				continue
			}
			m.markStopping()
			p.actions = append(p.actions, Stop{Worker: m.worker.Name, Task: u.task(m.index), Run: u.run, Reason: reason})
		}
	}
}

// withdraw takes back a placement of which nothing was ordered.
func (p *Planner) withdraw(u *unit) {
	delete(p.awaitingCapacity, u)
	if u.phase == recording {
		p.markDirty(u.job)
	}
	for _, m := range u.members {
		m.release()
	}
	u.members = nil
	u.phase = blocked
}

// Forget removes the jobs that ended long ago and returns their IDs.
func (p *Planner) Forget(now time.Time) []graph.ID {
	var forgotten []graph.ID
	for id, j := range p.jobs {
		if j.stored.Final() && !j.hasActiveUnits() && now.Sub(j.ended) > p.settings.RetainFinal {
			delete(p.jobs, id)
			p.forgetAdvice(id)
			forgotten = append(forgotten, id)
		}
	}
	return forgotten
}

func (j *jobState) hasActiveUnits() bool {
	found := false
	j.eachUnit(func(u *unit) { found = found || u.phase == running || u.phase == ending })
	return found
}

// State returns the stored state of a job.
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

// Pending counts the jobs of each queue of which no task has started.
func (p *Planner) Pending() map[string]int {
	pending := map[string]int{}
	for _, j := range p.jobs {
		if !j.started && !j.state.Final() {
			pending[j.Queue]++
		}
	}
	return pending
}

// Queue returns the queue of a job.
func (p *Planner) Queue(id graph.ID) (policy.Queue, bool) {
	j, known := p.jobs[id]
	if !known {
		return policy.Queue{}, false
	}
	return j.queue, true
}

// Has tells whether a job is known.
func (p *Planner) Has(id graph.ID) bool {
	_, known := p.jobs[id]
	return known
}
