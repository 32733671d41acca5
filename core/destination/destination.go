// Package destination chooses the failure domain in which a job is scheduled.
package destination

import (
	"auburnstack/core/domain"
	"auburnstack/core/pool"
	"auburnstack/core/scheduler"
	"auburnstack/core/shape"
)

// candidate is a failure domain with what is known of its load.
type candidate struct {
	name    domain.Name
	fitsNow bool
	share   int
	summary scheduler.Summary
}

// better prefers room now, then the shorter queue, then more guaranteed blocks, then more free accelerators.
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

// Choose returns the best failure domain of a pool that is in. Failure domains without a summary come last.
// It reports false when the pool has no failure domain that is in.
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

// Improves tells whether moving a waiting job between failure domains is worth a write.
func Improves(wanted shape.Shape, from, to scheduler.Summary) bool {
	if to.Waiting == 0 && to.Free >= wanted.Total() {
		return true
	}
	return 2*to.Waiting < from.Waiting
}
