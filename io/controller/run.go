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
	// starting gangs are being reserved and started; their leases are not renewed yet.
	starting runPhase = iota
	// running gangs have all members confirmed.
	running
	// stopping gangs are being stopped; their leases are not renewed any more.
	stopping
)

// memberState is one gang member on one worker.
type memberState struct {
	worker   core.Name
	finished bool
	// ended is set once the member can never run again.
	ended bool
	// leaseExpiry is when the member can not run any more although its worker is silent; zero while it answers.
	leaseExpiry time.Time
	result      []byte
}

// run is one attempt of a gang.
type run struct {
	record       job.Record
	task         endpoint.Task
	term         scheduler.Term
	accelerators int
	phase        runPhase
	members      []*memberState
	// failedOn names the worker on which a member failed by itself; empty while none has.
	failedOn core.Name
	// startFailed is set when the gang did not start as a whole.
	startFailed bool
	// reason says why the gang is stopped.
	reason string
	// cancelStart ends the messages of the start; nil once the start has ended.
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

// endMember takes in the last state of a member.
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

// allEnded tells whether no member can ever run again.
func (r *run) allEnded() bool {
	for _, m := range r.members {
		if !m.ended {
			return false
		}
	}
	return true
}

// allFinished tells whether every member ran to its end. An attempt of which nothing is left has not allFinished.
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
