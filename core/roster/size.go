package roster

import "auburnstack/core/resources"

// Size is a capacity that workers of a service have.
type Size struct {
	Service  string
	Capacity resources.Amounts
	// Workers is the largest number of workers of this capacity that were registered at a time.
	Workers int
}
