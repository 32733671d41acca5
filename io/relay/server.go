package relay

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/core/jobmemory"
	"auburnstack/core/policy"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
	"auburnstack/core/vm"
	"auburnstack/io/connections"
	"auburnstack/io/policywatch"
	"auburnstack/io/relay/relaypb"
	"auburnstack/io/rpcserver"
	"auburnstack/io/store"
)

// Handler answers the messages of other VMs. Each method of Handler answers the messages that are sent by the method of
// Peer with the same name.
type Handler interface {
	Exchange(heartbeat Heartbeat) HeartbeatReply
	Configuration(request PolicyRequest) PolicyReply
	Handle(ctx context.Context, request Request) answer.Answer
	Ask(ctx context.Context, job graph.ID) JobState
}

// Server accepts messages of other VMs on one listener.
type Server struct {
	rpc  *grpc.Server
	done chan struct{}
}

// NewServer starts a server that passes the messages received on a listener to a handler, within DefaultLimits.
func NewServer(listener net.Listener, handler Handler, log hclog.Logger) *Server {
	return NewLimitedServer(listener, handler, DefaultLimits, log)
}

// NewLimitedServer is like NewServer with other limits.
func NewLimitedServer(inner net.Listener, handler Handler, limits Limits, log hclog.Logger) *Server {
	listener := connections.NewListener(inner,
		connections.Limits{Connections: limits.Connections, Bytes: limits.MessageBytes}, limits.Closed)
	s := &Server{done: make(chan struct{}), rpc: rpcserver.New(log, limits.options(listener)...)}
	relaypb.RegisterRelayServer(s.rpc, &service{handler: handler})
	go func() {
		defer close(s.done)
		_ = s.rpc.Serve(listener)
	}()
	return s
}

// Close aborts all calls, and waits until the server has stopped.
func (s *Server) Close() {
	s.rpc.Stop()
	<-s.done
}

// service implements the gRPC service by means of a Handler.
type service struct {
	relaypb.UnimplementedRelayServer
	handler Handler
	// encoded is the last whole configuration that was sent.
	encoded atomic.Pointer[encodedPolicy]
}

// encodedPolicy is a configuration with its JSON text.
type encodedPolicy struct {
	policy *policy.Policy
	text   []byte
}

// encode returns the JSON text of a whole configuration. Many VMs may ask for the same one.
func (s *service) encode(p *policy.Policy) ([]byte, error) {
	if last := s.encoded.Load(); last != nil && last.policy == p {
		return last.text, nil
	}
	text, err := json.Marshal(p)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s.encoded.Store(&encodedPolicy{policy: p, text: text})
	return text, nil
}

// Exchange implements relaypb.RelayServer.
func (s *service) Exchange(_ context.Context, message *relaypb.Heartbeat) (*relaypb.HeartbeatReply, error) {
	h, err := decodeHeartbeat(message)
	if err != nil {
		return nil, err
	}
	reply := s.handler.Exchange(h)
	return &relaypb.HeartbeatReply{
		Revision: int64(reply.Policy.Revision), ChangedAt: int64(reply.Policy.ChangedAt),
		Leader: encodeMember(reply.Leader),
	}, nil
}

// Configuration implements relaypb.RelayServer.
func (s *service) Configuration(_ context.Context, r *relaypb.PolicyRequest) (*relaypb.PolicySnapshot, error) {
	reply := s.handler.Configuration(PolicyRequest{Known: decodeVersion(r.GetKnown()), Content: r.GetContent()})
	message := &relaypb.PolicySnapshot{
		Version: encodeVersion(reply.Version), Partial: reply.Partial, Proven: reply.Proven, AgeNanos: int64(reply.Age),
	}
	var err error
	switch {
	case reply.Policy == nil:
	case reply.Partial:
		message.Policy, err = json.Marshal(reply.Policy)
	default:
		message.Policy, err = s.encode(reply.Policy)
	}
	return message, errors.WithStack(err)
}

// Handle implements relaypb.RelayServer.
func (s *service) Handle(ctx context.Context, r *relaypb.CallerRequest) (*relaypb.CallerReply, error) {
	reply := s.handler.Handle(ctx, Request{
		Method: r.GetMethod(), Host: r.GetHost(), Path: r.GetPath(), Key: r.GetKey(), Body: r.GetBody(),
	})
	return &relaypb.CallerReply{
		Kind: uint32(reply.Kind), State: string(reply.State), Pending: int64(reply.Pending),
		RetryAfterMillis: reply.RetryAfter.Milliseconds(), Reason: reply.Reason,
	}, nil
}

// Ask implements relaypb.RelayServer.
func (s *service) Ask(ctx context.Context, q *relaypb.Question) (*relaypb.Answer, error) {
	job := s.handler.Ask(ctx, graph.ID(q.GetJob()))
	return &relaypb.Answer{
		Leading: job.Leading, Known: job.Known, State: string(job.State),
		Queue: job.Origin.Queue, ClientAccount: string(job.Origin.ClientAccount),
		Host: job.Origin.Address.Host, Prefix: job.Origin.Address.Prefix,
	}, nil
}

func decodeVersion(message *relaypb.PolicyVersion) policywatch.Version {
	return policywatch.Version{
		Revision: store.Revision(message.GetRevision()), ChangedAt: store.Revision(message.GetChangedAt()),
	}
}

func decodeHeartbeat(message *relaypb.Heartbeat) (Heartbeat, error) {
	sender, err := decodeMember(message.GetSender())
	if err != nil {
		return Heartbeat{}, err
	}
	h := Heartbeat{
		Sender: sender, Fence: store.Revision(message.GetFence()), Pending: map[string]int{},
		Lease: store.LeaseID(message.GetLease()), Resigned: message.GetResigned(),
		Policy: decodeVersion(message.GetPolicy()),
	}
	h.JobAllowance = jobmemory.Allowance{
		Limited: message.GetJobAllowance() != nil, Bytes: message.GetJobAllowance().GetBytes(),
	}
	for queue, count := range message.GetPending() {
		h.Pending[queue] = int(count)
	}
	for _, m := range message.GetMembers() {
		member, err := decodeMember(m)
		if err != nil {
			return Heartbeat{}, err
		}
		h.Members = append(h.Members, member)
	}
	for _, s := range message.GetSizes() {
		h.Sizes = append(h.Sizes, roster.Size{
			Service: s.GetService(), Workers: int(s.GetWorkers()),
			Capacity: resources.Amounts{CPU: s.GetCpu(), Memory: s.GetMemory(), Accelerators: s.GetAccelerators()},
		})
	}
	return h, nil
}

func decodeMember(message *relaypb.Member) (Member, error) {
	address, err := netip.ParseAddrPort(message.GetAddress())
	if err != nil {
		return Member{}, errors.WithMessagef(err, "the address of %q can't be read", message.GetName())
	}
	return Member{Name: vm.Name(message.GetName()), Address: address}, nil
}

func decodeHeartbeatReply(reply *relaypb.HeartbeatReply) HeartbeatReply {
	decoded := HeartbeatReply{Policy: policywatch.Version{
		Revision: store.Revision(reply.GetRevision()), ChangedAt: store.Revision(reply.GetChangedAt()),
	}}
	if leader, err := decodeMember(reply.GetLeader()); err == nil {
		decoded.Leader = leader
	}
	return decoded
}
