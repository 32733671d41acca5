package controller

import (
	"context"
	"time"

	core "auburnstack/core/endpoint"
	"auburnstack/core/job"
	"auburnstack/core/scheduler"
	"auburnstack/io/endpoint"
)

type runPhase int

const (
	// starting is the phase in which the members are reserved and started. Their leases are not renewed yet.
	starting runPhase = iota
	// running is the phase after all members have been confirmed.
	running
	// stopping is the phase in which the members are stopped. Their leases are no longer renewed.
	stopping
)

// memberState is the state of one gang member, which runs on one worker.
type memberState struct {
	worker   core.Name
	finished bool
	// ended is set once the member can never run again.
	ended bool
	// leaseExpiry is the time after which the member can no longer run although its worker is silent. It is zero while
	// the worker answers.
	leaseExpiry time.Time
	result      []byte
}

// run is one attempt to run a job's gang.
type run struct {
	record       job.Record
	task         endpoint.Task
	term         scheduler.Term
	accelerators int
	phase        runPhase
	members      []*memberState
	// failedOn is the worker on which a member failed by itself. It is empty while no member has failed.
	failedOn core.Name
	// startFailed is set when the start of the gang failed.
	startFailed bool
	// reason is the cause of the stop, as recorded in the timeline. It is empty until the gang is stopped.
	reason string
	// cancelStart cancels the start's calls to the workers. It is nil once the start has ended.
	cancelStart context.CancelFunc
}

func newRun(record job.Record, term scheduler.Term, accelerators int, workers []core.Name) *run {
	r := &run{
		record:       record,
		task:         endpoint.Task{Job: record.ID, Attempt: record.Attempt},
		term:         term,
		accelerators: accelerators,
		phase:        starting,
	}
	for _, name := range workers {
		r.members = append(r.members, &memberState{worker: name})
	}
	return r
}

// endMember marks a member as ended and stores its final state.
func (r *run) endMember(m *memberState, report endpoint.TaskReport) {
	m.ended = true
	switch report.State {
	case endpoint.Finished:
		m.finished = true
		m.result = report.Result
	case endpoint.Failed:
		r.failedOn = m.worker
	case endpoint.Reserved, endpoint.Started, endpoint.Running, endpoint.Stopped:
	}
}

func (r *run) workers() []core.Name {
	names := make([]core.Name, 0, len(r.members))
	for _, m := range r.members {
		names = append(names, m.worker)
	}
	return names
}

func (r *run) member(name core.Name) *memberState {
	for _, m := range r.members {
		if m.worker == name {
			return m
		}
	}
	return nil
}

// allEnded reports whether no member can ever run again.
func (r *run) allEnded() bool {
	for _, m := range r.members {
		if !m.ended {
			return false
		}
	}
	return true
}

// allFinished reports whether every member has finished. It returns false for a run without members: such a run stands
// for an attempt of which no task runs any more (see endInherited).
func (r *run) allFinished() bool {
	if len(r.members) == 0 {
		return false
	}
	for _, m := range r.members {
		if !m.finished {
			return false
		}
	}
	return true
}
