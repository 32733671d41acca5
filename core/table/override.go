package table

import (
	"maps"

	"auburnstack/core/domain"
)

// WithDomain returns the tables as they would be with a failure domain in another state.
func (t *Tables) WithDomain(changed domain.Domain) *Tables {
	other := *t
	other.domains = maps.Clone(t.domains)
	if other.domains == nil {
		other.domains = map[domain.Name]domain.Domain{}
	}
	other.domains[changed.Name] = changed
	return &other
}
