package planner

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/roster"
)

// EndKind is the way in which a run ended.
type EndKind int

// The ways in which a run ends.
const (
	// EndDone means that the task finished. If one member of a gang ends with EndDone, the whole gang is finished.
	EndDone EndKind = iota
	// EndFailed means that the task or its worker failed.
	EndFailed
	// EndStopped means that the run was stopped by a stop order.
	EndStopped
	// EndLeaseExpired means that the worker ended the run because its lease was not renewed.
	EndLeaseExpired
	// EndGangBroken means that the run ended because another member of its gang ended.
	EndGangBroken
	// EndGangIncomplete means that the run gave up waiting for the other members of its gang.
	EndGangIncomplete
	// endLost is set by the planner when it concludes that the run can no longer exist.
	endLost
)

// Observation is a worker's report of its running and ended tasks.
type Observation struct {
	Worker      endpoint.Name
	Incarnation roster.Incarnation
	// Sent is the time at which the request for the report was sent.
	Sent time.Time
	// Clock is the reading of the worker's own clock at the time of the report. It starts anew with each incarnation.
	Clock time.Duration
	Runs  []RunningTask
	// Ended holds the first ended runs that are not acknowledged. MoreEnded is set if there may be others; a run that the
	// report does not list may then be among these.
	Ended     []EndedRun
	MoreEnded bool
}

// RunningTask is a worker's report of one running task.
type RunningTask struct {
	Task       graph.TaskID
	Run        graph.Run
	Checkpoint string
	// Percent is the progress of the task from 0 to 100. A long-running task is in service at 100.
	Percent int
	// Reading is measured over the last half second. It is the tail latency in milliseconds for a task with a tail
	// latency target, and the processor use in thousandths of a core for any other task.
	Reading float64
}

// EndedRun is a worker's report of a run that has ended.
type EndedRun struct {
	Task       graph.TaskID
	Run        graph.Run
	Kind       EndKind
	Checkpoint string
}

// Observe updates the runs of a worker from its report. It ignores unknown workers and reports of earlier incarnations.
func (p *Planner) Observe(o Observation, now time.Time) {
	w, known := p.workers[o.Worker]
	if !known {
		return
	}
	if o.Incarnation < w.Incarnation {
		return
	}
	if w.Incarnation != 0 && o.Incarnation > w.Incarnation {
		p.dropRuns(w, o.Incarnation, o.fateOf, now)
	}
	w.silentSince = time.Time{}
	p.retract(p.takeExpired(w, now), w.Name, o.Incarnation)
	w.Incarnation = o.Incarnation
	w.clock, w.reportedAt = o.Clock, o.Sent
	for i := range o.Ended {
		p.observeEnd(w, &o.Ended[i], now)
	}
	seen := map[*member]struct{}{}
	w.unwantedRuns = 0
	w.clearUnexpected()
	for i := range o.Runs {
		if m := p.observeRun(w, &o.Runs[i], now); m != nil {
			seen[m] = struct{}{}
		} else {
			p.countUnexpected(w, &o.Runs[i])
		}
	}
	if !o.MoreEnded {
		p.endMissing(w, seen, o.Sent, now)
	}
}

// lookup returns the member of the given run on a worker, or nil if that run is not the newest one of its unit or was
// not assigned to this worker. A unit that awaits capacity still has the number of its previous run, whose members have
// ended.
func (p *Planner) lookup(w *worker, task graph.TaskID, run graph.Run) *member {
	j, known := p.jobs[task.Job]
	if !known {
		return nil
	}
	u := j.findUnit(task.Occurrence, task.Step, task.Index)
	if u == nil || u.run != run || u.phase == awaitingCapacity {
		return nil
	}
	index := task.Index - u.index
	if index >= len(u.members) || u.members[index].worker != w {
		return nil
	}
	return u.members[index]
}

func (p *Planner) observeEnd(w *worker, end *EndedRun, now time.Time) {
	m := p.lookup(w, end.Task, end.Run)
	if m == nil || m.state == planned {
		p.observeLateEnd(end, now)
		return
	}
	p.memberEnded(m, end.Kind, end.Checkpoint, now)
}

// observeRun updates the member of a running task from its worker's report and returns the member. If the run should
// not exist on this worker, it orders a stop and returns nil.
func (p *Planner) observeRun(w *worker, run *RunningTask, now time.Time) *member {
	m := p.lookup(w, run.Task, run.Run)
	if m == nil || m.state == ended || m.state == planned {
		p.actions = append(p.actions, Stop{Worker: w.Name, Task: run.Task, Run: run.Run, Reason: NotWanted})
		return nil
	}
	m.state = active
	p.confirm(m, now)
	if run.Checkpoint != "" {
		m.unit.checkpoint = newerCheckpoint(m.unit.checkpoint, run.Checkpoint)
	}
	m.reading = run.Reading
	m.observePercent(run.Percent, now)
	p.watchProgress(m, run.Percent, now)
	if !m.unit.job.started {
		m.unit.job.started = true
	}
	return m
}

