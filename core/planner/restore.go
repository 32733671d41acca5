package planner

import (
	"slices"
	"time"

	"auburnstack/core/graph"
)

// Restore adds a job that was accepted earlier, with all parts of its stored progress. It has no effect if the
// planner already has the job.
func (p *Planner) Restore(job *graph.Job, progress graph.Progress, now time.Time) {
	if _, known := p.jobs[job.ID]; known {
		return
	}
	// Stops of restored runs are dated although Plan was not called yet.
	p.now = later(p.now, now)
	j := p.addJob(job)
	p.arrivalsChanged = true
	if progress.State != "" {
		j.state, j.stored = progress.State, progress.State
	}
	if j.state.Final() {
		j.countEnded()
	}
	j.reason, j.ended = progress.Reason, progress.Ended
	for _, record := range progress.Units {
		p.restoreUnit(j, record, now)
	}
	if len(p.workersByName) != len(p.workers) {
		p.sortWorkers()
	}
	if !j.state.Final() {
		p.unblock(j, now)
		p.endRestored(j, now)
	}
	if progress.Parts != j.recordedParts() && !j.state.Final() {
		p.storeAnew(j)
	}
	p.needsPlacement = true
}

// endRestored ends a job whose units show that it has ended. Its state is in another record than some of its units,
// so the previous leader may have stored the end of a unit only.
func (p *Planner) endRestored(j *jobState, now time.Time) {
	if j.remaining == 0 {
		j.setFinal(graph.Complete, now)
		p.markDirty(j.parts[0])
		return
	}
	var idle []*unit
	j.eachUnit(func(u *unit) {
		if u.phase == waiting {
			idle = append(idle, u)
		}
	})
	if slices.ContainsFunc(idle, (*unit).exhausted) {
		p.endExhausted(j, now)
	}
	p.giveUpDeadly(idle, now)
}

// storeAnew marks all parts of a job as changed, because its record was divided into other parts. The first part,
// whose record has held all units until now, is stored last.
func (p *Planner) storeAnew(j *jobState) {
	for i := len(j.parts) - 1; i >= 0; i-- {
		p.markDirty(j.parts[i])
	}
}

// restoreUnit applies the stored progress of one unit. A unit with stored workers counts as running on these workers
// until a worker's report or the end of a worker's lease shows otherwise.
func (p *Planner) restoreUnit(j *jobState, record graph.UnitProgress, now time.Time) {
	u := j.findUnit(record.Occurrence, record.Step, record.Index)
	if u == nil {
		return
	}
	u.run, u.checkpoint = record.Run, record.Checkpoint
	u.failures, u.failedRun = record.Failures, record.FailedRun
	u.restoreCrashes(&record)
	if u.isolated() {
		p.suspected[u] = struct{}{}
	}
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
			// A worker that is no longer registered may run its tasks until its lease has expired.
			w = p.addWorker(name, now)
		}
		places = append(places, w)
	}
	u.reserve(places)
	u.newestIncarnation = record.NewestIncarnation
	for _, m := range u.members {
		m.restored = true
		m.markOrdered()
		m.answeredAt = now
		m.restartStallTimer()
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
