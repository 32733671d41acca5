// Package machine defines the hosts on which workers run.
package machine

import (
	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
)

// ID identifies a machine. It stays the same when the worker on the machine is replaced.
type ID string

// State describes whether a machine can run a worker.
type State int

// The states of a machine.
const (
	// Down is the state of a machine that runs nothing.
	Down State = iota
	// Up is the state of a machine that runs a worker.
	Up
	// Moving is the state of a machine that is being moved to another pool.
	Moving
	// InUpkeep is the state of a machine that is out of service for planned maintenance.
	InUpkeep
)

// Machine is an entry of the platform's list of machines.
type Machine struct {
	ID            ID
	Pool          string
	State         State
	FailureDomain domain.Name
	// Worker is the name of the worker that runs on the machine; empty if there is none.
	Worker endpoint.Name
}
