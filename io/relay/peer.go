// Package relay implements the protocol between the VMs of a site. It carries the leader's heartbeats, announcements of
// new configurations, and requests of callers that another VM can handle better.
package relay

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/core/jobmemory"
	"auburnstack/core/roster"
	"auburnstack/core/vm"
	"auburnstack/io/policywatch"
	"auburnstack/io/store"
)

// Member is a VM of the site.
type Member struct {
	Name    vm.Name
	Address netip.AddrPort
}

// Heartbeat is a message from one VM to another: a leader's heartbeat, an announcement of a configuration, or an
// introduction of a VM that reaches neither the store nor a leader.
type Heartbeat struct {
	Sender Member
	// Fence is the leader's fencing token; 0 when the sender does not lead.
	Fence store.Revision
	// Policy is the newest configuration that the sender knows. The content of the configuration is included only if
	// the sender has already announced the configuration and the receiver's reply still named an older one.
	Policy policywatch.Snapshot
	// Pending holds, for each queue, the number of jobs of which no task has started.
	Pending map[string]int
	// Members lists the VMs of the site, the sender included. The sender omits the list if the list has not changed
	// since it was last sent to the receiver.
	Members []Member
	// Sizes lists the capacities that workers have had. The list is empty until the leader has enough information about
	// the workers.
	Sizes []roster.Size
	// JobAllowance is what the receiver may accept by itself until the leader's next heartbeat.
	JobAllowance jobmemory.Allowance
	// Lease is the store lease under which the leader holds its key. Resigned is set when the leader has ended its
	// leadership term, so the receiver may end this lease.
	Lease    store.LeaseID
	Resigned bool
}

// HeartbeatReply identifies the configuration that the receiver of a heartbeat has, by the same two revisions as
// policywatch.Snapshot.
type HeartbeatReply struct {
	Revision  store.Revision
	ChangedAt store.Revision
	// Leader is the latest leader that the receiver knows. The address of Leader is invalid if the receiver knows no
	// leader.
	Leader Member
}

// Request is a caller's request, as it is relayed between VMs.
type Request struct {
	Method string
	Host   string
	Path   string
	Key    string
	Body   []byte
}

// JobState is a VM's answer when it is asked for the state of a job.
type JobState struct {
	// Leading is false when the VM that was asked does not lead; the other fields are then not set.
	Leading bool
	// Known is false when the leader knows no job with the given ID.
	Known bool
	State graph.State
}

// Errors returned by a Peer.
var (
	// ErrUnreachable is returned when the message was never sent.
	ErrUnreachable = errors.New("the VM can't be reached")
	// ErrUnanswered is returned when the VM has not answered; it may have acted on the message.
	ErrUnanswered = errors.New("the VM has not answered")
)

// Peer sends messages to another VM. Every method returns by the context's deadline.
type Peer interface {
	// Exchange sends a heartbeat.
	Exchange(ctx context.Context, heartbeat Heartbeat) (HeartbeatReply, error)
	// Handle relays a caller's request and returns the VM's answer.
	Handle(ctx context.Context, request Request) (answer.Answer, error)
	// Ask asks the VM for the state of a job. Only the leader knows the states of jobs.
	Ask(ctx context.Context, job graph.ID) (JobState, error)
}

// Dialer provides connections to other VMs.
type Dialer interface {
	// Peer returns a Peer for the VM at an address, and opens a connection to this VM if there is none.
	Peer(address netip.AddrPort) Peer
	// Retain closes the connections to VMs that are not among the members.
	Retain(members []Member)
}
