package memworker

import (
	"time"

	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/io/runner"
)

func (w *machine) start(s runner.Start) error {
	if err := w.admit(s.Fence); err != nil {
		return err
	}
	if s.Until <= w.clock() {
		return runner.ErrRejected
	}
	if known, runs := w.runs[s.Task]; runs && known.id == s.Run {
		return nil
	}
	if s.Run <= w.highest[s.Task] {
		return runner.ErrRejected
	}
	if w.fleet.plans[s.Task.Job].Advised && !w.accepts(s) {
		w.fleet.ticketRefusals++
		return runner.ErrTicket
	}
	w.check(s.Task)
	w.renew(s.Until)
	w.begin(s)
	return nil
}

// check notes a start that must not be.
func (w *machine) check(task graph.TaskID) {
	f := w.fleet
	plan := f.plans[task.Job]
	if !plan.Needs.Fits(w.info.Capacity.Sub(w.used())) {
		f.violate("%s starts on %s without room", task, w.info.Name)
	}
	for _, other := range f.workers {
		other.expire()
	}
	if f.done[f.unitOf(task)] {
		f.violate("%s starts again after it has finished", task)
	}
	for _, other := range f.workers {
		if _, runs := other.runs[task]; runs {
			f.violate("%s starts on %s while it runs on %s", task, w.info.Name, other.info.Name)
		}
	}
}

func (w *machine) begin(s runner.Start) {
	f := w.fleet
	r := &run{id: s.Run, plan: f.plans[s.Task.Job], arrived: time.Now(), pace: fullPace}
	w.runs[s.Task] = r
	f.started[s.Task.Job] = true
	w.highest[s.Task] = s.Run
	if r.plan.Gang == 0 {
		w.work(s.Task, r)
		return
	}
	members := f.members(s.Task, s.Run)
	if len(members) < r.plan.Gang {
		r.alone = time.AfterFunc(gangTimeout, func() { w.after(s.Task, r, planner.EndGangIncomplete) })
		return
	}
	for task, member := range members {
		if member.alone != nil {
			member.alone.Stop()
		}
		f.holder(task, member).work(task, member)
	}
}

// work lets a run make progress until it ends.
func (w *machine) work(task graph.TaskID, r *run) {
	if w.hangs || r.plan.LongRunning && !w.failsAll {
		return
	}
	kind := planner.EndDone
	if w.failsAll || w.fleet.failed[task] < r.plan.FailingRuns {
		w.fleet.failed[task]++
		kind = planner.EndFailed
	}
	r.work = time.AfterFunc(r.plan.Work, func() { w.after(task, r, kind) })
}
