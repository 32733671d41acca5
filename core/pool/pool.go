// Package pool describes pools: the capacity that a client account is guaranteed.
package pool

import (
	"slices"

	"auburnstack/core/account"
	"auburnstack/core/domain"
	"auburnstack/core/shape"
)

// Name identifies a pool; routes refer to it.
type Name string

// Pool is one row of the pools table.
type Pool struct {
	Name          Name
	ClientAccount account.Name
	// Shape is one guaranteed block of adjacent accelerators.
	Shape shape.Shape
	// Count is the number of guaranteed blocks over all failure domains; 0 grants borrowed capacity only.
	Count int
	// FailureDomains lists where the pool's work may run, the preferred one first; it is not empty.
	FailureDomains []domain.Name
}

// Share returns how many of the pool's blocks belong to a failure domain.
// It depends on the tables alone, so every VM computes the same shares without messages.
// Blocks are dealt in turn to the pool's failure domains that are in.
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

// Allows tells whether the pool's work may run in a failure domain.
func (p Pool) Allows(name domain.Name) bool {
	return slices.Contains(p.FailureDomains, name)
}
