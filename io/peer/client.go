package peer

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"auburnstack/core/table"
	"auburnstack/core/vm"
	"auburnstack/io/peer/peerpb"
)

// maxMessage is the maximum size in bytes of a message between VMs.
const maxMessage = 16 << 20

// Pool holds one connection to each VM that was called. It implements Dialer.
type Pool struct {
	transport Transport

	mu          sync.Mutex
	connections map[vm.Name]*grpc.ClientConn
}

// NewPool returns a pool without connections. The method Peer creates them.
func NewPool(transport Transport) *Pool {
	return &Pool{transport: transport, connections: map[vm.Name]*grpc.ClientConn{}}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, connection := range p.connections {
		_ = connection.Close()
		delete(p.connections, name)
	}
}

// Forget closes the connection to a VM that has disappeared from the fleet.
func (p *Pool) Forget(name vm.Name) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if connection, open := p.connections[name]; open {
		_ = connection.Close()
		delete(p.connections, name)
	}
}

// Peer implements Dialer.
func (p *Pool) Peer(target vm.VM) Peer {
	connection, err := p.connect(target)
	if err != nil {
		return &client{dialErr: err}
	}
	return &client{rpc: peerpb.NewPeerClient(connection)}
}

func (p *Pool) connect(target vm.VM) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if connection, open := p.connections[target.Name]; open {
		return connection, nil
	}
	connection, err := grpc.NewClient("passthrough:///"+target.PeerAddress.String(),
		grpc.WithTransportCredentials(p.transport),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p.connections[target.Name] = connection
	return connection, nil
}

// client implements Peer over gRPC. If the connection could not be created, all calls fail with dialErr.
type client struct {
	rpc     peerpb.PeerClient
	dialErr error
}

func unreachable(err error) error {
	return errors.WithMessage(ErrUnreachable, err.Error())
}

// Gossip implements Peer.
func (c *client) Gossip(ctx context.Context, heartbeat Heartbeat) (Heartbeat, error) {
	if c.dialErr != nil {
		return Heartbeat{}, unreachable(c.dialErr)
	}
	reply, err := c.rpc.Gossip(ctx, toHeartbeat(heartbeat))
	if err != nil {
		return Heartbeat{}, unreachable(err)
	}
	return fromHeartbeat(reply), nil
}

// FetchTables implements Peer.
func (c *client) FetchTables(ctx context.Context, since table.Revision) (TablesReply, error) {
	if c.dialErr != nil {
		return TablesReply{}, unreachable(c.dialErr)
	}
	reply, err := c.rpc.FetchTables(ctx, &peerpb.TablesRequest{Since: uint64(since)})
	if err != nil {
		return TablesReply{}, unreachable(err)
	}
	tables := TablesReply{
		Revision: table.Revision(reply.GetRevision()), Routes: reply.GetRoutes(), Pools: reply.GetPools(),
	}
	for _, encoded := range reply.GetEdits() {
		var edit table.Edit
		if err := json.Unmarshal(encoded, &edit); err != nil {
			return TablesReply{}, unreachable(err)
		}
		tables.Edits = append(tables.Edits, edit)
	}
	return tables, nil
}

// Keep implements Peer.
func (c *client) Keep(ctx context.Context, order Order) (KeepReply, error) {
	if c.dialErr != nil {
		return KeepReply{}, unreachable(c.dialErr)
	}
	reply, err := c.rpc.Keep(ctx, toOrder(order))
	if err != nil {
		return KeepReply{}, unreachable(err)
	}
	return fromKeepReply(reply), nil
}

// NotifyJobs implements Peer.
func (c *client) NotifyJobs(ctx context.Context, notice JobsNotice) error {
	if c.dialErr != nil {
		return unreachable(c.dialErr)
	}
	message := &peerpb.JobsNotice{FailureDomain: string(notice.FailureDomain), Clock: uint64(notice.Clock)}
	for _, id := range notice.Jobs {
		message.Jobs = append(message.Jobs, string(id))
	}
	if _, err := c.rpc.NotifyJobs(ctx, message); err != nil {
		return unreachable(err)
	}
	return nil
}

// Report implements Peer.
func (c *client) Report(ctx context.Context, view View) ([]byte, error) {
	if c.dialErr != nil {
		return nil, unreachable(c.dialErr)
	}
	reply, err := c.rpc.Report(ctx, &peerpb.ReportRequest{View: string(view)})
	if err != nil {
		return nil, unreachable(err)
	}
	return reply.GetJson(), nil
}
