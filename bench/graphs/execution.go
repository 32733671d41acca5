package main

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/planner"
)

// start starts a run on its worker. The runs of a gang begin to work when the last member starts.
func (m *simulation) start(a planner.Start) {
	w := m.workers[a.Worker]
	r := &run{Start: a}
	w.runs[a.Task] = r
	m.planner.StartAnswered(a, planner.Accepted, m.now)
	j := m.jobs[a.Task.Job]
	if j.started.IsZero() {
		j.started = m.now
	}
	members := map[*run]*worker{r: w}
	failingIndex := r.Task.Index
	if j.job.Steps[0].Gang {
		members = m.members(a)
		if len(members) < j.job.Steps[0].Tasks {
			return
		}
		// The failure of one member fails the whole gang.
		failingIndex = m.random.IntN(len(members))
	}
	fails := m.random.Float64() < j.kind.failureRate
	for _, r := range inOrder(members) {
		m.begin(members[r], r, fails && r.Task.Index == failingIndex)
	}
	m.reschedule(members)
}

// members returns the started members of a gang's run with their workers.
func (m *simulation) members(a planner.Start) map[*run]*worker {
	members := map[*run]*worker{}
	for _, w := range m.workers {
		for _, r := range w.runs {
			if r.Task.Job == a.Task.Job && r.Run == a.Run && !r.ended {
				members[r] = w
			}
		}
	}
	return members
}

// begin makes a run begin its work from the newest checkpoint of its task.
func (m *simulation) begin(w *worker, r *run, fails bool) {
	r.begun, r.savedWork, r.updatedAt = true, m.savedWork[r.Task], m.now
	if r.savedWork > 0 {
		r.updatedAt = m.now.Add(restoreTime)
	}
	r.fails = fails || w.failing || m.jobs[r.Task.Job].poisoned
}

// reschedule sets the rate of all members of a gang, or of a single task, and schedules their ends. A gang is as fast
// as its slowest member, and slower by remoteFactor if it asks for one rack and runs on several. It makes no progress
// if one of its workers is stalled.
func (m *simulation) reschedule(members map[*run]*worker) {
	racks := map[endpoint.Rack]bool{}
	slowest, stalled := 0.0, false
	var job *simulatedJob
	for r, w := range members {
		racks[w.Rack] = true
		slowest = max(slowest, w.slowdown)
		stalled = stalled || w.stalled
		job = m.jobs[r.Task.Job]
	}
	if job.job.Steps[0].SameRack && len(racks) > 1 {
		slowest *= remoteFactor
	}
	for _, r := range inOrder(members) {
		w := members[r]
		m.advance(r)
		r.rate = 1 / slowest
		r.ownRate = 1 / w.slowdown
		if job.job.Steps[0].SameRack && len(racks) > 1 {
			r.ownRate /= remoteFactor
		}
		if stalled {
			r.rate = 0
		}
		m.scheduleEnd(w, r)
	}
}

// orderedRuns returns the runs on the worker sorted by their tasks.
func (w *worker) orderedRuns() []*run {
	runs := map[*run]*worker{}
	for _, r := range w.runs {
		runs[r] = w
	}
	return inOrder(runs)
}

