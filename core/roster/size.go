package roster

import "auburnstack/core/resources"

// Size is a capacity that occurs among the workers of a service.
type Size struct {
	Service  string
	Capacity resources.Amounts
	// Workers is the largest number of workers with this capacity that have been registered at the same time.
	Workers int
}
