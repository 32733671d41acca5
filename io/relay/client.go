package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/peer"

	"auburnstack/core/account"
	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/io/decoding"
	"auburnstack/io/policywatch"
	"auburnstack/io/relay/relaypb"
	"auburnstack/io/tcp"
)

const (
	// maxMessage is the maximum size of one message between VMs, in bytes.
	maxMessage = 8 << 20
	// reconnectDelay is the initial pause between two attempts to connect. maxReconnectDelay is the maximum pause
	// between two attempts.
	reconnectDelay    = 100 * time.Millisecond
	maxReconnectDelay = 500 * time.Millisecond
)

// Pool is a Dialer that keeps one connection to each VM that was called.
type Pool struct {
	mu          sync.Mutex
	connections map[netip.AddrPort]*grpc.ClientConn
}

// NewPool returns a pool without connections. The method Peer creates them.
func NewPool() *Pool {
	return &Pool{connections: map[netip.AddrPort]*grpc.ClientConn{}}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, connection := range p.connections {
		_ = connection.Close()
		delete(p.connections, address)
	}
}

// Retain implements Dialer.
func (p *Pool) Retain(members []Member) {
	wanted := map[netip.AddrPort]bool{}
	for _, m := range members {
		wanted[m.Address] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, connection := range p.connections {
		if !wanted[address] {
			_ = connection.Close()
			delete(p.connections, address)
		}
	}
}

// Peer implements Dialer.
func (p *Pool) Peer(address netip.AddrPort) Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if connection, open := p.connections[address]; open {
		return &client{rpc: relaypb.NewRelayClient(connection)}
	}
	connection, err := grpc.NewClient("passthrough:///"+address.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, target string) (net.Conn, error) {
			return tcp.Dial(ctx, "tcp", target)
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectDelay, Multiplier: 2, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: time.Second,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)))
	if err != nil {
		return &client{dialErr: err}
	}
	p.connections[address] = connection
	return &client{rpc: relaypb.NewRelayClient(connection)}
}

// client is a Peer that is reached over gRPC. If dialErr is set, there is no connection, and all calls fail.
type client struct {
	rpc     relaypb.RelayClient
	dialErr error
}

// Exchange implements Peer.
func (c *client) Exchange(ctx context.Context, h Heartbeat) (HeartbeatReply, error) {
	if c.dialErr != nil {
		return HeartbeatReply{}, errors.WithMessage(ErrUnanswered, c.dialErr.Error())
	}
	reply, err := c.rpc.Exchange(ctx, encodeHeartbeat(h))
	if err != nil {
		return HeartbeatReply{}, errors.WithMessage(ErrUnanswered, err.Error())
	}
	return decodeHeartbeatReply(reply), nil
}

// Configuration implements Peer.
func (c *client) Configuration(ctx context.Context, request PolicyRequest) (PolicyReply, error) {
	if c.dialErr != nil {
		return PolicyReply{}, errors.WithMessage(ErrUnanswered, c.dialErr.Error())
	}
	message, err := c.rpc.Configuration(ctx, &relaypb.PolicyRequest{
		Known: encodeVersion(request.Known), Content: request.Content,
	})
	if err != nil {
		return PolicyReply{}, errors.WithMessage(ErrUnanswered, err.Error())
	}
	reply := PolicyReply{
		Version: decodeVersion(message.GetVersion()), Partial: message.GetPartial(), Proven: message.GetProven(),
		Age: time.Duration(message.GetAgeNanos()),
	}
	if len(message.GetPolicy()) == 0 {
		return reply, nil
	}
	reply.Policy = &policy.Policy{}
	return reply, decoding.Unmarshal(message.GetPolicy(), reply.Policy, decoding.Dense)
}

// Handle implements Peer.
func (c *client) Handle(ctx context.Context, r Request) (answer.Answer, error) {
	if c.dialErr != nil {
		return answer.Answer{}, errors.WithMessage(ErrUnanswered, c.dialErr.Error())
	}
	var receiver peer.Peer
	reply, err := c.rpc.Handle(ctx, &relaypb.CallerRequest{
		Method: r.Method, Host: r.Host, Path: r.Path, Key: r.Key, Body: r.Body,
	}, grpc.Peer(&receiver))
	switch {
	case err != nil && receiver.Addr == nil:
		// There was no connection, so the request was never sent.
		return answer.Answer{}, errors.WithMessage(ErrUnreachable, err.Error())
	case err != nil:
		return answer.Answer{}, errors.WithMessage(ErrUnanswered, err.Error())
	}
	return answer.Answer{
		Kind: answer.Kind(reply.GetKind()), State: graph.State(reply.GetState()), Pending: int(reply.GetPending()),
		RetryAfter: time.Duration(reply.GetRetryAfterMillis()) * time.Millisecond, Reason: reply.GetReason(),
	}, nil
}

// Ask implements Peer.
func (c *client) Ask(ctx context.Context, job graph.ID) (JobState, error) {
	if c.dialErr != nil {
		return JobState{}, errors.WithMessage(ErrUnanswered, c.dialErr.Error())
	}
	reply, err := c.rpc.Ask(ctx, &relaypb.Question{Job: string(job)})
	if err != nil {
		return JobState{}, errors.WithMessage(ErrUnanswered, err.Error())
	}
	return JobState{
		Leading: reply.GetLeading(), Known: reply.GetKnown(), State: graph.State(reply.GetState()),
		Origin: graph.Origin{
			Queue: reply.GetQueue(), Address: policy.Address{Host: reply.GetHost(), Prefix: reply.GetPrefix()},
			ClientAccount: account.Name(reply.GetClientAccount()),
		},
	}, nil
}

func encodeVersion(v policywatch.Version) *relaypb.PolicyVersion {
	return &relaypb.PolicyVersion{Revision: int64(v.Revision), ChangedAt: int64(v.ChangedAt)}
}

func encodeHeartbeat(h Heartbeat) *relaypb.Heartbeat {
	message := &relaypb.Heartbeat{
		Sender: encodeMember(h.Sender), Fence: int64(h.Fence), Policy: encodeVersion(h.Policy), Pending: map[string]int64{},
		Lease: int64(h.Lease), Resigned: h.Resigned,
	}
	if h.JobAllowance.Limited {
		message.JobAllowance = &relaypb.JobAllowance{Bytes: h.JobAllowance.Bytes}
	}
	for queue, count := range h.Pending {
		message.Pending[queue] = int64(count)
	}
	for _, m := range h.Members {
		message.Members = append(message.Members, encodeMember(m))
	}
	for _, s := range h.Sizes {
		message.Sizes = append(message.Sizes, &relaypb.WorkerSize{
			Service: s.Service, Cpu: s.Capacity.CPU, Memory: s.Capacity.Memory, Accelerators: s.Capacity.Accelerators,
			Workers: int64(s.Workers),
		})
	}
	return message
}

func encodeMember(m Member) *relaypb.Member {
	return &relaypb.Member{Name: string(m.Name), Address: m.Address.String()}
}
