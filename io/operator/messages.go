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

// Tables holds the texts of the route table and of the pool table, as operators read and write them.
type Tables struct {
	// Revision is the accepted revision that was read or, in an edit, the accepted revision that the edit is based on.
	Revision table.Revision
	// EditID identifies an edit. It makes the edit idempotent, so that an operator can repeat the edit after a lost
	// reply.
	EditID table.EditID `json:",omitempty"`
	Routes string
	Pools  string
}

// PutReply is the reply to an accepted edit or to a check that found no mistakes.
type PutReply struct {
	// Revision is the accepted edit's revision or, after a check, the revision that the checked edit is based on.
	Revision table.Revision
	// Warnings lists guarantees that the hardware could not meet if the operators took out a failure domain, and
	// guarantees that the hardware can meet neither with this edit nor with the accepted tables. If guarantees could
	// not be compared with the hardware, Warnings holds only a note that says so.
	Warnings []string `json:",omitempty"`
}

// Problem is the reply to an edit or another call that was not accepted.
type Problem struct {
	Error string
	// Mistakes holds one line for each mistake in the tables and for each guarantee that exceeds the hardware.
	Mistakes []string `json:",omitempty"`
	// Revision and Changes are set if another edit was accepted first: Revision is the accepted revision, and Changes
	// lists the rows that differ between the accepted revision and the revision that the rejected edit is based on.
	Revision table.Revision `json:",omitempty"`
	Changes  []string       `json:",omitempty"`
}

// DomainRollout reports on how many VMs of a failure domain the revision that the operator asked about, or a later one,
// is in force.
type DomainRollout struct {
	FailureDomain domain.Name
	// State is the state of the failure domain in the tables, In or Out.
	State string
	// VMs is the number of VMs that answered. InForce is the number of VMs that answered and on which the revision that
	// the operator asked about, or a later one, is in force.
	InForce int
	VMs     int
	// Unreachable lists the VMs that did not answer. It is unknown which revision is in force on them.
	Unreachable []vm.Name `json:",omitempty"`
}

// RolloutReply reports whether the revision that the operator asked about, or a later one, is in force on all VMs, and
// on how many VMs of each failure domain.
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
	// FreshMillis is the time in milliseconds since Revision was last confirmed to be the accepted revision.
	FreshMillis int64
	Running     int
	Queued      int
	Controller  controller.Status
	Summaries   []peer.Summary
	Peers       []peer.Member
}

// FleetReply holds the states of all VMs that answered, and the names of the VMs that did not answer.
type FleetReply struct {
	VMs         []VMStatus
	Unreachable []vm.Name `json:",omitempty"`
}

// TimelineReply holds the events of all VMs that answered, in order, and the names of the VMs that did not answer.
type TimelineReply struct {
	Events      []timeline.Event
	Unreachable []vm.Name `json:",omitempty"`
}

// HistoryReply lists recent edits of the tables, oldest first.
type HistoryReply struct {
	Edits []HistoryEdit
}

// HistoryEdit is one accepted edit of the tables.
type HistoryEdit struct {
	Revision table.Revision
	ID       table.EditID
	Changes  []string
}

// splitShortages divides shortages, which are guarantees that the hardware cannot meet, into two groups. The shortages
// in refused exist with the tables as they are, and an edit can be refused for them. The shortages in warnings arise
// only if a failure domain is assumed to be taken out, and they never cause a refusal.
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
