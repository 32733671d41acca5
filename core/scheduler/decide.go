package scheduler

import (
	"sort"
	"time"

	"auburnstack/core/cell"
	"auburnstack/core/placement"
	"auburnstack/core/route"
)

// recheckInterval is the time after which the queue is examined again without an event. A waiting job gains rights with
// time alone: a long job may preempt batch work after PreemptAfter, a batch job ranks as a long one after AgingAfter.
const recheckInterval = time.Second

// placeQueued places queued jobs. It repeatedly tries the first job of the best-ranked lane, a list of jobs that can be
// placed in the same ways, and skips the lanes whose first job could not be placed, until no lane is left or the ramp
// (the limit on starts after a failure domain has returned) allows no more starts. Outside the ramp it tries no lane if
// no event has occurred since the last pass and recheckInterval has not passed. In each case it suggests moves for the
// jobs that have waited long.
func (s *Scheduler) placeQueued(now time.Time) {
	if !s.dirty && !s.ramp.limited(now) && now.Sub(s.lastQueuePass) < recheckInterval {
		s.moveLongWaiting(now)
		return
	}
	s.dirty = false
	s.lastQueuePass = now
	stuck := map[signature]bool{}
	for s.ramp.allow(now) {
		l, ok := s.nextLane(now, stuck)
		if !ok {
			break
		}
		head, _ := s.queue.head(l)
		if !s.place(head, now) {
			stuck[l.signature] = true
			continue
		}
		// Remove the job by ID: place may have requeued preempted jobs, and one may now be ahead of it in the lane.
		s.queue.remove(head.ID)
		s.ramp.countStart()
	}
	s.moveLongWaiting(now)
}

// nextLane returns the best-ranked lane that has a waiting job, except the lanes whose signature is in stuck. A lane
// lists the waiting jobs that can be placed in the same ways.
func (s *Scheduler) nextLane(now time.Time, stuck map[signature]bool) (*lane, bool) {
	var best *lane
	var bestRank rank
	for key, l := range s.queue.lanes {
		if stuck[key] {
			continue
		}
		head, ok := s.queue.head(l)
		if !ok {
			continue
		}
		r := rank{class: agedClass(head, now, s.settings.AgingAfter), borrowed: s.borrowedBy[key.pool], head: head}
		if best == nil || r.before(bestRank) {
			best, bestRank = l, r
		}
	}
	return best, best != nil
}

// place assigns workers to a job and reports whether it found any. It tries the blocks of the job's pool first, then
// free accelerators to borrow, then accelerators of borrowed work that the job may preempt.
func (s *Scheduler) place(j Job, now time.Time) bool {
	defer s.hideAvoided(j)()
	g := &gang{Job: j, phase: pending}
	if s.placeGuaranteed(g, now) || s.placeBorrowed(g) || s.placeByPreemption(g, now) {
		s.hold(g)
		s.evict(g, now)
		s.startOrWait(g, now)
		return true
	}
	return false
}

// hideAvoided hides the workers on which a job has failed from searches. It hides none if the other workers could not
// hold the job even without other work. The returned function includes these workers in searches again.
func (s *Scheduler) hideAvoided(j Job) (restore func()) {
	hide := func(hidden bool) {
		for _, name := range j.Avoid {
			if w, known := s.fleet.Lookup(name); known {
				s.fleet.Hide(w, hidden)
			}
		}
	}
	if len(j.Avoid) == 0 {
		return func() {}
	}
	hide(true)
	if !s.CanEverFit(j.Shape) {
		hide(false)
		return func() {}
	}
	return func() { hide(false) }
}

// startOrWait launches a gang if its accelerators are free, and otherwise adds the gang to the pending gangs.
func (s *Scheduler) startOrWait(g *gang, now time.Time) {
	if s.vacated(g) {
		s.launch(g, now)
		return
	}
	s.pendingGangs = append(s.pendingGangs, g)
}

// placeBorrowed chooses free accelerators for a gang and reports whether there are enough. It prefers accelerators
// outside all blocks, because a pool reclaims only accelerators of its blocks.
func (s *Scheduler) placeBorrowed(g *gang) bool {
	for _, level := range []cell.Level{cell.FreeUnbound, cell.Free} {
		workers, ok := placement.Choose(s.settings.Policy, s.fleet, level, g.Shape)
		if ok {
			g.term = Borrowed
			g.workers = workers
			return true
		}
	}
	return false
}

