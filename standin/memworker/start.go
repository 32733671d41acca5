package memworker

import (
	"time"

	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/core/vm"
	"auburnstack/io/runner"
)

// start begins a run. It accepts a repeated order for a run that has already begun.
func (w *simulatedWorker) start(s runner.Start, sender vm.Name) error {
	if err := w.admit(s.Fence); err != nil {
		return err
	}
	if s.Until <= w.clock() {
		return runner.ErrRejected
	}
	if known, runs := w.runs[s.Task]; runs && known.id == s.Run {
		return nil
	}
	if s.Run <= w.highestRun[s.Task] {
		return runner.ErrRejected
	}
	if w.fleet.plans[s.Task.Job].Advised && !w.acceptsTicket(s) {
		w.fleet.ticketRefusals++
		return runner.ErrTicket
	}
	w.checkStart(s.Task)
	w.renew(s.Until)
	w.recordStart(s.Task, sender)
	w.begin(s)
	return w.crashOnStart(s.Task)
}

// checkStart records a violation if a task starts without enough free resources, above the limit of its account, on
// a worker without the label that it needs, after it has ended as done, or while another worker runs it.
func (w *simulatedWorker) checkStart(task graph.TaskID) {
	f := w.fleet
	plan := f.plans[task.Job]
	if !plan.Needs.Fits(w.allowedCapacity().Sub(w.used())) {
		f.recordViolation("%s starts on %s without enough free resources", task, w.info.Name)
	}
	if plan.Label != "" && !w.info.HasLabel(plan.Label) {
		f.recordViolation("%s starts on %s without the label %s", task, w.info.Name, plan.Label)
	}
	for _, other := range f.workers {
		other.expire()
	}
	f.checkLimit(task)
	if f.doneUnits[f.unitOf(task)] {
		f.recordViolation("%s starts again after it has finished", task)
	}
	for _, other := range f.workers {
		if _, runs := other.runs[task]; runs {
			f.recordViolation("%s starts on %s while it runs on %s", task, w.info.Name, other.info.Name)
		}
	}
}

// begin adds a run to the worker. A gang begins to work when its last member has started; a member that has waited for
// gangTimeout ends.
func (w *simulatedWorker) begin(s runner.Start) {
	f := w.fleet
	r := &run{id: s.Run, plan: f.plans[s.Task.Job], startedAt: time.Now(), pace: fullPace}
	w.runs[s.Task] = r
	f.startedJobs[s.Task.Job] = true
	w.highestRun[s.Task] = s.Run
	if r.plan.Gang == 0 {
		w.startWork(s.Task, r)
		return
	}
	members := f.members(s.Task, s.Run)
	if len(members) < r.plan.Gang {
		r.gangTimer = time.AfterFunc(gangTimeout, func() { w.endIfRunning(s.Task, r, planner.EndGangIncomplete) })
		return
	}
	for task, member := range members {
		if member.gangTimer != nil {
			member.gangTimer.Stop()
		}
		f.workerOf(task, member).startWork(task, member)
	}
}

// startWork starts the timer after which a run ends as done or failed. A run on a hung worker gets no timer. A
// long-running task gets one only if the worker fails all runs.
func (w *simulatedWorker) startWork(task graph.TaskID, r *run) {
	if w.hung || r.plan.LongRunning && !w.failsAll {
		return
	}
	kind := planner.EndDone
	if w.failsAll || w.fleet.failedRuns[task] < r.plan.FailingRuns {
		w.fleet.failedRuns[task]++
		kind = planner.EndFailed
	}
	r.workTimer = time.AfterFunc(w.slowestWork(task, r), func() { w.endIfRunning(task, r, kind) })
}
