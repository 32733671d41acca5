// Package roster describes the workers that have registered themselves in the platform's store.
package roster

import (
	"net/netip"
	"slices"
	"time"

	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/resources"
)

// State describes whether a worker accepts new tasks.
type State int

// The states of a worker.
const (
	Ready State = iota
	// Draining is the state of a worker that accepts no new tasks and will shut down soon.
	Draining
)

// Incarnation is the start time of a worker in Unix milliseconds. A restarted worker has a new incarnation and no
// knowledge of the tasks that ran before.
type Incarnation int64

// Worker is the registration of a worker.
type Worker struct {
	Name          endpoint.Name
	Service       string
	Address       netip.AddrPort
	FailureDomain domain.Name
	State         State
	// Remaining is the least time for which a draining worker will stay, counted from its registration.
	Remaining   time.Duration
	Incarnation Incarnation
	// Clock is the reading of the worker's own clock when it last wrote the registration.
	Clock time.Duration
	// Revision orders the writes of all registrations: a higher one was written later.
	Revision int64
	Capacity resources.Amounts
	// Labels holds the worker's kind, followed by its rack.
	Labels []string
	// Rack is the label that names the rack; empty if the worker registered none.
	Rack endpoint.Rack
}

// HasLabel reports whether the worker has a label, which may name its kind or its rack.
func (w *Worker) HasLabel(label string) bool {
	return slices.Contains(w.Labels, label)
}
