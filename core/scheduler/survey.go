package scheduler

import (
	"fmt"
	"time"

	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/pool"
	"auburnstack/core/table"
)

// Shortage reports that some of a pool's guaranteed blocks in a failure domain cannot be bound to workers.
type Shortage struct {
	// AssumedOut is the failure domain that is assumed to be taken out by the operators. It is empty if the routes and
	// pools tables are taken as they are.
	AssumedOut domain.Name
	// FailureDomain is the failure domain that lacks accelerators. It is empty if the operators have taken out all of
	// the pool's failure domains.
	FailureDomain domain.Name
	Pool          pool.Name
	// Blocks is the number of the pool's guaranteed blocks in the failure domain, or in all if FailureDomain is empty.
	// Missing is the number of these blocks that cannot be bound.
	Blocks  int
	Missing int
}

// String describes the shortage in one line for operators.
func (s Shortage) String() string {
	condition := "as the tables stand"
	if s.AssumedOut != "" {
		condition = "with " + string(s.AssumedOut) + " out"
	}
	if s.FailureDomain == "" {
		return fmt.Sprintf("%s, none of the failure domains of [Pool.%s] is in", condition, s.Pool)
	}
	return fmt.Sprintf("%s, %d of the %d blocks of [Pool.%s] in %s have no accelerators",
		condition, s.Missing, s.Blocks, s.Pool, s.FailureDomain)
}

// FindShortages returns the shortages that result when the guaranteed blocks are bound to the listed endpoints: first
// with the routes and pools tables as they are, then assuming for each failure domain in turn that it is out.
func FindShortages(tables *table.Tables, endpoints []endpoint.Endpoint) []Shortage {
	shortages := shortagesWith(tables, endpoints, "")
	for _, d := range tables.Domains() {
		if d.State == domain.In {
			withDomainOut := tables.WithDomain(domain.Domain{Name: d.Name, State: domain.Out})
			shortages = append(shortages, shortagesWith(withDomainOut, endpoints, d.Name)...)
		}
	}
	return shortages
}

// shortagesWith returns the shortages that result from the given tables. It labels them with assumedOut: the failure
// domain that the tables assume to be out, or empty.
func shortagesWith(tables *table.Tables, endpoints []endpoint.Endpoint, assumedOut domain.Name) []Shortage {
	var shortages []Shortage
	for _, p := range tables.AllPools() {
		if p.Count > 0 && !anyIn(p, tables) {
			shortages = append(shortages, Shortage{AssumedOut: assumedOut, Pool: p.Name, Blocks: p.Count, Missing: p.Count})
		}
	}
	for _, d := range tables.Domains() {
		if tables.IsIn(d.Name) {
			shortages = append(shortages, domainShortages(d.Name, tables, endpoints, assumedOut)...)
		}
	}
	return shortages
}

// anyIn reports whether at least one of the pool's failure domains is in, that is, not taken out by the operators.
func anyIn(p pool.Pool, tables *table.Tables) bool {
	for _, name := range p.FailureDomains {
		if tables.IsIn(name) {
			return true
		}
	}
	return false
}

// domainShortages returns the shortages in one failure domain, found by binding all its blocks in a new scheduler.
func domainShortages(
	name domain.Name, tables *table.Tables, endpoints []endpoint.Endpoint, assumedOut domain.Name,
) []Shortage {
	s := New(name, DefaultSettings())
	for _, e := range endpoints {
		if e.FailureDomain == name && e.Accelerators > 0 && !e.Leaving {
			s.fleet.Add(e)
		}
	}
	s.SetTables(tables, time.Time{})
	var shortages []Shortage
	for _, use := range s.PoolUses() {
		if use.Bound < use.Blocks {
			shortages = append(shortages, Shortage{
				AssumedOut: assumedOut, FailureDomain: name, Pool: use.Pool, Blocks: use.Blocks, Missing: use.Blocks - use.Bound,
			})
		}
	}
	return shortages
}
