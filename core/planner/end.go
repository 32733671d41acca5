package planner

import (
	"time"

	"auburnstack/core/graph"
)

// memberEnded releases a member whose run has ended. It then finishes or interrupts the unit, depending on how the
// run has ended.
func (p *Planner) memberEnded(m *member, kind EndKind, checkpoint string, now time.Time) {
	u := m.unit
	if m.state == ended || u.phase == finished {
		m.release()
		return
	}
	if checkpoint != "" {
		u.checkpoint = newerCheckpoint(u.checkpoint, checkpoint)
	}
	served := u.spec().LongRunning && m.inService()
	p.updateHealth(m, kind, now)
	m.release()
	p.needsPlacement = true
	switch {
	case kind == EndDone && !u.spec().LongRunning:
		p.finishUnit(u, m, now)
	case kind == EndFailed:
		if u.failedRun != u.run {
			u.failedRun = u.run
			u.failures++
		}
		if !served {
			u.avoidWorker(m.worker)
		}
		p.interruptUnit(u, now)
	default:
		p.interruptUnit(u, now)
	}
}

// observeLateEnd handles the end of a run that counts as lost already, because its worker was silent for longer than
// its lease. That was a guess: if the run has finished its task, nothing needs to run again. A newer run is stopped.
func (p *Planner) observeLateEnd(end *EndedRun, now time.Time) {
	j, known := p.jobs[end.Task.Job]
	if !known || j.state.Final() || end.Kind != EndDone {
		return
	}
	u := j.findUnit(end.Task.Occurrence, end.Task.Step, end.Task.Index)
	if u == nil || u.phase == finished || u.spec().LongRunning || !u.endedBefore(end.Run) {
		return
	}
	p.stopUnit(u, NotWanted)
	p.finishUnit(u, nil, now)
}

// endedBefore reports whether a run of the unit was ordered to start and counts as ended.
func (u *unit) endedBefore(run graph.Run) bool {
	if u.phase == running || u.phase == ending || u.phase == recording {
		return run < u.run
	}
	return run <= u.run
}

// maxAvoided limits the number of workers that a unit avoids, because long-running tasks may fail any number of
// times.
const maxAvoided = 4

// avoidWorker makes a unit avoid a worker on which it has failed.
func (u *unit) avoidWorker(w *worker) {
	u.avoidedWorkers = append(u.avoidedWorkers, w)
	if len(u.avoidedWorkers) > maxAvoided {
		u.avoidedWorkers = u.avoidedWorkers[1:]
	}
}

// updateHealth updates the health of a worker after the end of a run and records the run's duration.
func (p *Planner) updateHealth(m *member, kind EndKind, now time.Time) {
	if m.unit.spec().LongRunning {
		if kind == EndFailed && !m.inService() {
			m.worker.health.failed(m.unit.job.ID, now)
		}
		return
	}
	switch kind {
	case EndDone:
		m.worker.health.succeeded()
		p.observeDuration(m, now)
		p.watchEnd(m, now)
		p.estimator.observe(m.unit.job.queue.key, m.unit.spec().Estimate, now.Sub(m.unit.startedAt))
	case EndFailed:
		m.worker.health.failed(m.unit.job.ID, now)
	default:
	}
}

// finishUnit records that a unit has finished. The other members of a gang end on their own at the same time.
func (p *Planner) finishUnit(u *unit, reporter *member, now time.Time) {
	for _, m := range u.members {
		if m != reporter && m.state != ended {
			m.markStopping(now)
		}
	}
	u.phase = finished
	u.finishedAt = now
	u.job.remaining--
	if u.job.state.Final() {
		return
	}
	if u.job.remaining == 0 {
		u.job.setFinal(graph.Complete, now)
		p.markDirty(u.job.parts[0])
	} else {
		p.unblock(u.job, now)
	}
	p.markDirty(u.part)
}

// interruptUnit stops the remaining members of a unit after one of them has ended. When the last member has ended,
// the unit becomes ready for placement again, unless its job has ended or the queue allows no more attempts.
func (p *Planner) interruptUnit(u *unit, now time.Time) {
	if !u.job.state.Final() {
		// After a job has ended, the ends of its stopped runs are not stored, because nobody asks for them.
		p.markDirty(u.part)
	}
	for _, m := range u.members {
		if m.state == ended {
			continue
		}
		if u.phase == running {
			p.stopUnit(u, GangBroken)
		}
		return
	}
	u.members = nil
	if u.job.state.Final() {
		u.phase = blocked
		return
	}
	if u.exhausted() {
		u.phase = blocked
		p.endExhausted(u.job, now)
		return
	}
	p.enqueue(u, now)
}

// exhausted reports whether a unit has failed as often as its queue allows.
func (u *unit) exhausted() bool {
	limit := u.job.queue.MaxAttempts
	return limit > 0 && u.failures >= limit && !u.spec().LongRunning
}

// endExhausted ends a job because one of its units has failed as often as the queue allows.
func (p *Planner) endExhausted(j *jobState, now time.Time) {
	p.end(j, graph.Failed, "a task has failed as often as the queue allows", JobFailed, now)
}

// expireLeases marks all runs on workers whose leases have expired as lost.
func (p *Planner) expireLeases(now time.Time) {
	for _, w := range p.workersByName {
		if now.Before(w.leaseEnd) {
			continue
		}
		w.clearUnexpected()
		if len(w.members) == 0 {
			continue
		}
		p.reportExpired(w, now)
		suspected := p.rememberExpired(w, now)
		for _, m := range w.sortedMembers() {
			if m.state != planned {
				p.memberEnded(m, endLost, "", now)
			}
		}
		p.giveUpDeadly(suspected, now)
	}
}
