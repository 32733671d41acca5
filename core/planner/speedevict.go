package planner

// findFastEviction returns the work to stop for an urgent unit, preferably on workers that are not too slow for it.
func (p *Planner) findFastEviction(s search) *eviction {
	if p.speeds != nil && s.unit.job.queue.Priority == 0 {
		fast := s
		fast.exceptSlow = true
		if e := p.findEviction(fast); e != nil {
			return e
		}
	}
	return p.findEviction(s)
}
