package peer

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"auburnstack/core/domain"
	"auburnstack/core/job"
	"auburnstack/core/table"
	"auburnstack/core/timeline"
	"auburnstack/io/peer/peerpb"
	"auburnstack/io/rpcserver"
)

// stopTimeout bounds the wait for in-flight calls when the server closes.
const stopTimeout = 2 * time.Second

// Server answers calls of other entry VMs by passing them to the local Peer, which carries out the calls in this
// process.
type Server struct {
	peerpb.UnimplementedPeerServer
	local Peer
	grpc  *grpc.Server
	done  chan struct{}
}

// NewServer starts a server on a listener.
func NewServer(listener net.Listener, transport Transport, local Peer, log hclog.Logger) *Server {
	s := &Server{
		local: local,
		grpc:  rpcserver.New(log, grpc.Creds(transport), grpc.MaxRecvMsgSize(maxMessage)),
		done:  make(chan struct{}),
	}
	peerpb.RegisterPeerServer(s.grpc, s)
	go func() {
		defer close(s.done)
		_ = s.grpc.Serve(listener)
	}()
	return s
}

// Close stops accepting calls, waits at most stopTimeout for in-flight calls, and returns when the server has ended.
func (s *Server) Close() {
	timer := time.AfterFunc(stopTimeout, s.grpc.Stop)
	defer timer.Stop()
	s.grpc.GracefulStop()
	<-s.done
}

// Gossip passes a heartbeat to the local Peer and returns the reply of the local Peer.
func (s *Server) Gossip(ctx context.Context, m *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	reply, err := s.local.Gossip(ctx, fromHeartbeat(m))
	return toHeartbeat(reply), toStatus(err)
}

// FetchTables returns the edits after a revision of the tables, or the complete tables.
func (s *Server) FetchTables(ctx context.Context, m *peerpb.TablesRequest) (*peerpb.TablesReply, error) {
	reply, err := s.local.FetchTables(ctx, table.Revision(m.GetSince()))
	if err != nil {
		return nil, toStatus(err)
	}
	message := &peerpb.TablesReply{Revision: uint64(reply.Revision), Routes: reply.Routes, Pools: reply.Pools}
	for _, edit := range reply.Edits {
		encoded, err := json.Marshal(edit)
		if err != nil {
			return nil, toStatus(errors.WithStack(err))
		}
		message.Edits = append(message.Edits, encoded)
	}
	return message, nil
}

// Keep passes a scheduler's order to the local Peer, which is the keeper, and returns the keeper's reply.
func (s *Server) Keep(ctx context.Context, m *peerpb.Order) (*peerpb.News, error) {
	reply, err := s.local.Keep(ctx, fromOrder(m))
	return toKeepReply(reply), toStatus(err)
}

// NotifyJobs passes a notice about changed job records to the local Peer.
func (s *Server) NotifyJobs(ctx context.Context, m *peerpb.JobsNotice) (*peerpb.Empty, error) {
	notice := JobsNotice{FailureDomain: domain.Name(m.GetFailureDomain()), Clock: timeline.Stamp(m.GetClock())}
	for _, id := range m.GetJobs() {
		notice.Jobs = append(notice.Jobs, job.ID(id))
	}
	return &peerpb.Empty{}, toStatus(s.local.NotifyJobs(ctx, notice))
}

// Report returns a report for operators.
func (s *Server) Report(ctx context.Context, m *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	reply, err := s.local.Report(ctx, View(m.GetView()))
	return &peerpb.ReportReply{Json: reply}, toStatus(err)
}

// toStatus converts an error to a gRPC status.
func toStatus(err error) error {
	if err == nil {
		return nil
	}
	return status.Error(codes.Unavailable, err.Error())
}
