// Package destination chooses the failure domain in which a job is scheduled.
package destination

import (
	"auburnstack/core/domain"
	"auburnstack/core/pool"
	"auburnstack/core/scheduler"
	"auburnstack/core/shape"
)

// candidate is a failure domain in which a job may be scheduled. The field fitsNow is set if no job waits in the
// failure domain and enough accelerators are free for the job. The field share is the number of guaranteed blocks that
// the job's pool has in the failure domain.
type candidate struct {
	name    domain.Name
	fitsNow bool
	share   int
	summary scheduler.Summary
}

// better reports whether c is a better choice than other. It prefers a failure domain that can start the job now, then
// the shorter queue, then more guaranteed blocks of the pool, then more free accelerators.
func (c candidate) better(other candidate) bool {
	switch {
	case c.fitsNow != other.fitsNow:
		return c.fitsNow
	case c.summary.Waiting != other.summary.Waiting:
		return c.summary.Waiting < other.summary.Waiting
	case c.share != other.share:
		return c.share > other.share
	default:
		return c.summary.Free > other.summary.Free
	}
}

// Choose returns the best of those failure domains of the pool that are in service. It chooses a failure domain without
// a summary, the description of its capacity and load, only if none that is in service has a summary. It returns false
// if none of the pool's failure domains is in service.
func Choose(
	p pool.Pool, wanted shape.Shape, isIn func(domain.Name) bool,
	summary func(domain.Name) (scheduler.Summary, bool),
) (domain.Name, bool) {
	var best candidate
	var withoutSummary domain.Name
	for _, name := range p.FailureDomains {
		if !isIn(name) {
			continue
		}
		load, ok := summary(name)
		if !ok {
			withoutSummary = name
			continue
		}
		c := candidate{name: name, summary: load, share: p.Share(name, isIn)}
		c.fitsNow = load.Waiting == 0 && load.Free >= wanted.Total()
		if best.name == "" || c.better(best) {
			best = c
		}
	}
	if best.name == "" {
		return withoutSummary, withoutSummary != ""
	}
	return best.name, true
}

// Improves reports whether a waiting job should move from one failure domain to another although the move costs a write
// to the store. It returns true if the job can start now in the new failure domain, or if fewer than half as many jobs
// wait there as in the old one.
func Improves(wanted shape.Shape, from, to scheduler.Summary) bool {
	if to.Waiting == 0 && to.Free >= wanted.Total() {
		return true
	}
	return 2*to.Waiting < from.Waiting
}
