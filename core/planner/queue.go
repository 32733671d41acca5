package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"auburnstack/core/graph"
	"auburnstack/core/policy"
)

// queue is a queue with jobs. Its jobs share it, so that it alone says which settings they have now: those of the
// policy in force or, while the policy lacks the queue, the ones that the queue had last.
type queue struct {
	policy.Queue
	// key identifies the queue where its jobs are counted and their durations are estimated.
	key string
	// inForce is set if the policy in force has the queue.
	inForce bool
	// lastKnown is only valid if inForce is not set. It is the time at which the policy was seen to lack the queue or, if
	// the settings are those of a job's acceptance, the time of that.
	lastKnown time.Time
	// jobs is the number of jobs that the planner has, unfinished the number of those that have not ended.
	jobs, unfinished int
}

// queueRef identifies a queue by its address or, if the address is not known, by its name.
type queueRef struct {
	policy.Address
	name string
}

// refOf returns the reference to the queue of a job that was accepted with the given settings. The parameter name is
// the queue's name at that time.
func refOf(accepted *policy.Queue, name string) queueRef {
	if address := accepted.Address(); address.Known() {
		return queueRef{Address: address}
	}
	return queueRef{name: name}
}

// set replaces the settings of the queue.
func (q *queue) set(ref queueRef, settings policy.Queue) {
	q.Queue, q.key = settings, cmp.Or(settings.Key(), ref.name)
}

// queueOf returns the queue of a job. A queue that the policy lacks has the settings of its newest job's acceptance,
// unless the planner knows later ones.
func (p *Planner) queueOf(job *graph.Job) *queue {
	ref := refOf(&job.AcceptedBy, job.Queue)
	q, known := p.queues[ref]
	if !known {
		q = &queue{lastKnown: job.Accepted}
		p.queues[ref] = q
		q.set(ref, job.AcceptedBy)
		p.follow(ref, q)
	}
	if !q.inForce && job.Accepted.After(q.lastKnown) && job.AcceptedBy.Service != "" {
		q.lastKnown = job.Accepted
		p.adopt(ref, q, job.AcceptedBy)
	}
	p.anyAdvised = p.anyAdvised || q.Advice != nil
	return q
}

// adopt gives a queue that the policy lacks the settings that the acceptance of a job has shown.
func (p *Planner) adopt(ref queueRef, q *queue, settings policy.Queue) {
	before := q.Queue
	q.set(ref, settings)
	if !settings.SameScheduling(&before) {
		p.applySettings(map[*queue]policy.Queue{q: before})
	}
}

// follow takes the settings of a queue from the policy in force if the policy has the queue.
func (p *Planner) follow(ref queueRef, q *queue) {
	settings, found := p.queueIndex.Find(ref.Address, ref.name)
	switch {
	case found:
		q.set(ref, settings)
	case q.inForce:
		q.lastKnown = p.now
	}
	q.inForce = found
}

// QueueChange is a change of the settings that apply to the jobs of a queue.
type QueueChange struct {
	Old, New policy.Queue
	// Unfinished is the number of jobs of the queue that have not ended.
	Unfinished int
}

// applyQueues makes all jobs follow the policy in force, and returns the changes of queues with unfinished jobs.
func (p *Planner) applyQueues() []QueueChange {
	p.anyAdvised, p.lastApplied = false, len(p.queues)
	before := map[*queue]policy.Queue{}
	for ref, q := range p.queues {
		if q.jobs == 0 {
			delete(p.queues, ref)
			continue
		}
		old := q.Queue
		p.follow(ref, q)
		if !q.SameScheduling(&old) {
			before[q] = old
		}
		p.anyAdvised = p.anyAdvised || q.Advice != nil
	}
	p.applySettings(before)
	var changes []QueueChange
	for q, old := range before {
		if q.unfinished > 0 {
			changes = append(changes, QueueChange{Old: old, New: q.Queue, Unfinished: q.unfinished})
		}
	}
	slices.SortFunc(changes, func(a, b QueueChange) int { return cmp.Compare(a.New.Key(), b.New.Key()) })
	return changes
}

