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

// event is a message to the control goroutine, which handles one event at a time.
type event interface {
	isEvent()
}

// roleGained reports that this VM has become the scheduler of its failure domain under a new epoch.
type roleGained struct {
	epoch endpoint.Epoch
	// at is the time just before the lease of the role was requested.
	at time.Time
}

// roleConfirmed reports that the store has renewed the lease of the role. The renewal was requested at the given time.
type roleConfirmed struct {
	at time.Time
}

// roleLost reports that this VM is no longer the scheduler, or that another VM may be the scheduler.
type roleLost struct {
	reason string
}

// tablesChanged carries the tables of pools and routes that this VM has newly adopted.
type tablesChanged struct {
	tables *table.Tables
}

// recordsRead carries job records from the store.
type recordsRead struct {
	epoch    endpoint.Epoch
	records  []job.Record
	revision platform.Revision
	// fromSweep is set when a sweep read the records. The fields epoch and revision are used only then: revision is the
	// revision of the store up to which the sweep has read.
	fromSweep bool
	err       error
}

// keeperReplied carries a keeper's reply to an order.
type keeperReplied struct {
	epoch  endpoint.Epoch
	keeper vm.Name
	reply  peer.KeepReply
	err    error
}

// pagesFenced reports whether the pages of the waiting jobs were rewritten.
type pagesFenced struct {
	epoch endpoint.Epoch
	err   error
}

// launchEnded reports that the start of a gang has ended. err is nil if all members have been confirmed.
type launchEnded struct {
	epoch endpoint.Epoch
	task  endpoint.Task
	err   error
}

// memberStopped reports that a worker has confirmed the stop of a gang member. The member may have finished before the
// stop.
type memberStopped struct {
	epoch  endpoint.Epoch
	worker core.Name
	report endpoint.TaskReport
}

// endRecorded reports that the end of an attempt was stored. If the change of the job's record was refused, err is set
// and the field record holds the job's record as it was found.
type endRecorded struct {
	epoch  endpoint.Epoch
	task   endpoint.Task
	record job.Record
	err    error
}

// jobMoved reports whether a job was moved to another failure domain. If err is set, the field record holds the job's
// record as it was found.
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
func (keeperReplied) isEvent() {}
func (pagesFenced) isEvent()   {}
func (launchEnded) isEvent()   {}
func (memberStopped) isEvent() {}
func (endRecorded) isEvent()   {}
func (jobMoved) isEvent()      {}
