package planner

import (
	"math"
	"sort"
	"time"

	"auburnstack/core/graph"
)

// maxPartTasks is the largest number of tasks in one part of a job's progress, unless the part is a single larger gang.
// The records of such a part stay below a twentieth of a megabyte, crashes and usual checkpoints included.
const maxPartTasks = 64

// part is a share of a job's units. Its progress is stored as one record.
type part struct {
	job *jobState
	// index is 0 for the first part, whose record also has the job's state.
	index int
	units []*unit
	// version is the number of the last change of the part, see Planner.changes.
	version uint64
	// since is the number of the oldest change that TakeChanges has not returned yet. It is only valid for parts in
	// Planner.dirty.
	since uint64
	// bare is set if the store rejects the record of the part. The record then leaves out the units.
	bare bool
}

// splitUnits divides the units of a job into parts.
func (p *Planner) splitUnits(j *jobState) {
	current := &part{job: j}
	j.parts = []*part{current}
	tasks := 0
	j.eachUnit(func(u *unit) {
		if tasks > 0 && tasks+u.size() > p.partTasks {
			current = &part{job: j, index: len(j.parts)}
			j.parts = append(j.parts, current)
			tasks = 0
		}
		u.part = current
		current.units = append(current.units, u)
		tasks += u.size()
	})
}

// Change is a part of the progress of a job that must be stored.
type Change struct {
	Progress graph.Progress
	// Version is the version of the part. It increases with each change of the part.
	Version uint64
}

// TakeChanges returns at most limit changes to store, those of the most urgent queues first, and among these the ones
// that have waited longest.
func (p *Planner) TakeChanges(limit int) []Change {
	parts := make([]*part, 0, len(p.dirty))
	for changed := range p.dirty {
		parts = append(parts, changed)
	}
	sort.Slice(parts, func(a, b int) bool {
		if first, second := parts[a].job.queue.Priority, parts[b].job.queue.Priority; first != second {
			return first < second
		}
		return parts[a].since < parts[b].since
	})
	parts = parts[:min(limit, len(parts))]
	sort.Slice(parts, func(a, b int) bool { return parts[a].less(parts[b]) })
	changes := make([]Change, 0, len(parts))
	for _, taken := range parts {
		delete(p.dirty, taken)
		p.storing[taken] = taken.since
		changes = append(changes, Change{Progress: taken.progress(), Version: taken.version})
	}
	return changes
}

// less orders parts by the priority of their queues, their jobs and their numbers.
func (s *part) less(other *part) bool {
	if s.job.queue.Priority != other.job.queue.Priority {
		return s.job.queue.Priority < other.job.queue.Priority
	}
	if s.job != other.job {
		return s.job.ID < other.job.ID
	}
	return s.index < other.index
}

// HasChanges reports whether any progress is waiting to be stored.
func (p *Planner) HasChanges() bool {
	return len(p.dirty) > 0
}

// LastChange returns the number of the last change of any progress.
func (p *Planner) LastChange() uint64 {
	return p.changes
}

// StoredUpTo returns the number of the last change that is stored, together with all changes before it.
func (p *Planner) StoredUpTo() uint64 {
	oldest := uint64(math.MaxUint64)
	for changed := range p.dirty {
		oldest = min(oldest, changed.since)
	}
	for _, since := range p.storing {
		oldest = min(oldest, since)
	}
	return oldest - 1
}

// partOf returns the part of which a change is the progress, or nil if the planner no longer has the job.
func (p *Planner) partOf(change *Change) *part {
	j, known := p.jobs[change.Progress.ID]
	if !known {
		return nil
	}
	return j.parts[change.Progress.Part]
}

// NotStored puts back a change that could not be stored, so that TakeChanges returns the part again.
func (p *Planner) NotStored(change Change) {
	changed := p.partOf(&change)
	if changed == nil {
		return
	}
	if since, storing := p.storing[changed]; storing {
		changed.since = since
		delete(p.storing, changed)
		p.dirty[changed] = struct{}{}
	}
}

// Rejected handles a change that the store will never accept. A job whose progress cannot be stored is given up: none
// of its tasks may start. The record that TakeChanges returns next has no units. Rejected returns false if the store
// has rejected such a record, too; it is not stored then.
func (p *Planner) Rejected(change Change, now time.Time) bool {
	changed := p.partOf(&change)
	if changed == nil {
		return false
	}
	delete(p.storing, changed)
	if changed.bare {
		return false
	}
	changed.bare = true
	if !changed.job.state.Final() {
		p.end(changed.job, graph.Failed, "the store rejects its progress", JobFailed, now)
	}
	p.markDirty(changed)
	return true
}

// Stored records that a change has been stored and orders the start of the units whose placement it contains. It
// reports whether this change was the first to store a final state of the job.
func (p *Planner) Stored(change Change, now time.Time) bool {
	changed := p.partOf(&change)
	if changed == nil {
		return false
	}
	delete(p.storing, changed)
	for _, u := range changed.units {
		switch {
		case u.phase != recording || u.recordVersion > change.Version:
		case u.job.holding.allowsStart(u.needs()):
			p.start(u, now)
		default:
			p.placeAgain(u, now)
		}
	}
	if changed.index > 0 {
		return false
	}
	j := changed.job
	ended := change.Progress.State.Final() && !j.stored.Final()
	j.stored = change.Progress.State
	return ended
}

// start orders the members of a unit to start.
func (p *Planner) start(u *unit, now time.Time) {
	u.phase = running
	u.job.holding.recording = u.job.holding.recording.Sub(u.needs())
	u.startedAt = now
	if u.job.firstStart.IsZero() {
		u.job.firstStart = now
	}
	u.resumed = u.checkpoint != ""
	forecast := p.forecast(u, now)
	for _, m := range u.members {
		m.percent = -1
		m.pace = fullPercent
		m.restartStallTimer()
		m.markOrdered()
		p.LeaseRenewed(m.worker.Name, now)
		start := Start{
			Worker: m.worker.Name, Task: u.task(m.index), Run: u.run, Spec: u.job.Spec, Checkpoint: u.checkpoint,
			Speeds: forecast,
		}
		forecast = SpeedForecast{}
		if held, permitted := p.validPermit(u, m.worker, now); permitted {
			start.Ticket = held.ticket
		}
		p.actions = append(p.actions, start)
	}
}

// recordedParts returns the value of graph.Progress.Parts in the job's records.
func (j *jobState) recordedParts() int {
	if len(j.parts) == 1 {
		return 0
	}
	return len(j.parts)
}

// progress returns the record of the part.
func (s *part) progress() graph.Progress {
	record := graph.Progress{ID: s.job.ID, Part: s.index, Parts: s.job.recordedParts()}
	if s.index == 0 {
		record.State, record.Reason, record.Ended = s.job.state, s.job.reason, s.job.ended
	}
	if s.bare {
		return record
	}
	for _, u := range s.units {
		if u.run > 0 {
			record.Units = append(record.Units, u.progress())
		}
	}
	return record
}
