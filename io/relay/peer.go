// Package relay implements the protocol between the VMs of a site. It carries the leader's heartbeats, announcements of
// new configurations, and requests of callers that another VM can handle better.
package relay

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/core/jobmemory"
	"auburnstack/core/policy"
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
	// Policy is the newest configuration that the sender knows. A receiver with an older one asks for it.
	Policy policywatch.Version
	// Pending holds, by the queues' keys, the number of jobs of which no task has started.
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

// HeartbeatReply is the reply to a heartbeat.
type HeartbeatReply struct {
	// Policy is the newest configuration that the receiver of the heartbeat knows.
	Policy policywatch.Version
	// Leader is the latest leader that the receiver knows. The address of Leader is invalid if the receiver knows no
	// leader.
	Leader Member
}

// PolicyRequest asks another VM for its configuration.
type PolicyRequest struct {
	// Known is the configuration that the sender has.
	Known policywatch.Version
	// Content is set if the sender wants the whole configuration, in case its own is older.
	Content bool
}

// PolicyReply is the configuration that a VM has.
type PolicyReply struct {
	// Policy is the content, if it was wanted and is newer than the known one; otherwise nil.
	Policy  *policy.Policy
	Version policywatch.Version
	// Partial is set if Policy holds only Out and Waves. The rest is the same as in the configuration that is known.
	Partial bool
	// Age is the time since the configuration was last proven to be the newest. Proven is set if it ever was.
	Age    time.Duration
	Proven bool
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
	// Origin is empty if the leader is of an earlier build.
	Origin graph.Origin
	State  graph.State
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
	// Configuration asks for the configuration.
	Configuration(ctx context.Context, request PolicyRequest) (PolicyReply, error)
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
