package graph

import (
	"time"

	"auburnstack/core/endpoint"
)

// State is the place of a job in its life.
type State string

// The states of a job. Complete, Failed and Canceled are final.
const (
	Queued   State = "Queued"
	Running  State = "Running"
	Complete State = "Complete"
	Failed   State = "Failed"
	Canceled State = "Canceled"
)

// Final tells whether a state is never left again.
func (s State) Final() bool {
	return s == Complete || s == Failed || s == Canceled
}

// Progress is what is recorded of a job while it runs. Only the leader writes it.
type Progress struct {
	ID     ID
	State  State
	Reason string    `json:",omitempty"`
	Ended  time.Time `json:",omitzero"`
	// Units holds an entry for each gang or task that was ever placed.
	Units []UnitProgress `json:",omitempty"`
}

// UnitProgress is what is recorded of a gang, or of one task outside a gang.
type UnitProgress struct {
	Occurrence int `json:",omitempty"`
	Step       int `json:",omitempty"`
	// Index is the task's; 0 for a gang.
	Index int `json:",omitempty"`
	// Run is the newest run that may have been ordered.
	Run Run
	// Failures counts the runs that ended as failed.
	Failures int `json:",omitempty"`
	// FailedRun is the last run that is counted in Failures, as a worker may list its end again to another leader.
	FailedRun Run  `json:",omitempty"`
	Done      bool `json:",omitempty"`
	// Workers lists where the tasks of the newest run were placed, in the order of their indexes; empty when nothing
	// of that run can run any more.
	Workers []endpoint.Name `json:",omitempty"`
	// Checkpoint is the newest that is known; empty for none.
	Checkpoint string `json:",omitempty"`
}
