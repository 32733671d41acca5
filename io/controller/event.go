package controller

import (
	"time"

	core "auburnstack/core/endpoint"
	"auburnstack/core/job"
	"auburnstack/core/table"
	"auburnstack/core/vm"
	"auburnstack/io/endpoint"
	"auburnstack/io/peer"
	"auburnstack/io/platform"
)

// event is something that happened to a scheduler's failure domain. The control goroutine handles one at a time.
type event interface {
	isEvent()
}

// roleGained says that this VM is the scheduler of its failure domain under a new epoch.
type roleGained struct {
	epoch endpoint.Epoch
	// at is a time before the role's lease began.
	at time.Time
}

// roleConfirmed says that the store confirmed the role at a time.
type roleConfirmed struct {
	at time.Time
}

// roleLost says that another VM may be the scheduler.
type roleLost struct {
	reason string
}

// tablesChanged carries newly adopted tables.
type tablesChanged struct {
	tables *table.Tables
}

// recordsRead carries job records from the store.
type recordsRead struct {
	epoch    endpoint.Epoch
	records  []job.Record
	revision platform.Revision
	// swept is set when the records are those of a sweep up to revision.
	swept bool
	err   error
}

// newsArrived carries a keeper's reply.
type newsArrived struct {
	epoch  endpoint.Epoch
	keeper vm.Name
	news   peer.KeepReply
	err    error
}

// pagesFenced says whether the pages of the waiting jobs were rewritten.
type pagesFenced struct {
	epoch endpoint.Epoch
	err   error
}

// launchEnded says whether all members of a gang have started.
type launchEnded struct {
	epoch endpoint.Epoch
	task  endpoint.Task
	err   error
}

// memberStopped says that a member can never run again. It may have finished before it was stopped.
type memberStopped struct {
	epoch  endpoint.Epoch
	worker core.Name
	report endpoint.TaskReport
}

// endRecorded says that the end of an attempt is stored.
type endRecorded struct {
	epoch  endpoint.Epoch
	task   endpoint.Task
	record job.Record
	err    error
}

// jobMoved says whether a job was given to another failure domain. On an error the record is the one that was found.
type jobMoved struct {
	epoch  endpoint.Epoch
	id     job.ID
	record job.Record
	err    error
}

func (roleGained) isEvent()    {}
func (roleConfirmed) isEvent() {}
func (roleLost) isEvent()      {}
func (tablesChanged) isEvent() {}
func (recordsRead) isEvent()   {}
func (newsArrived) isEvent()   {}
func (pagesFenced) isEvent()   {}
func (launchEnded) isEvent()   {}
func (memberStopped) isEvent() {}
func (endRecorded) isEvent()   {}
func (jobMoved) isEvent()      {}
