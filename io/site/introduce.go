package site

import (
	"context"
	"net/netip"
	"time"

	"auburnstack/io/relay"
	"auburnstack/io/wait"
)

// introduceInterval is the time between two introductions of a VM that neither the store nor a leader answers.
const introduceInterval = 500 * time.Millisecond

// introduce tells others of this VM while the store does not answer it and no leader sends it heartbeats: its
// registration lapses then, so the leader has to learn of it in another way.
func (n *Node) introduce(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, introduceInterval)
		if n.store.Answering() || n.members.leaderHeardRecently() {
			continue
		}
		for _, address := range n.members.relayAddresses() {
			n.introduceTo(ctx, address)
		}
	}
}

// introduceTo tells another VM of this one, and learns which leader it knows.
func (n *Node) introduceTo(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := n.config.Peers.Peer(address).Exchange(ctx, relay.Heartbeat{Sender: n.self})
	if err != nil {
		n.config.Log.Debug("not introduced", "address", address.String(), "error", err.Error())
		return
	}
	n.members.setLeaderHint(reply.Leader)
}
