package memworker

import (
	"time"

	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
	"auburnstack/io/runner"
)

// machine is one worker.
type machine struct {
	fleet    *Fleet
	info     roster.Worker
	born     time.Time
	fence    runner.Fence
	lease    time.Time
	runs     map[graph.TaskID]*run
	highest  map[graph.TaskID]graph.Run
	ends     []numberedEnd
	lastEnd  int64
	cut      bool
	crashed  bool
	changed  chan struct{}
	hangs    bool
	failsAll bool
}

type numberedEnd struct {
	number int64
	end    planner.EndedRun
}

// run is a task that runs.
type run struct {
	id       graph.Run
	plan     Plan
	arrived  time.Time
	work     *time.Timer
	alone    *time.Timer
	stopping bool
	// pace is the share of its speed in percent.
	pace int
}

// kill ends everything on a worker without a trace.
func (w *machine) kill() {
	for task := range w.runs {
		if r := w.drop(task); r.plan.Gang > 0 {
			w.fleet.breakGang(task, r.id)
		}
	}
	w.voidEnds()
	w.wake()
}

// voidEnds forgets the ends that nobody has taken note of: what they say does not count any more.
func (w *machine) voidEnds() {
	for _, e := range w.ends {
		if e.end.Kind == planner.EndDone {
			delete(w.fleet.done, w.fleet.unitOf(e.end.Task))
		}
	}
}

func (w *machine) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *machine) drop(task graph.TaskID) *run {
	r := w.runs[task]
	delete(w.runs, task)
	if r.work != nil {
		r.work.Stop()
	}
	if r.alone != nil {
		r.alone.Stop()
	}
	return r
}

// expire ends everything when the lease has run out.
func (w *machine) expire() {
	if w.lease.IsZero() || time.Now().Before(w.lease) {
		return
	}
	w.lease = time.Time{}
	w.voidEnds()
	for task := range w.runs {
		w.end(task, planner.EndLeaseExpired)
	}
}

// end takes a run off the worker and lists its end; the rest of a gang breaks.
func (w *machine) end(task graph.TaskID, kind planner.EndKind) {
	r := w.drop(task)
	w.lastEnd++
	w.ends = append(w.ends, numberedEnd{number: w.lastEnd, end: planner.EndedRun{Task: task, Run: r.id, Kind: kind}})
	w.wake()
	if kind == planner.EndFailed {
		w.fleet.failures[task.Job]++
	}
	if kind == planner.EndDone {
		w.fleet.done[w.fleet.unitOf(task)] = true
		w.fleet.finished[w.fleet.unitOf(task)] = true
	}
	if r.plan.Gang > 0 && kind != planner.EndDone && kind != planner.EndGangBroken {
		w.fleet.breakGang(task, r.id)
	}
}

func (w *machine) used() resources.Amounts {
	var sum resources.Amounts
	for _, r := range w.runs {
		sum = sum.Add(r.plan.Needs)
	}
	return sum
}

func (w *machine) clock() runner.WorkerTime {
	return runner.WorkerTime(time.Since(w.born) + time.Minute)
}

func (w *machine) renew(until runner.WorkerTime) {
	left := min(time.Duration(until-w.clock()), leaseLimit)
	if end := time.Now().Add(left); end.After(w.lease) {
		w.lease = end
	}
}

// admit checks the fencing token of an order.
func (w *machine) admit(fence runner.Fence) error {
	w.expire()
	if fence < w.fence {
		return runner.ErrFenced
	}
	w.fence = fence
	return nil
}

// after ends a run when its time has come, if it still runs.
func (w *machine) after(task graph.TaskID, r *run, kind planner.EndKind) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.expire()
	if w.runs[task] == r {
		w.end(task, kind)
	}
}

func (w *machine) stop(s runner.Stop) error {
	if err := w.admit(s.Fence); err != nil {
		return err
	}
	w.highest[s.Task] = max(w.highest[s.Task], s.Run)
	r, runs := w.runs[s.Task]
	if !runs || r.id != s.Run || r.stopping {
		return nil
	}
	w.checkAbsence(s.Task, r)
	r.stopping = true
	if r.work != nil {
		r.work.Stop()
	}
	time.AfterFunc(stopTime, func() { w.after(s.Task, r, planner.EndStopped) })
	return nil
}

func (w *machine) held(seen int64) runner.HoldReply {
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.number > seen {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	held := runner.HoldReply{Clock: w.clock(), Incarnation: w.info.Incarnation}
	for task, r := range w.runs {
		percent := 0
		if r.work != nil {
			percent = int(min(time.Since(r.arrived)*99/r.plan.Work, 99))
			if w.hangs {
				percent = 0
			}
		}
		if r.atWork() {
			percent = fullPace
		}
		held.Runs = append(held.Runs, planner.RunningTask{
			Task: task, Run: r.id, Percent: percent, Reading: w.reading(r),
		})
	}
	for _, e := range w.ends {
		held.Ended = append(held.Ended, e.end)
		held.Last = e.number
	}
	return held
}
