package scheduler

import (
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
	s.dirty = true
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
