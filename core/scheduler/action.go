package scheduler

import (
	"auburnstack/core/endpoint"
	"auburnstack/core/job"
)

// Action is one decision of the scheduler: Launch, Stop or Move. The driver, which is the code that calls Decide,
// carries it out.
type Action interface {
	isAction()
}

// Term is the kind of accelerators that a gang runs on: accelerators that are guaranteed to the gang's pool, or
// borrowed accelerators.
type Term string

// The terms on which a gang can run.
const (
	// Guaranteed gangs run inside the blocks of their pool and are never stopped to make room for other jobs.
	Guaranteed Term = "Guaranteed"
	// Borrowed gangs run outside the blocks of their pool. They are stopped when a pool reclaims a block that they
	// occupy, or when they are preempted by work of a more urgent class.
	Borrowed Term = "Borrowed"
)

// Launch starts all members of a gang.
type Launch struct {
	ID   job.ID
	Term Term
	// Workers has one entry for each member.
	Workers []endpoint.Name
	// Accelerators is the number of accelerators that each member uses on its worker.
	Accelerators int
}

// StopReason is the reason for which a gang is stopped.
type StopReason string

// The reasons for a stop.
const (
	// Reclaimed means that a pool needs the accelerators for a job in its guaranteed blocks.
	Reclaimed StopReason = "Reclaimed"
	// Preempted means that borrowed work of a more urgent class needs the accelerators.
	Preempted StopReason = "Preempted"
	// DomainOut means that operators took the failure domain out.
	DomainOut StopReason = "DomainOut"
	// Rerouted means that the job's route has another pool or class now. Only gangs that were not launched are stopped for
	// it.
	Rerouted StopReason = "Rerouted"
	// MemberLost means that a worker with a member of the gang was lost.
	MemberLost StopReason = "MemberLost"
	// Canceled means that the job was canceled.
	Canceled StopReason = "Canceled"
)

// Stop checkpoints and stops all members of a gang. The driver calls Ended once no member can run any more.
type Stop struct {
	ID     job.ID
	Reason StopReason
}

// Move suggests handing a waiting job over to another failure domain. The job stays queued until the driver cancels it.
type Move struct {
	ID job.ID
}

func (Launch) isAction() {}
func (Stop) isAction()   {}
func (Move) isAction()   {}
