package table

import (
	"maps"

	"auburnstack/core/domain"
)

// WithDomain returns a copy of the tables in which the given failure domain has the given state.
func (t *Tables) WithDomain(changed domain.Domain) *Tables {
	modified := *t
	modified.domains = maps.Clone(t.domains)
	if modified.domains == nil {
		modified.domains = map[domain.Name]domain.Domain{}
	}
	modified.domains[changed.Name] = changed
	return &modified
}
