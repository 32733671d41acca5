// Package peer implements the gRPC protocol between entry VMs.
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

// Member describes one VM in a heartbeat.
type Member struct {
	vm.VM
	// Counter is the number that the described VM increases with each of its own heartbeats.
	Counter uint64
	// Revision is the revision of the tables that were in force on the described VM when the VM set Counter.
	Revision table.Revision
}

// Summary is a failure domain's capacity as its scheduler last reported it.
type Summary struct {
	scheduler.Summary
	Scheduler vm.Name
	// Version orders the summaries of one failure domain; a higher version is newer.
	Version uint64
}

// Heartbeat is the message that each of two VMs sends to the other in a gossip exchange.
type Heartbeat struct {
	Self      Member
	Others    []Member
	Summaries []Summary
	Revision  table.Revision
	// RevisionAge is the time since Revision was last confirmed to be the accepted revision.
	RevisionAge time.Duration
	Clock       timeline.Stamp
}

// TablesReply holds the edits after a revision, or the complete tables if the sender no longer has all of the edits.
type TablesReply struct {
	Revision table.Revision
	Edits    []table.Edit
	Routes   string
	Pools    string
}

// Order is a scheduler's instruction to a keeper. A keeper is a VM that renews task leases on some workers of the
// scheduler's failure domain and reports their state to the scheduler.
type Order struct {
	Scheduler vm.Name
	Epoch     worker.Epoch
	// Assignment identifies the list of the workers that the keeper is responsible for. Workers holds that list, and
	// HasWorkers is set, only if the keeper may not have received this assignment yet.
	Assignment uint64
	Workers    []endpoint.Name
	HasWorkers bool
	// Withhold lists tasks whose leases the keeper must not renew.
	Withhold []worker.Task
	// Acknowledged is the highest sequence number of the updates that the scheduler has received. The keeper discards
	// the updates up to this number.
	Acknowledged uint64
}

// WorkerUpdate is a change in the state of one worker, as a keeper observed it.
type WorkerUpdate struct {
	Sequence uint64
	Worker   endpoint.Name
	// Lost is set when the worker no longer answers. All of its tasks have ended at the latest after LeasesEndIn,
	// because their leases have then expired.
	Lost        bool
	LeasesEndIn time.Duration
	// Incarnation identifies the worker's process; it changes when the worker restarts.
	Incarnation uint64
	Tasks       []worker.TaskReport
	// Complete is set if Tasks holds all tasks of the worker, and not only the tasks that have changed.
	Complete bool
}

// KeepReply is a keeper's reply to an order.
type KeepReply struct {
	Assignment uint64
	Workers    []WorkerUpdate
	// StaleEpoch is set when the keeper or a worker has accepted orders of a scheduler with a higher epoch.
	StaleEpoch bool
	Clock      timeline.Stamp
}

// JobsNotice notifies a scheduler of job records of its failure domain that have changed.
type JobsNotice struct {
	FailureDomain domain.Name
	Jobs          []job.ID
	Clock         timeline.Stamp
}

// View is the name of a report for operators.
type View string

// The reports that one VM requests from all others when an operator asks it about the whole fleet.
const (
	StatusView   View = "Status"
	TimelineView View = "Timeline"
)

// Peer makes calls to another entry VM. Every method returns by the context's deadline. The only error is
// ErrUnreachable.
type Peer interface {
	Gossip(ctx context.Context, heartbeat Heartbeat) (Heartbeat, error)
	FetchTables(ctx context.Context, since table.Revision) (TablesReply, error)
	Keep(ctx context.Context, order Order) (KeepReply, error)
	NotifyJobs(ctx context.Context, notice JobsNotice) error
	// Report returns a report for operators as JSON.
	Report(ctx context.Context, view View) ([]byte, error)
}

// Dialer returns the Peer for calls to a VM.
type Dialer interface {
	Peer(target vm.VM) Peer
}
