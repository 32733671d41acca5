// Package table holds the operators' two tables, routes and pools, as one immutable value with one revision.
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

// Revision counts accepted edits; a higher one replaces a lower one, never the other way round.
type Revision uint64

// Kind tells the two tables apart.
type Kind string

// The two tables.
const (
	Routes Kind = "Routes"
	Pools  Kind = "Pools"
)

// Tables is one accepted state of both tables. It does not change after construction.
type Tables struct {
	Revision Revision
	rows     map[rowKey]string
	// digest is the sum of the rows' hashes, so that an edit changes it without reading the other rows.
	digest uint64
	// routeKeys holds the key of each row in routes.
	routeKeys map[string]route.Key
	// routes is the routes table by what a route is looked up by.
	routes map[route.Key]route.Route
	// pools holds every pool that a route can name.
	pools map[pool.Name]pool.Pool
	// declared holds the failure domains that have a row of their own.
	declared map[domain.Name]domain.Domain
	// domains holds the stated failure domains and those that pools name, which are in.
	domains map[domain.Name]domain.Domain
}

type rowKey struct {
	table   Kind
	section string
}

// Empty returns the tables before the first edit.
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

// nextRevision returns a copy under the next revision, to be changed before it is shown to anybody.
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

// setRow stores a row's text.
func (t *Tables) setRow(key rowKey, text string) {
	t.rows[key] = text
	t.digest += key.hash(text)
}

// removeRow takes a row out, with what was parsed from it.
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

// collectDomains lists the stated failure domains and those that only pools name.
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

func (k rowKey) hash(text string) uint64 {
	return xxhash.Sum64String(string(k.table) + "\x00" + k.section + "\x00" + text)
}

// Route finds the route for a kind of work of an account.
func (t *Tables) Route(key route.Key) (route.Route, bool) {
	found, ok := t.routes[key]
	return found, ok
}

// Pool finds a pool by its name.
func (t *Tables) Pool(name pool.Name) (pool.Pool, bool) {
	found, ok := t.pools[name]
	return found, ok
}

// AllPools returns the pools ordered by name.
func (t *Tables) AllPools() []pool.Pool {
	all := make([]pool.Pool, 0, len(t.pools))
	for _, p := range t.pools {
		all = append(all, p)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// IsIn tells whether a failure domain takes work; one that the pools table has no row for is in.
func (t *Tables) IsIn(name domain.Name) bool {
	return t.domains[name].State == domain.In
}

// Domains returns the failure domains that the pools table names, ordered by name.
func (t *Tables) Domains() []domain.Domain {
	all := make([]domain.Domain, 0, len(t.domains))
	for _, d := range t.domains {
		all = append(all, d)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Text returns one table as an INI text with its sections in order.
func (t *Tables) Text(kind Kind) string {
	var text strings.Builder
	for _, key := range t.sortedKeys() {
		if key.table == kind {
			text.WriteString(t.rows[key])
		}
	}
	return text.String()
}

// Digest identifies the contents of both tables, whatever their revision.
func (t *Tables) Digest() string {
	return fmt.Sprintf("%016x-%d", t.digest, len(t.rows))
}

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
