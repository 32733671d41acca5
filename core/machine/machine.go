// Package machine describes the hosts on which workers live.
package machine

import (
	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
)

// ID identifies a machine; it outlives the workers on it.
type ID string

// State tells whether a machine can run a worker.
type State int

// The states of a machine.
const (
	// Down machines run nothing.
	Down State = iota
	// Up machines run a worker.
	Up
	// Moving machines are on their way to another pool.
	Moving
	// InUpkeep machines are being maintained.
	InUpkeep
)

// Machine is a host as the platform lists it.
type Machine struct {
	ID            ID
	Pool          string
	State         State
	FailureDomain domain.Name
	// Worker is the one that lives on the machine; empty when none does.
	Worker endpoint.Name
}
