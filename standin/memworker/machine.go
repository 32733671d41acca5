package memworker

import (
	"time"

	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
	"auburnstack/io/runner"
)

// simulatedWorker is one simulated worker.
type simulatedWorker struct {
	fleet     *Fleet
	info      roster.Worker
	startedAt time.Time
	fence     runner.Fence
	leaseEnd  time.Time
	runs      map[graph.TaskID]*run
	// highestRun holds for each task the highest number of a run that was started or stopped on this worker. Runs up to
	// this number can no longer start.
	highestRun map[graph.TaskID]graph.Run
	// unacknowledged holds the ended runs that no heartbeat has acknowledged.
	// lastNumber is the number by which heartbeats acknowledge the run that ended last.
	unacknowledged []numberedEnd
	lastNumber     int64
	partitioned    bool
	crashed        bool
	// changed is closed and replaced when a run ends or the worker crashes.
	changed  chan struct{}
	hung     bool
	failsAll bool
	// staysUntil is the time until which a draining worker has announced to stay; zero if it has announced none.
	staysUntil time.Time
	// earlierCapacities holds the capacities that the worker had before SetCapacity changed them.
	earlierCapacities []earlierCapacity
}

// numberedEnd is an ended run with the number by which heartbeats acknowledge it.
type numberedEnd struct {
	number int64
	end    planner.EndedRun
}

// run is a running task.
type run struct {
	id        graph.Run
	plan      Plan
	startedAt time.Time
	workTimer *time.Timer
	gangTimer *time.Timer
	stopping  bool
	// pace is the speed of the run in percent of its full speed.
	pace int
}

// kill removes all runs from the worker without recording their ends. The remaining members of their gangs end.
func (w *simulatedWorker) kill() {
	for task := range w.runs {
		if r := w.remove(task); r.plan.Gang > 0 {
			w.fleet.breakGang(task, r.id)
		}
	}
	w.revokeUnacknowledgedDone()
	w.notifyChanged()
}

// revokeUnacknowledgedDone removes the tasks from doneUnits whose end as done is unacknowledged. They may start again,
// because the scheduler may not have recorded the end.
func (w *simulatedWorker) revokeUnacknowledgedDone() {
	for _, e := range w.unacknowledged {
		if e.end.Kind == planner.EndDone {
			delete(w.fleet.doneUnits, w.fleet.unitOf(e.end.Task))
		}
	}
}

// notifyChanged wakes up the heartbeats that wait for a change.
func (w *simulatedWorker) notifyChanged() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// remove deletes a run from the worker, stops the timers of the run and returns the run.
func (w *simulatedWorker) remove(task graph.TaskID) *run {
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

// expire ends all runs if the lease has expired. Tasks whose end as done is unacknowledged may then start again.
func (w *simulatedWorker) expire() {
	if w.leaseEnd.IsZero() || time.Now().Before(w.leaseEnd) {
		return
	}
	w.leaseEnd = time.Time{}
	w.revokeUnacknowledgedDone()
	for task := range w.runs {
		w.end(task, planner.EndLeaseExpired)
	}
}

// end removes a run from the worker and records its end. If a gang member ends other than as done, the remaining
// members end too.
func (w *simulatedWorker) end(task graph.TaskID, kind planner.EndKind) {
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

// used returns the resources that the runs on the worker hold.
func (w *simulatedWorker) used() resources.Amounts {
	var sum resources.Amounts
	for _, r := range w.runs {
		sum = sum.Add(r.plan.Needs)
	}
	return sum
}

// clock returns the reading of the worker's clock, which starts at one minute.
func (w *simulatedWorker) clock() runner.WorkerTime {
	return runner.WorkerTime(time.Since(w.startedAt) + time.Minute)
}

// renew extends the lease to the given time, but to no more than leaseLimit from now.
func (w *simulatedWorker) renew(until runner.WorkerTime) {
	remaining := min(time.Duration(until-w.clock()), leaseLimit)
	if end := time.Now().Add(remaining); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// admit ends the runs of an expired lease and rejects an order whose fencing token is lower than the token of an
// earlier order.
func (w *simulatedWorker) admit(fence runner.Fence) error {
	w.expire()
	if fence < w.fence {
		return runner.ErrFenced
	}
	w.fence = fence
	return nil
}

// endIfRunning ends a run unless it has ended already. Timers call it.
func (w *simulatedWorker) endIfRunning(task graph.TaskID, r *run, kind planner.EndKind) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.expire()
	if w.runs[task] == r {
		w.end(task, kind)
	}
}

// stop begins to stop a run, which ends after stopTime. A run that has not started yet cannot start after the stop
// order.
func (w *simulatedWorker) stop(s runner.Stop) error {
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

// maxListedEnds is the largest number of ended runs in one reply to a heartbeat. The reply lists the first ones.
const maxListedEnds = 500

// holdReply discards the ended runs up to the acknowledged number and returns the reply to a heartbeat.
func (w *simulatedWorker) holdReply(acknowledged int64) runner.HoldReply {
	kept := w.unacknowledged[:0]
	for _, e := range w.unacknowledged {
		if e.number > acknowledged {
			kept = append(kept, e)
		}
	}
	w.unacknowledged = kept
	reply := runner.HoldReply{
		Clock: w.clock(), Incarnation: w.info.Incarnation, MoreEnded: len(w.unacknowledged) >= maxListedEnds,
	}
	for task, r := range w.runs {
		percent := 0
		if r.workTimer != nil {
			percent = int(min(time.Since(r.startedAt)*99/max(r.plan.Work, 1), 99))
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
	for _, e := range w.unacknowledged[:min(len(w.unacknowledged), maxListedEnds)] {
		reply.Ended = append(reply.Ended, e.end)
		reply.Last = e.number
	}
	return reply
}
