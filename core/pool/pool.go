// Package pool describes pools. A pool is the capacity that a client account is guaranteed.
package pool

import (
	"slices"

	"auburnstack/core/account"
	"auburnstack/core/domain"
	"auburnstack/core/shape"
)

// Name identifies a pool. Routes refer to pools by this name.
type Name string

// Pool is one row of the pools table, in which the operators configure all pools.
type Pool struct {
	Name          Name
	ClientAccount account.Name
	// Shape is the shape of each guaranteed block.
	Shape shape.Shape
	// Count is the number of guaranteed blocks in all failure domains together. If Count is 0, the pool's work can only
	// borrow accelerators.
	Count int
	// FailureDomains lists the failure domains in which the pool's work may run, the preferred one first; it is not empty.
	FailureDomains []domain.Name
}

// Share returns the number of the pool's blocks that are assigned to a failure domain. The blocks are distributed
// evenly over those of the pool's failure domains that the operators have not taken out. The remainder goes to the
// failure domains that come first in the list. The share depends on the pools table alone, so all VMs compute the same
// shares without exchanging messages.
func (p Pool) Share(name domain.Name, isIn func(domain.Name) bool) int {
	var domainsIn []domain.Name
	position := -1
	for _, candidate := range p.FailureDomains {
		if !isIn(candidate) {
			continue
		}
		if candidate == name {
			position = len(domainsIn)
		}
		domainsIn = append(domainsIn, candidate)
	}
	if position < 0 {
		return 0
	}
	share := p.Count / len(domainsIn)
	if position < p.Count%len(domainsIn) {
		share++
	}
	return share
}

// Allows reports whether the pool's work may run in a failure domain.
func (p Pool) Allows(name domain.Name) bool {
	return slices.Contains(p.FailureDomains, name)
}
