package peer

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"auburnstack/core/domain"
	"auburnstack/core/job"
	"auburnstack/core/table"
	"auburnstack/core/timeline"
	"auburnstack/io/peer/peerpb"
)

// stopTimeout bounds the wait for calls in flight when the server closes.
const stopTimeout = 2 * time.Second

// Server answers other entry VMs by handing their calls to a Peer of this process.
type Server struct {
	peerpb.UnimplementedPeerServer
	local Peer
	grpc  *grpc.Server
	done  chan struct{}
}

// NewServer starts to answer on a listener.
func NewServer(listener net.Listener, transport Transport, local Peer) *Server {
	s := &Server{
		local: local,
		grpc:  grpc.NewServer(grpc.Creds(transport), grpc.MaxRecvMsgSize(maxMessage)),
		done:  make(chan struct{}),
	}
	peerpb.RegisterPeerServer(s.grpc, s)
	go func() {
		defer close(s.done)
		_ = s.grpc.Serve(listener)
	}()
	return s
}

// Close lets calls in flight finish for a short time and waits for the server to end.
func (s *Server) Close() {
	timer := time.AfterFunc(stopTimeout, s.grpc.Stop)
	defer timer.Stop()
	s.grpc.GracefulStop()
	<-s.done
}

// Gossip answers a heartbeat.
func (s *Server) Gossip(ctx context.Context, m *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	reply, err := s.local.Gossip(ctx, fromHeartbeat(m))
	return toHeartbeat(reply), toStatus(err)
}

// FetchTables answers a request for tables.
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

// Keep answers a scheduler's order.
func (s *Server) Keep(ctx context.Context, m *peerpb.Order) (*peerpb.News, error) {
	reply, err := s.local.Keep(ctx, fromOrder(m))
	return toKeepReply(reply), toStatus(err)
}

// NotifyJobs takes in a notice.
func (s *Server) NotifyJobs(ctx context.Context, m *peerpb.JobsNotice) (*peerpb.Empty, error) {
	notice := JobsNotice{FailureDomain: domain.Name(m.GetFailureDomain()), Clock: timeline.Stamp(m.GetClock())}
	for _, id := range m.GetJobs() {
		notice.Jobs = append(notice.Jobs, job.ID(id))
	}
	return &peerpb.Empty{}, toStatus(s.local.NotifyJobs(ctx, notice))
}

// Report answers with a view for operators.
func (s *Server) Report(ctx context.Context, m *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	reply, err := s.local.Report(ctx, View(m.GetView()))
	return &peerpb.ReportReply{Json: reply}, toStatus(err)
}

func toStatus(err error) error {
	if err == nil {
		return nil
	}
	return status.Error(codes.Unavailable, err.Error())
}
