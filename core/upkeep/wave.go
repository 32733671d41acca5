// Package upkeep schedules planned maintenance ("upkeep") of machines. Operators request it in waves, each for a set of
// machines. The package does no I/O and reads no clock.
package upkeep

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/machine"
)

// Number identifies a wave, one request by the operators for the upkeep of a set of machines.
type Number int

// Wave is a request by the operators for the upkeep of a set of machines.
type Wave struct {
	Number   Number
	Machines []machine.ID
	// Duration is the time within which all these machines should have had their upkeep.
	Duration time.Duration
	// MaxDown limits how many machines of the wave may be draining or out of service for upkeep at a time.
	MaxDown int
}

// Record is the stored progress of a wave, from which the next leader continues after a takeover.
type Record struct {
	Number Number
	// Ordered lists the machines whose upkeep may have been ordered. The record is stored before the order is sent, so
	// that the next leader repeats an order whose outcome is unknown.
	Ordered []machine.ID `json:",omitempty"`
	// Begun lists the machines whose upkeep has begun.
	Begun []machine.ID
	// Complete is set once every machine of the wave has begun its upkeep, except those that were removed or can never
	// have it.
	Complete bool
}

// Action is a decision that the caller carries out: Retire, Begin or Report.
type Action interface {
	isAction()
}

// Retire makes a worker finish its running tasks and get no new ones, or lets the worker get new tasks again.
type Retire struct {
	Worker endpoint.Name
	// Retired is true if the worker must get no new tasks, and false if it may get new ones again.
	Retired bool
}

// Begin takes a machine out of service for its upkeep. Tasks that still run on it end.
type Begin struct {
	Wave    Number
	Machine machine.ID
}

// Report is the progress of a wave, to be stored for operators and for the next leader. Once it is stored, the caller
// calls Tracker.Recorded.
type Report struct {
	Record Record
}

func (Retire) isAction() {}
func (Begin) isAction()  {}
func (Report) isAction() {}

// Occupancy describes the running tasks that an upkeep of the worker's machine would end.
type Occupancy int

// The occupancies of a worker, from the cheapest to interrupt to the most expensive.
const (
	// Empty workers run no tasks.
	Empty Occupancy = iota
	// Busy workers run only tasks that can be run again elsewhere.
	Busy
	// Serving workers run long-running tasks. The planner moves these away from a retired worker only while few enough
	// other tasks of their step are out of service.
	Serving
)
