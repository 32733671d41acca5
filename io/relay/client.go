package relay

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/peer"

	"auburnstack/core/answer"
	"auburnstack/core/graph"
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
	message, err := encodeHeartbeat(h, time.Now())
	if err != nil {
		return HeartbeatReply{}, err
	}
	reply, err := c.rpc.Exchange(ctx, message)
	if err != nil {
		return HeartbeatReply{}, errors.WithMessage(ErrUnanswered, err.Error())
	}
	return decodeHeartbeatReply(reply), nil
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
	return JobState{Leading: reply.GetLeading(), Known: reply.GetKnown(), State: graph.State(reply.GetState())}, nil
}

func encodePolicy(h Heartbeat, now time.Time) (*relaypb.PolicySnapshot, error) {
	message := &relaypb.PolicySnapshot{
		Revision: int64(h.Policy.Revision), ChangedAt: int64(h.Policy.ChangedAt),
		AgeMillis: now.Sub(h.Policy.ConfirmedAt).Milliseconds(),
	}
	if h.Policy.Policy == nil {
		return message, nil
	}
	encoded, err := json.Marshal(h.Policy.Policy)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	message.Policy = encoded
	return message, nil
}

func encodeHeartbeat(h Heartbeat, now time.Time) (*relaypb.Heartbeat, error) {
	snapshot, err := encodePolicy(h, now)
	if err != nil {
		return nil, err
	}
	message := &relaypb.Heartbeat{
		Sender: encodeMember(h.Sender), Fence: int64(h.Fence), Policy: snapshot, Pending: map[string]int64{},
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
	return message, nil
}

func encodeMember(m Member) *relaypb.Member {
	return &relaypb.Member{Name: string(m.Name), Address: m.Address.String()}
}
