package site

import (
	"context"
	"net/netip"
	"time"

	"auburnstack/io/relay"
	"auburnstack/io/wait"
)

// introduceInterval is the time between two introductions of a VM that reaches neither the store nor a leader.
const introduceInterval = 500 * time.Millisecond

// introduce announces this VM to other VMs as long as the store does not answer it and no leader sends it heartbeats.
// Without an answer from the store, the VM's registration in the store expires; the introduction then tells the leader
// that the VM exists.
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

// introduceTo announces this VM to the VM at an address, and stores the leader that the reply names, so that requests
// can be relayed to that leader.
func (n *Node) introduceTo(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	introduction := relay.Heartbeat{Sender: n.self, Policy: n.watcher.Current().Version}
	reply, err := n.config.Peers.Peer(address).Exchange(ctx, introduction)
	if err != nil {
		n.config.Log.Debug("introduction to another VM failed", "address", address.String(), "error", err.Error())
		return
	}
	n.members.setLeaderHint(reply.Leader)
	n.follower.announced(address, reply.Policy)
}
