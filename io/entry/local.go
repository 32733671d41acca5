package entry

import (
	"context"
	"time"

	"auburnstack/core/table"
	"auburnstack/io/peer"
)

// PeerHandler handles the calls of other VMs to this node. It implements peer.Peer.
type PeerHandler struct {
	node *Node
}

// NewPeerHandler returns a PeerHandler for the node.
func NewPeerHandler(node *Node) *PeerHandler {
	return &PeerHandler{node: node}
}

// Gossip implements peer.Peer.
func (l *PeerHandler) Gossip(ctx context.Context, heartbeat peer.Heartbeat) (peer.Heartbeat, error) {
	return l.node.Gossiper.HandleHeartbeat(ctx, heartbeat), nil
}

// FetchTables implements peer.Peer.
func (l *PeerHandler) FetchTables(_ context.Context, since table.Revision) (peer.TablesReply, error) {
	return l.node.Gossiper.FetchTables(since), nil
}

// Keep implements peer.Peer.
func (l *PeerHandler) Keep(_ context.Context, order peer.Order) (peer.KeepReply, error) {
	return l.node.Keeper.HandleOrder(order, time.Now()), nil
}

// NotifyJobs implements peer.Peer.
func (l *PeerHandler) NotifyJobs(_ context.Context, notice peer.JobsNotice) error {
	l.node.Clock.Observe(notice.Clock)
	l.node.Controller.JobsChanged(l.node.context, notice.Jobs)
	return nil
}

// Report implements peer.Peer.
func (l *PeerHandler) Report(_ context.Context, view peer.View) ([]byte, error) {
	return l.node.Fleet.View(view)
}
