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
	fleet          *Fleet
	info           roster.Worker
	startedAt      time.Time
	fence          runner.Fence
	leaseEnd       time.Time
	runs           map[graph.TaskID]*run
	highestRun     map[graph.TaskID]graph.Run
	unacknowledged []numberedEnd
	lastNumber     int64
	partitioned    bool
	crashed        bool
	changed        chan struct{}
	hung           bool
	failsAll       bool
}

type numberedEnd struct {
	number int64
	end    planner.EndedRun
}

// run is a task that runs.
type run struct {
	id        graph.Run
	plan      Plan
	startedAt time.Time
	workTimer *time.Timer
	gangTimer *time.Timer
	stopping  bool
	// pace is the share of its speed in percent.
	pace int
}

// kill ends everything on a worker without a trace.
func (w *machine) kill() {
	for task := range w.runs {
		if r := w.remove(task); r.plan.Gang > 0 {
			w.fleet.breakGang(task, r.id)
		}
	}
	w.revokeUnacknowledgedDone()
	w.notifyChanged()
}

// revokeUnacknowledgedDone forgets the ends that nobody has taken note of: what they say does not count any more.
func (w *machine) revokeUnacknowledgedDone() {
	for _, e := range w.unacknowledged {
		if e.end.Kind == planner.EndDone {
			delete(w.fleet.doneUnits, w.fleet.unitOf(e.end.Task))
		}
	}
}

func (w *machine) notifyChanged() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *machine) remove(task graph.TaskID) *run {
	r := w.runs[task]
	delete(w.runs, task)
	if r.workTimer != nil {
		r.workTimer.Stop()
	}
	if r.gangTimer != nil {
		r.gangTimer.Stop()
	}
	return r
}

// expire ends everything when the lease has run out.
func (w *machine) expire() {
	if w.leaseEnd.IsZero() || time.Now().Before(w.leaseEnd) {
		return
	}
	w.leaseEnd = time.Time{}
	w.revokeUnacknowledgedDone()
	for task := range w.runs {
		w.end(task, planner.EndLeaseExpired)
	}
}

// end takes a run off the worker and lists its end; the rest of a gang breaks.
func (w *machine) end(task graph.TaskID, kind planner.EndKind) {
	r := w.remove(task)
	w.lastNumber++
	w.unacknowledged = append(w.unacknowledged, numberedEnd{
		number: w.lastNumber, end: planner.EndedRun{Task: task, Run: r.id, Kind: kind},
	})
	w.notifyChanged()
	if kind == planner.EndFailed {
		w.fleet.jobFailures[task.Job]++
	}
	if kind == planner.EndDone {
		w.fleet.doneUnits[w.fleet.unitOf(task)] = true
		w.fleet.everDone[w.fleet.unitOf(task)] = true
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
	return runner.WorkerTime(time.Since(w.startedAt) + time.Minute)
}

func (w *machine) renew(until runner.WorkerTime) {
	remaining := min(time.Duration(until-w.clock()), leaseLimit)
	if end := time.Now().Add(remaining); end.After(w.leaseEnd) {
		w.leaseEnd = end
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

// endIfRunning ends a run when its time has come, if it still runs.
func (w *machine) endIfRunning(task graph.TaskID, r *run, kind planner.EndKind) {
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
	w.highestRun[s.Task] = max(w.highestRun[s.Task], s.Run)
	r, runs := w.runs[s.Task]
	if !runs || r.id != s.Run || r.stopping {
		return nil
	}
	w.checkAbsence(s.Task, r)
	r.stopping = true
	if r.workTimer != nil {
		r.workTimer.Stop()
	}
	time.AfterFunc(stopTime, func() { w.endIfRunning(s.Task, r, planner.EndStopped) })
	return nil
}

func (w *machine) holdReply(acknowledged int64) runner.HoldReply {
	kept := w.unacknowledged[:0]
	for _, e := range w.unacknowledged {
		if e.number > acknowledged {
			kept = append(kept, e)
		}
	}
	w.unacknowledged = kept
	reply := runner.HoldReply{Clock: w.clock(), Incarnation: w.info.Incarnation}
	for task, r := range w.runs {
		percent := 0
		if r.workTimer != nil {
			percent = int(min(time.Since(r.startedAt)*99/r.plan.Work, 99))
			if w.hung {
				percent = 0
			}
		}
		if r.atWork() {
			percent = fullPace
		}
		reply.Runs = append(reply.Runs, planner.RunningTask{
			Task: task, Run: r.id, Percent: percent, Reading: w.reading(r),
		})
	}
	for _, e := range w.unacknowledged {
		reply.Ended = append(reply.Ended, e.end)
		reply.Last = e.number
	}
	return reply
}
