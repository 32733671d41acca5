package graph

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/roster"
)

// State is the state of a job in its life cycle.
type State string

// The states of a job. Complete, Failed and Canceled are final.
const (
	Queued   State = "Queued"
	Running  State = "Running"
	Complete State = "Complete"
	Failed   State = "Failed"
	Canceled State = "Canceled"
)

// Final reports whether a job in this state never changes its state again.
func (s State) Final() bool {
	return s == Complete || s == Failed || s == Canceled
}

// Progress is the stored progress of a job, or one part of it. Only the leader elected among the VMs writes it. A job
// with many tasks has several parts, each a record of its own, so that the size of a record has a bound.
type Progress struct {
	ID ID
	// Part is the number of the part, counted from 0. Parts is the number of all parts; 0 if part 0 has all units, as in
	// all records of earlier builds.
	Part  int `json:",omitempty"`
	Parts int `json:",omitempty"`
	// State, Reason and Ended are set in part 0 only.
	State  State
	Reason string    `json:",omitempty"`
	Ended  time.Time `json:",omitzero"`
	// Units has one entry for each gang, and for each task outside a gang, of the part that was ever placed on workers.
	Units []UnitProgress `json:",omitempty"`
}

// Add adds another part of the same job, in any order.
func (p *Progress) Add(part Progress) {
	p.ID, p.Parts = part.ID, part.Parts
	p.Units = append(p.Units, part.Units...)
	if part.Part == 0 {
		p.State, p.Reason, p.Ended = part.State, part.Reason, part.Ended
	}
}

// UnitProgress is the stored progress of a gang, or of one task outside a gang.
type UnitProgress struct {
	Occurrence int `json:",omitempty"`
	Step       int `json:",omitempty"`
	// Index is the index of the task in its step; 0 for a gang.
	Index int `json:",omitempty"`
	// Run is the number of the newest run that may have been started.
	Run Run
	// Failures is the number of runs that have failed.
	Failures int `json:",omitempty"`
	// FailedRun is the last run counted in Failures. It keeps a new leader from counting a failed run twice if a worker
	// reports the run again.
	FailedRun Run  `json:",omitempty"`
	Done      bool `json:",omitempty"`
	// Crashes is the number of workers that may have crashed because they started the task. UnambiguousCrashes is the
	// number of those that no other cause is likely for. Both are 0 for a gang, as are ExcusedCrashes and CrashedRun.
	Crashes            int `json:",omitempty"`
	UnambiguousCrashes int `json:",omitempty"`
	// ExcusedCrashes is the number of workers that have crashed while they ran the task, by chance or because of another
	// task. They are not among Crashes.
	ExcusedCrashes int `json:",omitempty"`
	// CrashedRun is the last run counted in Crashes. Each run counts once.
	CrashedRun Run `json:",omitempty"`
	// TaskCrashes counts the crashes under those tasks of a gang under which workers have crashed. Each task is in one
	// entry at most.
	TaskCrashes []TaskCrashes `json:",omitempty"`
	// CrashAge is the greatest age of a counted run when its worker crashed.
	CrashAge time.Duration `json:",omitempty"`
	// Workers lists the workers on which the tasks of the newest run were placed, in the order of the tasks' indexes.
	// It is empty if no task of that run can still be running.
	Workers []endpoint.Name `json:",omitempty"`
	// NewestIncarnation is the newest incarnation among these workers when the run was placed, or 0. A worker of a newer
	// incarnation has restarted since.
	NewestIncarnation roster.Incarnation `json:",omitempty"`
	// Checkpoint is the newest known checkpoint; empty if there is none.
	Checkpoint string `json:",omitempty"`
}

// TaskCrashes counts the crashes of workers under tasks of a gang that have the same counts. One entry for all of them
// keeps the record small if many workers crash at once.
type TaskCrashes struct {
	// Indexes lists the tasks by their indexes in the gang.
	Indexes []int
	CrashCounts
}

// CrashCounts counts the crashes of workers under a task.
type CrashCounts struct {
	// Crashes, UnambiguousCrashes, ExcusedCrashes and CrashedRun are as in UnitProgress.
	Crashes            int `json:",omitempty"`
	UnambiguousCrashes int `json:",omitempty"`
	ExcusedCrashes     int `json:",omitempty"`
	CrashedRun         Run `json:",omitempty"`
}