// applySettings applies changed settings to the tasks of their jobs: placements that they do not allow are withdrawn,
// unless their start was ordered, and jobs with a waiting task that has failed as often as is now allowed end. The
// parameter before holds the queues that have changed with their earlier settings.
func (p *Planner) applySettings(before map[*queue]policy.Queue) {
	if len(before) == 0 {
		return
	}
	// Units that the current round has tried may fit now.
	p.round = nil
	p.needsPlacement = true
	outdated := map[*unit]struct{}{}
	for _, w := range p.workersByName {
		p.lastApplied += len(w.members)
		for m := range w.members {
			u := m.unit
			if _, changed := before[u.job.queue]; !changed {
				continue
			}
			m.countLesser()
			if isNotOrdered(u) && !p.allows(u, w) {
				outdated[u] = struct{}{}
			}
		}
	}
	for _, u := range sortedUnits(outdated) {
		p.placeAgain(u, p.now)
	}
	p.endExhaustedJobs(before)
}

// StartSent records that a start was sent to its worker. The run may exist from now on.
func (p *Planner) StartSent(start Start) {
	if w, known := p.workers[start.Worker]; known {
		if m := p.lookup(w, start.Task, start.Run); m != nil {
			m.unit.startSent = true
		}
	}
}

// Outdated reports whether the settings of a task's queue have changed since a start was ordered, so that the start
// must not be sent. A gang of which another start was sent goes on where it is, as long as it has attempts left.
func (p *Planner) Outdated(start Start) bool {
	w, known := p.workers[start.Worker]
	if !known {
		return false
	}
	m := p.lookup(w, start.Task, start.Run)
	if m == nil {
		return false
	}
	u := m.unit
	return u.exhausted() || !u.startSent && (!u.suits(w) || u.advised() && start.Ticket == "")
}

// allows reports whether the settings of a unit's queue allow the unit to start on a worker.
func (p *Planner) allows(u *unit, w *worker) bool {
	return u.suits(w) && !u.exhausted() && (!u.advised() || p.hasPermit(u, w, p.now))
}

// endExhaustedJobs ends the jobs of queues that allow fewer attempts than before if a waiting unit has had them.
func (p *Planner) endExhaustedJobs(before map[*queue]policy.Queue) {
	fewer := map[*queue]struct{}{}
	for q, old := range before {
		if q.MaxAttempts > 0 && (old.MaxAttempts == 0 || q.MaxAttempts < old.MaxAttempts) {
			fewer[q] = struct{}{}
		}
	}
	if len(fewer) == 0 {
		return
	}
	p.lastApplied += len(p.waiting)
	exhausted := map[*unit]struct{}{}
	for u := range p.waiting {
		if _, concerned := fewer[u.job.queue]; concerned && u.exhausted() {
			exhausted[u] = struct{}{}
		}
	}
	for _, u := range sortedUnits(exhausted) {
		if !u.job.state.Final() {
			p.endExhausted(u.job, p.now)
		}
	}
}

func sortedUnits(set map[*unit]struct{}) []*unit {
	list := slices.Collect(maps.Keys(set))
	sortUnits(list)
	return list
}

// FormerQueue holds the settings that a queue had last before it was removed from the policy.
type FormerQueue struct {
	policy.Queue
	// LastKnown is the time up to which the settings are known to have applied.
	LastKnown time.Time
}

// FormerQueues returns the queues that the policy lacks and that have unfinished jobs, sorted by key. They must be
// stored: the next leader cannot know the settings.
func (p *Planner) FormerQueues() []FormerQueue {
	var list []FormerQueue
	for _, q := range p.queues {
		if !q.inForce && q.unfinished > 0 && q.Service != "" {
			list = append(list, FormerQueue{Queue: q.Queue, LastKnown: q.lastKnown})
		}
	}
	slices.SortFunc(list, func(a, b FormerQueue) int { return cmp.Compare(a.Key(), b.Key()) })
	return list
}

// RestoreQueues tells a planner without jobs the settings of queues that an earlier leader has stored.
func (p *Planner) RestoreQueues(former []FormerQueue) {
	for i := range former {
		f := &former[i]
		ref := refOf(&f.Queue, f.Name)
		q := &queue{lastKnown: f.LastKnown}
		q.set(ref, f.Queue)
		p.follow(ref, q)
		p.queues[ref] = q
	}
}