// newerCheckpoint returns the later of two checkpoints of a unit: the longer text, or the lexically greater one if both
// have the same length.
func newerCheckpoint(known, reported string) string {
	if len(reported) > len(known) || len(reported) == len(known) && reported > known {
		return reported
	}
	return known
}

// endMissing marks members as lost if the worker's report does not list them, although the worker answered the last
// order about them before the report was requested.
func (p *Planner) endMissing(w *worker, seen map[*member]struct{}, sent, now time.Time) {
	unlisted := w.membersWith(func(m *member) bool {
		_, listed := seen[m]
		return !listed && m.state != planned
	})
	suspected := p.examineRestored(w, unlisted, sent, now)
	for _, m := range unlisted {
		if m.isMissing(sent) {
			p.memberEnded(m, endLost, "", now)
			continue
		}
		p.stopUnstarted(m, sent, now)
	}
	p.giveUpDeadly(suspected, now)
}

// isMissing reports whether a run that a report does not list can no longer exist, because the worker answered the last
// order about the run before the report was requested.
func (m *member) isMissing(sent time.Time) bool {
	return !m.answeredAt.IsZero() && m.answeredAt.Before(sent)
}

// Outcome is a worker's answer to an order.
type Outcome int

// The outcomes of an order.
const (
	// Accepted orders were carried out.
	Accepted Outcome = iota
	// Rejected orders had no effect and will have none.
	Rejected
	// Withdrawn orders were never sent.
	Withdrawn
	// NotPermitted orders had no effect because the worker did not accept the ticket.
	NotPermitted
	// RejectedAfterRetry orders were rejected, but an earlier attempt remained unanswered. That attempt may have
	// started the run, and the run may have ended since. The order can no longer start a run; the worker's next report
	// shows whether the earlier attempt's run exists.
	RejectedAfterRetry
	// Unanswered orders may have been carried out or may still be carried out later.
	Unanswered
)

// StartAnswered updates a run according to the outcome of its start order.
func (p *Planner) StartAnswered(start Start, outcome Outcome, now time.Time) {
	w, known := p.workers[start.Worker]
	if !known {
		return
	}
	m := p.lookup(w, start.Task, start.Run)
	if m == nil || m.state == ended || m.state == planned {
		return
	}
	switch outcome {
	case Accepted:
		m.answeredAt = now
		if m.state == unconfirmed {
			m.state = active
			m.restartStallTimer()
		}
		if !m.unit.job.started {
			m.unit.job.started = true
		}
	case NotPermitted:
		p.revokePermit(m.unit, w)
		p.memberEnded(m, endLost, "", now)
	case Rejected:
		w.rejectedUntil = now.Add(rejectionPause)
		p.memberEnded(m, endLost, "", now)
	case Withdrawn:
		p.memberEnded(m, endLost, "", now)
	case RejectedAfterRetry:
		m.answeredAt = now
	case Unanswered:
		m.unansweredAt = now
	}
}

// StopAnswered records that a worker has accepted a stop order: the run ends or can no longer start.
func (p *Planner) StopAnswered(stop Stop, now time.Time) {
	w, known := p.workers[stop.Worker]
	if !known {
		return
	}
	if m := p.lookup(w, stop.Task, stop.Run); m != nil {
		m.answeredAt = now
	}
}

// StillNeeded reports whether an order still matches the state of its run.
func (p *Planner) StillNeeded(action Action) bool {
	switch a := action.(type) {
	case Start:
		w, known := p.workers[a.Worker]
		if !known {
			return false
		}
		m := p.lookup(w, a.Task, a.Run)
		return m != nil && m.unit.phase == running && m.state == unconfirmed
	case Stop:
		w, known := p.workers[a.Worker]
		if !known {
			return false
		}
		m := p.lookup(w, a.Task, a.Run)
		return m != nil && m.state != ended
	case Pace:
		w, known := p.workers[a.Worker]
		if !known {
			return false
		}
		m := p.lookup(w, a.Task, a.Run)
		return m != nil && m.state == active && m.pace == a.Percent
	default:
		return false
	}
}

// String returns the name of the way in which a run ended. Metrics use it as a label.
func (k EndKind) String() string {
	switch k {
	case EndDone:
		return "done"
	case EndFailed:
		return "failed"
	case EndStopped:
		return "stopped"
	case EndLeaseExpired:
		return "lapsed"
	case EndGangBroken:
		return "broken"
	case EndGangIncomplete:
		return "alone"
	default:
		return "lost"
	}
}