// placeByPreemption chooses accelerators that are free or held by borrowed work of a less urgent class, and reports
// whether the gang may preempt and there are enough of them.
func (s *Scheduler) placeByPreemption(g *gang, now time.Time) bool {
	level, allowed := s.preemptionLevel(g.Job, now)
	if !allowed {
		return false
	}
	workers, ok := s.fleet.Adjacent(level, g.Shape)
	if !ok {
		return false
	}
	g.term = Borrowed
	g.workers = workers
	return true
}

// preemptionLevel returns the level at which a job may take accelerators from borrowed work, and whether it may do so.
func (s *Scheduler) preemptionLevel(j Job, now time.Time) (cell.Level, bool) {
	switch j.Class {
	case route.Urgent:
		return cell.PreemptibleByUrgent, true
	case route.Long:
		return cell.PreemptibleByLong, now.Sub(j.Submitted) >= s.settings.PreemptAfter
	default:
		return cell.Free, false
	}
}

// evict stops as many borrowed gangs on the workers of g as must end before g can start.
func (s *Scheduler) evict(g *gang, now time.Time) {
	reason := Preempted
	if g.term == Guaranteed {
		reason = Reclaimed
	}
	for _, w := range g.workers {
		for _, victim := range s.victims(w, g, now) {
			s.stop(victim, reason)
		}
	}
}

// victims returns the gangs to stop on a worker, the cheapest first, so that g and the remaining gangs fit there.
func (s *Scheduler) victims(w cell.Worker, g *gang, now time.Time) []*gang {
	candidates, occupied := s.borrowedOn(w, g)
	excess := occupied + s.fleet.HeldGuaranteed(w) - s.fleet.Total(w)
	if excess <= 0 {
		return nil
	}
	sort.SliceStable(candidates, func(i, j int) bool { return cheaper(candidates[i], candidates[j], now) })
	var chosen []*gang
	for _, candidate := range candidates {
		if excess <= 0 {
			break
		}
		chosen = append(chosen, candidate)
		excess -= candidate.Shape.Accelerators
	}
	return chosen
}

// borrowedOn returns the borrowed gangs on a worker that may be stopped for g, and the number of accelerators that all
// borrowed gangs there hold, except those that are stopping already.
func (s *Scheduler) borrowedOn(w cell.Worker, g *gang) (candidates []*gang, occupied int) {
	for _, other := range s.onWorker[w] {
		if other.term != Borrowed || other.phase == stopping {
			continue
		}
		occupied += other.Shape.Accelerators
		if other != g && (g.term == Guaranteed || other.Class > g.Class) {
			candidates = append(candidates, other)
		}
	}
	return candidates, occupied
}

// cheaper reports whether gang a should be stopped before gang b: the less urgent class first, then the one that loses
// less work.
func cheaper(a, b *gang, now time.Time) bool {
	if a.Class != b.Class {
		return a.Class > b.Class
	}
	return a.lostWork(now) < b.lostWork(now)
}

// moveLongWaiting suggests a move for the first job of each lane once that job has waited for MoveAfter. A lane lists
// the waiting jobs that can be placed in the same ways.
func (s *Scheduler) moveLongWaiting(now time.Time) {
	if s.settings.MoveAfter == 0 {
		return
	}
	for _, l := range s.queue.lanes {
		head, ok := s.queue.head(l)
		if ok && now.Sub(head.Submitted) >= s.settings.MoveAfter {
			s.moveIfPossible(head)
		}
	}
}

// moveIfPossible suggests a move for a job if at least one other failure domain of its pool is in, that is, not taken
// out by the operators.
func (s *Scheduler) moveIfPossible(j Job) {
	p, known := s.tables.Pool(j.Pool)
	if !known {
		return
	}
	for _, name := range p.FailureDomains {
		if name != s.domain && s.tables.IsIn(name) {
			s.actions = append(s.actions, Move{ID: j.ID})
			return
		}
	}
}
