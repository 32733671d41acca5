package timeline

import (
	"sort"

	"auburnstack/core/domain"
	"auburnstack/core/vm"
)

// Kind is the type of an event.
type Kind string

// The kinds of events.
const (
	VMStarted          Kind = "VMStarted"
	VMLeaving          Kind = "VMLeaving"
	VMSeen             Kind = "VMSeen"
	VMGone             Kind = "VMGone"
	TablesAdopted      Kind = "TablesAdopted"
	TablesAccepted     Kind = "TablesAccepted"
	SchedulerAcquired  Kind = "SchedulerAcquired"
	SchedulerLost      Kind = "SchedulerLost"
	StartsFrozen       Kind = "StartsFrozen"
	StartsResumed      Kind = "StartsResumed"
	SweepsFail         Kind = "SweepsFail"
	SweepsResumed      Kind = "SweepsResumed"
	WorkerLost         Kind = "WorkerLost"
	WorkerReturned     Kind = "WorkerReturned"
	WorkerQuarantined  Kind = "WorkerQuarantined"
	EndpointEjected    Kind = "EndpointEjected"
	JobAccepted        Kind = "JobAccepted"
	JobStarted         Kind = "JobStarted"
	JobStartFailed     Kind = "JobStartFailed"
	JobStopping        Kind = "JobStopping"
	JobRequeued        Kind = "JobRequeued"
	JobMoved           Kind = "JobMoved"
	JobAdopted         Kind = "JobAdopted"
	JobsHeld           Kind = "JobsHeld"
	JobFinished        Kind = "JobFinished"
	JobFailed          Kind = "JobFailed"
	JobCanceled        Kind = "JobCanceled"
	RequestNotAnswered Kind = "RequestNotAnswered"
)

// Event is one entry of the timeline, recorded by one process.
type Event struct {
	Stamp         Stamp
	VM            vm.Name
	FailureDomain domain.Name
	Kind          Kind
	// Subject is the name or ID of the object that the event is about.
	Subject string
	Detail  string `json:",omitempty"`
}

// Merge returns the events of several lists ordered by stamp, then VM, without duplicates.
func Merge(lists ...[]Event) []Event {
	var merged []Event
	for _, list := range lists {
		merged = append(merged, list...)
	}
	sort.SliceStable(merged, func(i, j int) bool {
		if merged[i].Stamp != merged[j].Stamp {
			return merged[i].Stamp < merged[j].Stamp
		}
		return merged[i].VM < merged[j].VM
	})
	unique := merged[:0]
	for i, event := range merged {
		if i == 0 || event != merged[i-1] {
			unique = append(unique, event)
		}
	}
	return unique
}
