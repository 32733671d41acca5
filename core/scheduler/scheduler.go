// Package scheduler decides, for one failure domain, which jobs run on which workers, and whether on guaranteed or on
// borrowed accelerators. It does no I/O and reads no clock: its driver reports events and the time by method calls, and
// carries out the actions that Decide returns.
//
// Each job runs as a gang: all its members run at the same time, each on a worker of its own. A pool is guaranteed a
// number of blocks, which the scheduler binds to workers. Accelerators that no guaranteed gang uses, inside blocks or
// outside, can be borrowed. A borrowed gang is stopped when a pool claims the block that the gang occupies, or when
// work of a more urgent class preempts it.
package scheduler

import (
	"sort"
	"time"

	"auburnstack/core/cell"
	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/job"
	"auburnstack/core/placement"
	"auburnstack/core/pool"
	"auburnstack/core/table"
)

// Settings configures a scheduler.
type Settings struct {
	// Policy chooses the workers of gangs that borrow free accelerators.
	Policy placement.Policy
	// AgingAfter is the waiting time after which a batch job is ranked as a long one.
	AgingAfter time.Duration
	// PreemptAfter is the waiting time after which a long job may preempt borrowed batch work.
	PreemptAfter time.Duration
	// MoveAfter is the waiting time after which a job may be moved to another failure domain. The value 0 disables such
	// moves.
	MoveAfter time.Duration
	// ReturnRamp is the time for which job starts are limited after a failure domain has returned.
	ReturnRamp time.Duration
}

// DefaultSettings returns the settings that the entry daemon uses if its settings file sets none.
func DefaultSettings() Settings {
	return Settings{
		Policy:       placement.Adjacent{},
		AgingAfter:   30 * time.Minute,
		PreemptAfter: 30 * time.Second,
		MoveAfter:    5 * time.Second,
		ReturnRamp:   10 * time.Second,
	}
}

// Scheduler holds the scheduling state of one failure domain. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	domain   domain.Name
	fleet    *cell.Fleet
	blocks   *blocks
	queue    *queue
	tables   *table.Tables
	// gangs holds the jobs that hold accelerators, including those that are stopping.
	gangs map[job.ID]*gang
	// onWorker lists the gangs with a member on each worker.
	onWorker map[cell.Worker][]*gang
	// borrowedBy is the number of accelerators that the gangs of each pool have borrowed.
	borrowedBy map[pool.Name]int
	// pendingGangs lists the gangs that have been placed but cannot launch until other gangs on their workers have
	// ended.
	pendingGangs []*gang
	quarantine   *quarantine
	ramp         ramp
	actions      []Action
	// dirty is set when an event may have made it possible to place a queued job.
	dirty bool
	// lastQueuePass is the time at which placeQueued last went through the queue.
	lastQueuePass time.Time
}

// New returns a scheduler for the named failure domain, without workers and jobs.
func New(name domain.Name, settings Settings) *Scheduler {
	fleet := cell.New()
	return &Scheduler{
		settings:   settings,
		domain:     name,
		fleet:      fleet,
		blocks:     newBlocks(fleet),
		queue:      newQueue(),
		tables:     table.Empty(),
		gangs:      map[job.ID]*gang{},
		onWorker:   map[cell.Worker][]*gang{},
		borrowedBy: map[pool.Name]int{},
		quarantine: newQuarantine(),
		ramp:       ramp{duration: settings.ReturnRamp},
	}
}

// Submit queues a job. It has no effect if the job is queued or holds accelerators already.
func (s *Scheduler) Submit(j Job) {
	if _, running := s.gangs[j.ID]; running {
		return
	}
	s.queue.add(s.routed(j))
	s.dirty = true
}

// Adopt takes over a running gang that a previous scheduler of this failure domain has started. The gang becomes
// guaranteed if the parameter term is Guaranteed and a block can be bound to the gang's workers. Otherwise it becomes
// borrowed.
func (s *Scheduler) Adopt(j Job, term Term, workers []endpoint.Name, now time.Time) {
	if _, known := s.gangs[j.ID]; known {
		return
	}
	g := &gang{Job: s.routed(j), term: Borrowed, phase: launched, started: now}
	for _, name := range workers {
		if w, ok := s.fleet.Lookup(name); ok {
			g.workers = append(g.workers, w)
		}
	}
	if len(g.workers) == 0 {
		return
	}
	s.queue.remove(j.ID)
	s.hold(g)
	if term == Guaranteed {
		s.makeGuaranteed(g)
	}
	s.dirty = true
}

// Cancel removes a job from the queue, or stops it if it holds accelerators.
func (s *Scheduler) Cancel(id job.ID) {
	if s.queue.remove(id) {
		return
	}
	if g, running := s.gangs[id]; running {
		s.stop(g, Canceled)
	}
}

// Ended releases the accelerators of a gang. The driver calls it once no member of the gang can run any more.
func (s *Scheduler) Ended(id job.ID) {
	g, running := s.gangs[id]
	if !running {
		return
	}
	s.release(g)
	s.blocks.bindAllIfNeeded()
	s.dirty = true
}

// Holds reports whether a job holds accelerators.
func (s *Scheduler) Holds(id job.ID) bool {
	_, running := s.gangs[id]
	return running
}

// Waiting returns the number of queued jobs.
func (s *Scheduler) Waiting() int {
	return s.queue.len()
}

// Decide returns the actions that result from the events and the time passed since the last call.
func (s *Scheduler) Decide(now time.Time) []Action {
	s.releaseQuarantined(now)
	s.launchVacated(now)
	if s.tables.IsIn(s.domain) {
		s.placeQueued(now)
	}
	actions := s.actions
	s.actions = nil
	return actions
}

// launchVacated launches the pending gangs whose accelerators have become free, and keeps the others pending.
func (s *Scheduler) launchVacated(now time.Time) {
	var stillPending []*gang
	for _, g := range s.pendingGangs {
		switch {
		case g.phase != pending:
		case s.vacated(g):
			s.launch(g, now)
		default:
			stillPending = append(stillPending, g)
		}
	}
	s.pendingGangs = stillPending
}

// vacated reports whether the gang can launch: none of its workers may hold more work than it has accelerators for.
func (s *Scheduler) vacated(g *gang) bool {
	for _, w := range g.workers {
		if s.fleet.FreeOn(w) < 0 {
			return false
		}
	}
	return true
}

func (s *Scheduler) launch(g *gang, now time.Time) {
	g.phase = launched
	g.started = now
	names := make([]endpoint.Name, 0, len(g.workers))
	for _, w := range g.workers {
		names = append(names, s.fleet.Name(w))
	}
	s.actions = append(s.actions, Launch{ID: g.ID, Term: g.term, Workers: names, Accelerators: g.Shape.Accelerators})
}

// stop stops a gang: it requeues a pending gang, unless the reason is Canceled, and adds a Stop action for a launched
// one.
func (s *Scheduler) stop(g *gang, reason StopReason) {
	switch g.phase {
	case pending:
		s.release(g)
		if reason != Canceled {
			s.queue.add(s.routed(g.Job))
		}
	case launched:
		g.phase = stopping
		s.actions = append(s.actions, Stop{ID: g.ID, Reason: reason})
	case stopping:
	}
	s.dirty = true
}

func (s *Scheduler) sortedGangs() []*gang {
	all := make([]*gang, 0, len(s.gangs))
	for _, g := range s.gangs {
		all = append(all, g)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