// inOrder returns runs sorted by their tasks, which makes the simulation deterministic.
func inOrder(members map[*run]*worker) []*run {
	return slices.SortedFunc(maps.Keys(members), func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
}

// advance adds to doneWork the work that a run has done since updatedAt.
func (m *simulation) advance(r *run) {
	if r.begun && m.now.After(r.updatedAt) {
		r.doneWork += time.Duration(float64(m.now.Sub(r.updatedAt)) * r.rate)
		r.ownWork += time.Duration(float64(m.now.Sub(r.updatedAt)) * r.ownRate)
		r.updatedAt = m.now
	}
}

// scheduleEnd schedules the end of a run at its present rate, in place of the end that was scheduled before.
func (m *simulation) scheduleEnd(w *worker, r *run) {
	r.endVersion++
	if r.rate == 0 {
		return
	}
	j := m.jobs[r.Task.Job]
	remaining, kind := j.workOf(r.Task)-r.savedWork, planner.EndDone
	if r.fails {
		remaining, kind = remaining/2, planner.EndFailed
	}
	remaining = time.Duration(float64(remaining-r.doneWork) / r.rate)
	current := r.endVersion
	m.after(max(r.updatedAt.Add(remaining).Sub(m.now), 0), func() {
		if r.endVersion == current {
			m.finish(w, r, kind)
		}
	})
}

// setSlow multiplies the slowdown of the slow workers by a factor and reschedules the ends of the current runs.
func (m *simulation) setSlow(factor float64) {
	for _, w := range m.workers {
		if w.slow {
			w.slowdown *= factor
		}
	}
	for _, name := range m.names {
		w := m.workers[name]
		for _, r := range w.orderedRuns() {
			switch {
			case !r.begun:
			case m.jobs[r.Task.Job].job.Steps[0].Gang:
				m.reschedule(m.members(r.Start))
			default:
				m.reschedule(map[*run]*worker{r: w})
			}
		}
	}
}

// finish ends a run that is done or has failed, and all other members of its gang. The other members end as done if the
// run is done, and with the kind EndGangBroken if the run has failed.
func (m *simulation) finish(w *worker, r *run, kind planner.EndKind) {
	if r.ended || w.runs[r.Task] != r {
		return
	}
	members := map[*run]*worker{r: w}
	if m.jobs[r.Task.Job].job.Steps[0].Gang {
		members = m.members(r.Start)
	}
	m.end(w, r, kind)
	for _, other := range inOrder(members) {
		host := members[other]
		if other == r {
			continue
		}
		if kind == planner.EndDone {
			m.end(host, other, planner.EndDone)
		} else {
			m.end(host, other, planner.EndGangBroken)
		}
	}
}

func (m *simulation) stop(a planner.Stop) {
	w := m.workers[a.Worker]
	if r := w.runs[a.Task]; r != nil && r.Run == a.Run {
		m.end(w, r, planner.EndStopped)
	}
}

// end removes a run from its worker, saves its last checkpoint, counts the lost work, and reports the end to the
// planner.
func (m *simulation) end(w *worker, r *run, kind planner.EndKind) {
	if r.ended {
		return
	}
	r.ended = true
	delete(w.runs, r.Task)
	j := m.jobs[r.Task.Job]
	step := &j.job.Steps[0]
	work := m.progress(j, r)
	checkpoint := ""
	if kind != planner.EndDone {
		keptWork := m.savedWork[r.Task]
		if step.Checkpoints && kind != planner.EndFailed {
			keptWork = max(keptWork, work.Truncate(checkpointInterval))
			m.savedWork[r.Task] = keptWork
			checkpoint = keptWork.String()
		}
		m.wastedWork += float64(step.Needs.Accelerators) * (work - keptWork).Seconds()
	}
	w.endedRuns = append(w.endedRuns, planner.EndedRun{Task: r.Task, Run: r.Run, Kind: kind, Checkpoint: checkpoint})
	m.report(w)
}

// progress returns the work that a run has done, including the work in its checkpoint.
func (m *simulation) progress(j *simulatedJob, r *run) time.Duration {
	m.advance(r)
	return min(r.savedWork+r.doneWork, j.workOf(r.Task))
}

// reportedPercent returns the progress that a run reports. The members of a gang report their own progress, although
// they end together.
func (m *simulation) reportedPercent(r *run) int {
	m.advance(r)
	return int(100 * (r.savedWork + r.ownWork) / m.jobs[r.Task.Job].workOf(r.Task))
}

// report renews the worker's lease and tells the planner which runs are on the worker and which have ended since the
// last report.
func (m *simulation) report(w *worker) {
	o := planner.Observation{
		Worker: w.Name, Incarnation: w.Incarnation, Sent: m.now, Clock: time.Duration(m.now.UnixNano()), Ended: w.endedRuns,
	}
	for _, r := range w.orderedRuns() {
		percent := 0
		if !w.stalled {
			percent = m.reportedPercent(r)
		}
		o.Runs = append(o.Runs, planner.RunningTask{Task: r.Task, Run: r.Run, Percent: min(percent, 99)})
	}
	w.endedRuns = nil
	m.planner.LeaseRenewed(w.Name, m.now)
	m.planner.SetResponsive(w.Name, true)
	m.planner.Observe(o, m.now)
}
