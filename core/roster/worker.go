// Package roster describes the workers that have registered themselves in the platform's store.
package roster

import (
	"net/netip"
	"slices"

	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/resources"
)

// State tells whether a worker takes new tasks.
type State int

// The states of a worker.
const (
	Ready State = iota
	// Draining workers take no new task and leave soon.
	Draining
)

// Incarnation is the start time of a worker in Unix milliseconds. A worker that started again has another one and
// knows nothing of what ran before.
type Incarnation int64

// Worker is a worker as it registered itself.
type Worker struct {
	Name          endpoint.Name
	Service       string
	Address       netip.AddrPort
	FailureDomain domain.Name
	State         State
	Incarnation   Incarnation
	Capacity      resources.Amounts
	// Labels names the worker's kind and its rack.
	Labels []string
	// Rack is one of the labels; empty if the worker named none.
	Rack endpoint.Rack
}

// HasLabel tells whether the worker has a label, which may name its kind or its rack.
func (w *Worker) HasLabel(label string) bool {
	return slices.Contains(w.Labels, label)
}
