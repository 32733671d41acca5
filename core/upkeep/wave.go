// Package upkeep decides when the machines of a wave are maintained. It does no I/O and reads no clock.
package upkeep

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/machine"
)

// Number identifies a wave.
type Number int

// Wave asks for the upkeep of some machines.
type Wave struct {
	Number   Number
	Machines []machine.ID
	// Duration is the time in which all of them should have had their upkeep.
	Duration time.Duration
	// MaxDown bounds the machines of the wave that are down for it at a time.
	MaxDown int
}

// Record is what is stored of a wave, so that another leader goes on with it.
type Record struct {
	Number Number
	// Ordered lists the machines whose upkeep may have been ordered; it is stored before the order is given.
	Ordered []machine.ID `json:",omitempty"`
	// Begun lists the machines whose upkeep has begun.
	Begun []machine.ID
	// Complete is set once every machine that stays has begun its upkeep.
	Complete bool
}

// Action is a decision to be carried out: Retire, Begin or Report.
type Action interface {
	isAction()
}

// Retire lets a worker finish what it runs and get nothing new, or takes that back.
type Retire struct {
	Worker endpoint.Name
	// Retired is false when the worker may get tasks again.
	Retired bool
}

// Begin takes a machine out of service for its upkeep; what still runs on it ends.
type Begin struct {
	Wave    Number
	Machine machine.ID
}

// Report has to be stored, and tells the operators how far a wave is. Once it is stored, Recorded is called.
type Report struct {
	Record Record
}

func (Retire) isAction() {}
func (Begin) isAction()  {}
func (Report) isAction() {}

// Occupancy tells what the upkeep of a worker's machine would end.
type Occupancy int

// How a worker is occupied.
const (
	// Empty workers run nothing.
	Empty Occupancy = iota
	// Busy workers run tasks that would be repeated.
	Busy
	// Serving workers run tasks of which too many others are out of service already.
	Serving
)
