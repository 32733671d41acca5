// Package peer speaks between entry VMs.
package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/job"
	"auburnstack/core/scheduler"
	"auburnstack/core/table"
	"auburnstack/core/timeline"
	"auburnstack/core/vm"
	worker "auburnstack/io/endpoint"
)

// ErrUnreachable reports a peer that did not answer.
var ErrUnreachable = errors.New("the peer did not answer")

// Member is what VMs tell each other about a VM.
type Member struct {
	vm.VM
	// Counter grows with each heartbeat of the VM itself.
	Counter uint64
	// Revision is the one in force on the VM at that heartbeat.
	Revision table.Revision
}

// Summary is a failure domain's capacity as its scheduler last told.
type Summary struct {
	scheduler.Summary
	Scheduler vm.Name
	// Version orders the summaries of one failure domain.
	Version uint64
}

// Heartbeat is one side of a gossip exchange.
type Heartbeat struct {
	Self      Member
	Others    []Member
	Summaries []Summary
	Revision  table.Revision
	// Fresh is the age of the newest proof that Revision is the accepted one.
	Fresh time.Duration
	Clock timeline.Stamp
}

// TablesReply holds the edits after a revision, or the whole tables when there are too many.
type TablesReply struct {
	Revision table.Revision
	Edits    []table.Edit
	Routes   string
	Pools    string
}

// Order is a scheduler's instruction to a keeper.
type Order struct {
	Scheduler vm.Name
	Epoch     worker.Epoch
	// Assignment identifies a list of workers; Workers holds it when the keeper may not have it.
	Assignment uint64
	Workers    []endpoint.Name
	HasWorkers bool
	// Withhold names tasks whose leases must not be renewed.
	Withhold []worker.Task
	// Acknowledged acknowledges news up to this number.
	Acknowledged uint64
}

// WorkerUpdate is what a keeper learned from one worker.
type WorkerUpdate struct {
	Sequence uint64
	Worker   endpoint.Name
	// Lost is set when the worker does not answer; every task there has ended once Lapses has passed.
	Lost        bool
	LeasesEndIn time.Duration
	// Incarnation changes when the worker has restarted.
	Incarnation uint64
	Tasks       []worker.TaskReport
	// Complete is set when Tasks holds all tasks of the worker.
	Complete bool
}

// KeepReply is a keeper's reply to an order.
type KeepReply struct {
	Assignment uint64
	Workers    []WorkerUpdate
	// StaleEpoch is set when a worker obeys a later scheduler.
	StaleEpoch bool
	Clock      timeline.Stamp
}

// JobsNotice tells a scheduler which job records of its failure domain have changed.
type JobsNotice struct {
	FailureDomain domain.Name
	Jobs          []job.ID
	Clock         timeline.Stamp
}

// View names a report for operators.
type View string

// The views that VMs show each other's operators.
const (
	StatusView   View = "Status"
	TimelineView View = "Timeline"
)

// Peer is another entry VM. Every method ends by the context's deadline and fails with ErrUnreachable.
type Peer interface {
	Gossip(ctx context.Context, heartbeat Heartbeat) (Heartbeat, error)
	FetchTables(ctx context.Context, since table.Revision) (TablesReply, error)
	Keep(ctx context.Context, order Order) (KeepReply, error)
	NotifyJobs(ctx context.Context, notice JobsNotice) error
	// Report returns a view as JSON.
	Report(ctx context.Context, view View) ([]byte, error)
}

// Dialer finds the peer that runs on a VM.
type Dialer interface {
	Peer(target vm.VM) Peer
}
