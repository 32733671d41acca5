package entry

import (
	"context"
	"time"

	"auburnstack/core/table"
	"auburnstack/io/peer"
)

// Local answers other VMs' calls on this node. It implements peer.Peer.
type Local struct {
	node *Node
}

// NewLocal returns the answering side of a node.
func NewLocal(node *Node) *Local {
	return &Local{node: node}
}

// Gossip implements peer.Peer.
func (l *Local) Gossip(ctx context.Context, heartbeat peer.Heartbeat) (peer.Heartbeat, error) {
	return l.node.Gossiper.HandleHeartbeat(ctx, heartbeat), nil
}

// FetchTables implements peer.Peer.
func (l *Local) FetchTables(_ context.Context, since table.Revision) (peer.TablesReply, error) {
	return l.node.Gossiper.FetchTables(since), nil
}

// Keep implements peer.Peer.
func (l *Local) Keep(_ context.Context, order peer.Order) (peer.KeepReply, error) {
	return l.node.Keeper.Keep(order, time.Now()), nil
}

// NotifyJobs implements peer.Peer.
func (l *Local) NotifyJobs(_ context.Context, notice peer.JobsNotice) error {
	l.node.Clock.Observe(notice.Clock)
	l.node.Controller.JobsChanged(l.node.context, notice.Jobs)
	return nil
}

// Report implements peer.Peer.
func (l *Local) Report(_ context.Context, view peer.View) ([]byte, error) {
	return l.node.Fleet.View(view)
}
