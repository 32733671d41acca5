// Package relay is what the VMs of a site say to each other: the leader's heartbeat, new configurations, and requests
// that another VM can handle better.
package relay

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"auburnstack/core/answer"
	"auburnstack/core/graph"
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

// Heartbeat is what a VM tells another one.
type Heartbeat struct {
	Sender Member
	// Fence is the leader's fencing token; 0 when the sender does not lead.
	Fence store.Revision
	// Policy is the newest that the sender knows. Its content is left out when the receiver is known to have it.
	Policy policywatch.Snapshot
	// Pending counts the jobs of each queue of which no task has started.
	Pending map[string]int
	// Members lists the VMs; it is left out while it has not changed since the receiver was told.
	Members []Member
	// Sizes are those that workers have had; empty until enough is known.
	Sizes []roster.Size
	// Lease is that of the leader's key. Resigned tells that the leader has ended its term, so that the lease can be
	// ended.
	Lease    store.LeaseID
	Resigned bool
}

// HeartbeatReply tells which configuration a VM has.
type HeartbeatReply struct {
	Revision  store.Revision
	ChangedAt store.Revision
	// Leader is the newest that the VM knows; its address is invalid if it knows none.
	Leader Member
}

// Request is a caller's request that another VM passes on.
type Request struct {
	Method string
	Host   string
	Path   string
	Key    string
	Body   []byte
}

// JobState tells the state of a job.
type JobState struct {
	// Leading is false when the VM that was asked does not lead.
	Leading bool
	Known   bool
	State   graph.State
}

// Errors of a peer.
var (
	// ErrUnreachable reports a message that was never sent.
	ErrUnreachable = errors.New("the VM can't be reached")
	// ErrUnanswered reports a VM that did not answer; it may have acted on the message.
	ErrUnanswered = errors.New("the VM has not answered")
)

// Peer is another VM. Every method ends by the context's deadline.
type Peer interface {
	Exchange(ctx context.Context, heartbeat Heartbeat) (HeartbeatReply, error)
	Handle(ctx context.Context, request Request) (answer.Answer, error)
	Ask(ctx context.Context, job graph.ID) (JobState, error)
}

// Dialer finds the connection to a VM.
type Dialer interface {
	Peer(address netip.AddrPort) Peer
	// Retain ends the connections to VMs that are not among the members.
	Retain(members []Member)
}
