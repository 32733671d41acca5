package scheduler

import (
	"slices"
	"sort"
	"time"

	"auburnstack/core/pool"
	"auburnstack/core/table"
)

// SetTables applies a revision of the routes and pools tables: it adjusts the guaranteed blocks of all pools. If
// operators have taken the failure domain out, SetTables stops all work in the failure domain. If operators have put
// the failure domain back in, the ramp of job starts begins.
func (s *Scheduler) SetTables(tables *table.Tables, now time.Time) {
	wasIn := s.tables.IsIn(s.domain)
	s.tables = tables
	isIn := tables.IsIn(s.domain)
	switch {
	case wasIn && !isIn:
		s.leaveDomain()
	case !wasIn && isIn:
		s.ramp.begin(now)
	}
	s.resizePools()
	s.blocks.bindAll()
	s.rerouteWaiting()
	s.dirty = true
}

// routed returns the job with the pool and class that its route has now.
func (s *Scheduler) routed(j Job) Job {
	if found, known := s.tables.Route(j.Route); known {
		j.Pool, j.Class = found.Pool, found.Class
	}
	return j
}

// changesRoute reports whether a job's route has another pool or class now.
func (s *Scheduler) changesRoute(j Job) bool {
	routed := s.routed(j)
	return routed.Pool != j.Pool || routed.Class != j.Class
}

// rerouteWaiting makes the jobs that wait, or that wait to launch, follow their routes. Launched gangs run on as they
// are.
func (s *Scheduler) rerouteWaiting() {
	for _, g := range s.sortedGangs() {
		if g.phase == pending && s.changesRoute(g.Job) {
			s.stop(g, Rerouted)
		}
	}
	for _, j := range s.queue.all() {
		if s.changesRoute(j) {
			s.queue.remove(j.ID)
			s.reroute(s.routed(j))
		}
	}
}

// reroute queues a job whose route has changed. It suggests a move if the job's pool is not in this failure domain.
func (s *Scheduler) reroute(j Job) {
	s.queue.add(j)
	if p, known := s.tables.Pool(j.Pool); known && !slices.Contains(p.FailureDomains, s.domain) {
		s.moveIfPossible(j)
	}
}

// leaveDomain stops every gang and suggests a move to another failure domain for every waiting job.
func (s *Scheduler) leaveDomain() {
	for _, g := range s.sortedGangs() {
		s.stop(g, DomainOut)
	}
	for _, j := range s.queue.all() {
		s.moveIfPossible(j)
	}
}

// resizePools gives each pool as many blocks as the pools table assigns to it in this failure domain. It drops all
// blocks of pools that are no longer in the table or whose shape has changed.
func (s *Scheduler) resizePools() {
	wanted := map[pool.Name]pool.Pool{}
	for _, p := range s.tables.AllPools() {
		wanted[p.Name] = p
	}
	for name, list := range s.blocks.byPool {
		p, kept := wanted[name]
		if !kept || len(list) > 0 && list[0].shape != p.Shape {
			s.shrinkPool(name, 0)
		}
	}
	for _, p := range s.tables.AllPools() {
		share := p.Share(s.domain, s.tables.IsIn)
		s.shrinkPool(p.Name, share)
		for len(s.blocks.byPool[p.Name]) < share {
			s.blocks.byPool[p.Name] = append(s.blocks.byPool[p.Name], &block{pool: p.Name, shape: p.Shape})
		}
	}
}

// shrinkPool drops blocks of a pool until count are left, those with the fewest accelerators in use first.
func (s *Scheduler) shrinkPool(name pool.Name, count int) {
	list := s.blocks.byPool[name]
	if len(list) <= count {
		return
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].usedTotal > list[j].usedTotal })
	for _, b := range list[count:] {
		s.freeBlock(b)
	}
	s.blocks.byPool[name] = list[:count]
	if count == 0 {
		delete(s.blocks.byPool, name)
	}
}
