package roster

import "auburnstack/core/resources"

// Size describes the workers of a service that have the same capacity.
type Size struct {
	Service  string
	Capacity resources.Amounts
	// Workers is the largest number of workers with this capacity that have been registered at the same time.
	Workers int
}
