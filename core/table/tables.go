// Package table holds the two tables that operators edit, routes and pools, as one immutable value with a common
// revision.
package table

import (
	"fmt"
	"maps"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"auburnstack/core/domain"
	"auburnstack/core/pool"
	"auburnstack/core/route"
)

// Revision numbers the states of the tables: it is the number of edits accepted so far. Tables are replaced only by
// tables with a higher revision.
type Revision uint64

// Kind is the name of one of the two tables.
type Kind string

// The two tables.
const (
	Routes Kind = "Routes"
	Pools  Kind = "Pools"
)

// Tables is the content of both tables at one revision. It is immutable once built.
type Tables struct {
	Revision Revision
	// rows holds the text of each row.
	rows map[rowKey]string
	// digest is the sum of the hashes of all rows. An edit can update it without hashing the unchanged rows.
	digest uint64
	// routeKeys maps the section name of each route to its key in routes.
	routeKeys map[string]route.Key
	// routes holds the routes by their lookup key.
	routes map[route.Key]route.Route
	// pools holds the pools by name.
	pools map[pool.Name]pool.Pool
	// declared holds the failure domains that have their own row in the pools table.
	declared map[domain.Name]domain.Domain
	// domains holds the declared failure domains and, with state In, the failure domains that only pools name.
	domains map[domain.Name]domain.Domain
}

// rowKey identifies a row by its table and section name.
type rowKey struct {
	table   Kind
	section string
}

// Empty returns tables without rows, at revision 0.
func Empty() *Tables {
	return &Tables{
		rows:      map[rowKey]string{},
		routeKeys: map[string]route.Key{},
		routes:    map[route.Key]route.Route{},
		pools:     map[pool.Name]pool.Pool{},
		declared:  map[domain.Name]domain.Domain{},
		domains:   map[domain.Name]domain.Domain{},
	}
}

// nextRevision returns a copy of the tables with the next revision. The caller may modify the copy before passing it
// on. The copy has no domains until collectDomains is called.
func (t *Tables) nextRevision() *Tables {
	return &Tables{
		Revision:  t.Revision + 1,
		rows:      maps.Clone(t.rows),
		digest:    t.digest,
		routeKeys: maps.Clone(t.routeKeys),
		routes:    maps.Clone(t.routes),
		pools:     maps.Clone(t.pools),
		declared:  maps.Clone(t.declared),
	}
}

// setRow stores the text of a row and updates the digest.
func (t *Tables) setRow(key rowKey, text string) {
	t.rows[key] = text
	t.digest += key.hash(text)
}

// removeRow removes a row, if it exists, and the route, pool or failure domain that was parsed from it.
func (t *Tables) removeRow(key rowKey) {
	text, exists := t.rows[key]
	if !exists {
		return
	}
	delete(t.rows, key)
	t.digest -= key.hash(text)
	switch {
	case key.table == Routes:
		delete(t.routes, t.routeKeys[key.section])
		delete(t.routeKeys, key.section)
	case strings.HasPrefix(key.section, poolPrefix):
		delete(t.pools, pool.Name(strings.TrimPrefix(key.section, poolPrefix)))
	default:
		delete(t.declared, domain.Name(strings.TrimPrefix(key.section, domainPrefix)))
	}
}

// collectDomains rebuilds domains from the declared failure domains and those that pools name.
func (t *Tables) collectDomains() {
	t.domains = maps.Clone(t.declared)
	for _, p := range t.pools {
		for _, name := range p.FailureDomains {
			if _, known := t.domains[name]; !known {
				t.domains[name] = domain.Domain{Name: name, State: domain.In}
			}
		}
	}
}

// hash returns the hash of a row, which includes its table, section name and text.
func (k rowKey) hash(text string) uint64 {
	return xxhash.Sum64String(string(k.table) + "\x00" + k.section + "\x00" + text)
}

// Route returns the route for a client account and kind of work, and whether it exists.
func (t *Tables) Route(key route.Key) (route.Route, bool) {
	found, ok := t.routes[key]
	return found, ok
}

// Pool returns the pool with the given name, and whether it exists.
func (t *Tables) Pool(name pool.Name) (pool.Pool, bool) {
	found, ok := t.pools[name]
	return found, ok
}

// AllPools returns all pools, ordered by name.
func (t *Tables) AllPools() []pool.Pool {
	all := make([]pool.Pool, 0, len(t.pools))
	for _, p := range t.pools {
		all = append(all, p)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// IsIn reports whether work may start in a failure domain. A failure domain without a row in the pools table is in
// service.
func (t *Tables) IsIn(name domain.Name) bool {
	return t.domains[name].State == domain.In
}

// Domains returns all failure domains that the pools table declares or that a pool names, ordered by name.
func (t *Tables) Domains() []domain.Domain {
	all := make([]domain.Domain, 0, len(t.domains))
	for _, d := range t.domains {
		all = append(all, d)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Text returns one table as INI text, with its sections ordered by name.
func (t *Tables) Text(kind Kind) string {
	var text strings.Builder
	for _, key := range t.sortedKeys() {
		if key.table == kind {
			text.WriteString(t.rows[key])
		}
	}
	return text.String()
}

// Digest returns a text that identifies the content of both tables, independent of their revision.
func (t *Tables) Digest() string {
	return fmt.Sprintf("%016x-%d", t.digest, len(t.rows))
}

// sortedKeys returns the keys of all rows, routes before pools and ordered by section name.
func (t *Tables) sortedKeys() []rowKey {
	keys := make([]rowKey, 0, len(t.rows))
	for key := range t.rows {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].table != keys[j].table {
			return keys[i].table > keys[j].table
		}
		return keys[i].section < keys[j].section
	})
	return keys
}
