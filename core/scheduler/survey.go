package scheduler

import (
	"fmt"
	"time"

	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/pool"
	"auburnstack/core/table"
)

// Shortage says that a pool's guarantee can not be bound.
type Shortage struct {
	// AssumedOut is the failure domain that is taken to be out; empty for the tables as they are.
	AssumedOut domain.Name
	// FailureDomain is where accelerators are missing.
	FailureDomain domain.Name
	Pool          pool.Name
	Blocks        int
	Missing       int
}

// String returns the shortage as one line for operators.
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

// FindShortages tells which guarantees can not be bound to the listed endpoints: as the tables stand,
// and with each failure domain out in turn.
func FindShortages(tables *table.Tables, endpoints []endpoint.Endpoint) []Shortage {
	shortages := surveyAs(tables, endpoints, "")
	for _, d := range tables.Domains() {
		if d.State == domain.In {
			without := tables.WithDomain(domain.Domain{Name: d.Name, State: domain.Out})
			shortages = append(shortages, surveyAs(without, endpoints, d.Name)...)
		}
	}
	return shortages
}

func surveyAs(tables *table.Tables, endpoints []endpoint.Endpoint, without domain.Name) []Shortage {
	var shortages []Shortage
	for _, p := range tables.AllPools() {
		if p.Count > 0 && !anyIn(p, tables) {
			shortages = append(shortages, Shortage{AssumedOut: without, Pool: p.Name, Blocks: p.Count, Missing: p.Count})
		}
	}
	for _, d := range tables.Domains() {
		if tables.IsIn(d.Name) {
			shortages = append(shortages, surveyDomain(d.Name, tables, endpoints, without)...)
		}
	}
	return shortages
}

func anyIn(p pool.Pool, tables *table.Tables) bool {
	for _, name := range p.FailureDomains {
		if tables.IsIn(name) {
			return true
		}
	}
	return false
}

func surveyDomain(
	name domain.Name, tables *table.Tables, endpoints []endpoint.Endpoint, without domain.Name,
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
				AssumedOut: without, FailureDomain: name, Pool: use.Pool, Blocks: use.Blocks, Missing: use.Blocks - use.Bound,
			})
		}
	}
	return shortages
}
