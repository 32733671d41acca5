package operator

import (
	"auburnstack/core/domain"
	"auburnstack/core/scheduler"
	"auburnstack/core/table"
	"auburnstack/core/timeline"
	"auburnstack/core/vm"
	"auburnstack/io/controller"
	"auburnstack/io/peer"
)

// Tables is the pair of tables as operators read and put them.
type Tables struct {
	// Revision is the accepted one that was read; an edit is made against it.
	Revision table.Revision
	// EditID identifies an edit, so that it can be repeated after a lost reply.
	EditID table.EditID `json:",omitempty"`
	Routes string
	Pools  string
}

// PutReply answers an accepted edit or a check.
type PutReply struct {
	Revision table.Revision
	// Warnings lists guarantees that would not survive the departure of a failure domain.
	Warnings []string `json:",omitempty"`
}

// Problem answers an edit that was not accepted.
type Problem struct {
	Error string
	// Mistakes holds one line for each mistake in the tables.
	Mistakes []string `json:",omitempty"`
	// Revision is the accepted one when another edit came first, and Changes lists its rows.
	Revision table.Revision `json:",omitempty"`
	Changes  []string       `json:",omitempty"`
}

// DomainRollout tells on how many VMs of a failure domain a revision is in force.
type DomainRollout struct {
	FailureDomain domain.Name
	State         string
	InForce       int
	VMs           int
	// Unreachable lists VMs that did not answer; nothing is known of them.
	Unreachable []vm.Name `json:",omitempty"`
}

// RolloutReply answers the question whether a revision is in force everywhere.
type RolloutReply struct {
	Revision   table.Revision
	Everywhere bool
	Domains    []DomainRollout
}

// VMStatus is one VM's own state.
type VMStatus struct {
	VM            vm.Name
	FailureDomain domain.Name
	Leaving       bool
	Revision      table.Revision
	// FreshMillis is the age of the newest proof that Revision is the accepted one.
	FreshMillis int64
	Running     int
	Queued      int
	Controller  controller.Status
	Summaries   []peer.Summary
	Peers       []peer.Member
}

// FleetReply collects the states of all VMs.
type FleetReply struct {
	VMs         []VMStatus
	Unreachable []vm.Name `json:",omitempty"`
}

// TimelineReply holds the events of one or more VMs in order.
type TimelineReply struct {
	Events      []timeline.Event
	Unreachable []vm.Name `json:",omitempty"`
}

// HistoryReply lists recent edits, oldest first.
type HistoryReply struct {
	Edits []HistoryEdit
}

// HistoryEdit is one accepted edit.
type HistoryEdit struct {
	Revision table.Revision
	ID       table.EditID
	Changes  []string
}

// splitShortages splits a survey into shortages as the tables stand, which are refused, and warnings.
func splitShortages(shortages []scheduler.Shortage) (refused, warnings []string) {
	for _, shortage := range shortages {
		if shortage.AssumedOut == "" {
			refused = append(refused, shortage.String())
			continue
		}
		warnings = append(warnings, shortage.String())
	}
	return refused, warnings
}
