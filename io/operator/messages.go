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

// Tables holds both tables, as operators read and write them.
type Tables struct {
	// Revision is the accepted revision that was read. An edit must name the revision that it is based on.
	Revision table.Revision
	// EditID identifies an edit. It makes a repetition after a lost reply idempotent.
	EditID table.EditID `json:",omitempty"`
	Routes string
	Pools  string
}

// PutReply is the reply to an accepted edit or to a check that found no mistakes.
type PutReply struct {
	Revision table.Revision
	// Warnings lists guarantees that the hardware could not meet if a failure domain were out, shortages that the
	// accepted tables already have, and a note if guarantees could not be compared with the hardware.
	Warnings []string `json:",omitempty"`
}

// Problem is the reply to an edit or another call that was not accepted.
type Problem struct {
	Error string
	// Mistakes holds one line for each mistake in the tables or guarantee that exceeds the hardware.
	Mistakes []string `json:",omitempty"`
	// Revision is the accepted revision if another edit was accepted first, and Changes lists the rows that differ.
	Revision table.Revision `json:",omitempty"`
	Changes  []string       `json:",omitempty"`
}

// DomainRollout is the number of VMs of a failure domain on which a revision is in force.
type DomainRollout struct {
	FailureDomain domain.Name
	State         string
	InForce       int
	VMs           int
	// Unreachable lists the VMs that did not answer. It is unknown which revision is in force on them.
	Unreachable []vm.Name `json:",omitempty"`
}

// RolloutReply reports whether a revision is in force on all VMs, and on how many VMs of each failure domain.
type RolloutReply struct {
	Revision   table.Revision
	Everywhere bool
	Domains    []DomainRollout
}

// VMStatus is the state of one VM, as the VM itself reports it.
type VMStatus struct {
	VM            vm.Name
	FailureDomain domain.Name
	Leaving       bool
	Revision      table.Revision
	// FreshMillis is the time since Revision was last confirmed to be the accepted revision.
	FreshMillis int64
	Running     int
	Queued      int
	Controller  controller.Status
	Summaries   []peer.Summary
	Peers       []peer.Member
}

// FleetReply holds the states of all VMs that answered, and the names of the others.
type FleetReply struct {
	VMs         []VMStatus
	Unreachable []vm.Name `json:",omitempty"`
}

// TimelineReply holds the events of all VMs that answered, in order, and the names of the other VMs.
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

// splitShortages separates the shortages that exist with the current failure domains, which make an edit invalid, from
// those that arise only if a failure domain is assumed to be out, which are warnings.
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
