package site

import (
	"context"
	"slices"
	"sync"
	"time"

	"auburnstack/io/election"
	"auburnstack/io/relay"
	"auburnstack/io/wait"
)

const (
	// heartbeatInterval is the time between two heartbeats of the leader.
	heartbeatInterval = 300 * time.Millisecond
	// heartbeatTimeout bounds one heartbeat.
	heartbeatTimeout = 600 * time.Millisecond
	// membersInterval is the time between two readings of the registered VMs by the leader.
	membersInterval = 1500 * time.Millisecond
)

// lead runs a term: it coordinates the workers and sends heartbeats to the other VMs.
func (n *Node) lead(ctx context.Context, role *election.Role) {
	var loops sync.WaitGroup
	loops.Add(1)
	go func() {
		defer loops.Done()
		n.sendHeartbeats(ctx, role)
	}()
	n.coordinator.Lead(ctx, role)
	loops.Wait()
}

// sendHeartbeats sends heartbeats until the term ends.
func (n *Node) sendHeartbeats(ctx context.Context, role *election.Role) {
	sender := newSender(n, role)
	defer sender.resign()
	var membersReadAt time.Time
	for ctx.Err() == nil {
		if time.Since(membersReadAt) >= membersInterval {
			membersReadAt = time.Now()
			n.readMembers(ctx)
		}
		if role.Valid() {
			sender.send(ctx, n.members.list())
		}
		wait.For(ctx, heartbeatInterval)
	}
}

func (n *Node) readMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	page, err := n.store.Range(ctx, vmPrefix)
	if err != nil {
		n.config.Log.Debug("registered VMs not read", "error", err.Error())
		return
	}
	all := append([]relay.Member{n.self}, n.members.recentContacts(time.Now())...)
	for _, item := range page.Items {
		member, err := decodeMember(item)
		if err != nil {
			n.config.Log.Warn("registered VM ignored", "error", err.Error())
			continue
		}
		all = slices.DeleteFunc(all, func(m relay.Member) bool { return m.Name == member.Name })
		all = append(all, member)
	}
	n.members.replace(all)
	n.config.Peers.Retain(all)
}

// announcePolicies passes new configurations on to some other VMs, for those that the store does not answer. Whoever adopts one
// passes it on in turn, so that a few each reach all.
func (n *Node) announcePolicies(ctx context.Context) {
	sender := newSender(n, nil)
	defer sender.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.members.announceRequests:
			sender.announce(ctx)
		}
	}
}
