package planner

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/roster"
)

// EndKind tells how a run ended.
type EndKind int

// The ways in which a run ends.
const (
	// EndDone is the end of a finished task; one such end stands for a whole gang.
	EndDone EndKind = iota
	// EndFailed is a failure of the task or of its worker.
	EndFailed
	// EndStopped follows a stop.
	EndStopped
	// EndLeaseExpired follows a lease that was not renewed.
	EndLeaseExpired
	// EndGangBroken follows the end of another member of the gang.
	EndGangBroken
	// EndGangIncomplete follows a wait in vain for the other members of the gang.
	EndGangIncomplete
	// endLost is concluded by the planner: the run can't exist any more.
	endLost
)

// Observation is what a worker said of itself.
type Observation struct {
	Worker      endpoint.Name
	Incarnation roster.Incarnation
	// Sent is when the question was sent.
	Sent  time.Time
	Runs  []RunningTask
	Ended []EndedRun
}

// RunningTask is a task that runs on a worker.
type RunningTask struct {
	Task       graph.TaskID
	Run        graph.Run
	Checkpoint string
	// Percent is the progress of the task, 0 to 100. A long-running task is at work at 100.
	Percent int
	// Reading covers the last half second: the tail latency in milliseconds of a task that serves, the processor use in
	// thousandths of a core of any other.
	Reading float64
}

// EndedRun is a run that has ended on a worker.
type EndedRun struct {
	Task       graph.TaskID
	Run        graph.Run
	Kind       EndKind
	Checkpoint string
}

// Observe takes in what a worker said of itself.
func (p *Planner) Observe(o Observation, now time.Time) {
	w, known := p.workers[o.Worker]
	if !known {
		return
	}
	if o.Incarnation < w.Incarnation {
		return
	}
	if w.Incarnation != 0 && o.Incarnation > w.Incarnation {
		p.dropRuns(w, now)
	}
	w.Incarnation = o.Incarnation
	for i := range o.Ended {
		p.observeEnd(w, &o.Ended[i], now)
	}
	seen := map[*member]struct{}{}
	w.unwantedRuns = 0
	for i := range o.Runs {
		if m := p.observeRun(w, &o.Runs[i], now); m != nil {
			seen[m] = struct{}{}
		} else {
			w.unwantedRuns++
		}
	}
	p.endMissing(w, seen, o.Sent, now)
}

func (p *Planner) lookup(w *worker, task graph.TaskID, run graph.Run) *member {
	j, known := p.jobs[task.Job]
	if !known {
		return nil
	}
	u := j.findUnit(task.Occurrence, task.Step, task.Index)
	if u == nil || u.run != run {
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
		return
	}
	p.memberEnded(m, end.Kind, end.Checkpoint, now)
}

// observeRun takes in a running task and returns its member; a run that is not wanted is stopped.
func (p *Planner) observeRun(w *worker, run *RunningTask, now time.Time) *member {
	m := p.lookup(w, run.Task, run.Run)
	if m == nil || m.state == ended || m.state == planned {
		p.actions = append(p.actions, Stop{Worker: w.Name, Task: run.Task, Run: run.Run, Reason: NotWanted})
		return nil
	}
	m.state = active
	if run.Checkpoint != "" {
		m.unit.checkpoint = newerCheckpoint(m.unit.checkpoint, run.Checkpoint)
	}
	m.reading = run.Reading
	if run.Percent != m.percent {
		m.percent, m.percentSince = run.Percent, now
	}
	if !m.unit.job.started {
		m.unit.job.started = true
	}
	return m
}

// newerCheckpoint returns the later one of two checkpoints of a unit.
func newerCheckpoint(known, reported string) string {
	if len(reported) > len(known) || len(reported) == len(known) && reported > known {
		return reported
	}
	return known
}

// endMissing ends the members that a worker would have listed if they ran.
func (p *Planner) endMissing(w *worker, seen map[*member]struct{}, sent, now time.Time) {
	for _, m := range w.sortedMembers() {
		if _, runs := seen[m]; runs || m.state == planned {
			continue
		}
		if !m.answeredAt.IsZero() && m.answeredAt.Before(sent) {
			p.memberEnded(m, endLost, "", now)
		}
	}
}

// Outcome is how a worker answered an order.
type Outcome int

// The outcomes of an order.
const (
	// Accepted orders were carried out.
	Accepted Outcome = iota
	// Rejected orders had no effect and will have none.
	Rejected
	// NotPermitted orders had no effect, as the worker did not accept the ticket.
	NotPermitted
	// RejectedAfterRetry orders were rejected after an earlier try without an answer: that one may have been carried out, and the
	// run may even have ended. Nothing begins any more; the worker's next report tells.
	RejectedAfterRetry
	// Unanswered orders may have been carried out, or will be.
	Unanswered
)

// StartAnswered notes the answer to a start.
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
			m.percentSince = now
		}
		if !m.unit.job.started {
			m.unit.job.started = true
		}
	case NotPermitted:
		p.revokePermit(m.unit, w)
		p.memberEnded(m, endLost, "", now)
	case Rejected:
		p.memberEnded(m, endLost, "", now)
	case RejectedAfterRetry:
		m.answeredAt = now
	case Unanswered:
	}
}

// StopAnswered notes that a worker has accepted a stop: the run ends, or can't begin any more.
func (p *Planner) StopAnswered(stop Stop, now time.Time) {
	w, known := p.workers[stop.Worker]
	if !known {
		return
	}
	if m := p.lookup(w, stop.Task, stop.Run); m != nil {
		m.answeredAt = now
	}
}

// StillNeeded tells whether an order still makes sense.
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

// String names the way in which a run ended.
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
