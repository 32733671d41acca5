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
	// heartbeatTimeout is the timeout of one heartbeat call.
	heartbeatTimeout = 600 * time.Millisecond
	// membersInterval is the time after which the leader reads the list of registered VMs from the store again.
	membersInterval = 1500 * time.Millisecond
)

// lead runs one leadership term: it coordinates the workers and sends heartbeats to the other VMs. It returns when the
// term has ended.
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

// sendHeartbeats sends heartbeats to the other VMs until the term ends, and then tells these VMs that the term has
// ended.
func (n *Node) sendHeartbeats(ctx context.Context, role *election.Role) {
	sender := newSender(n, role)
	defer sender.resign()
	var membersReadAt time.Time
	for ctx.Err() == nil {
		if time.Since(membersReadAt) >= membersInterval {
			membersReadAt = time.Now()
			n.readMembers(ctx)
		}
		n.memory.report(time.Now())
		if role.Valid() {
			sender.send(ctx, n.members.list())
		}
		wait.For(ctx, heartbeatInterval)
	}
}

// readMembers updates the list of members: the VMs that are registered in the store, and the VMs that have recently
// been in contact with this VM. It also limits the memory of the jobs to what each registered VM has. Both stay as they
// are when the store does not answer.
func (n *Node) readMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	page, err := n.store.Range(ctx, vmPrefix)
	if err != nil {
		n.config.Log.Debug("reading the registered VMs failed", "error", err.Error())
		return
	}
	all := append([]relay.Member{n.self}, n.members.recentContacts(time.Now())...)
	limit := n.config.JobMemory
	for _, item := range page.Items {
		registered, err := decodeRegistration(item)
		if err != nil {
			n.config.Log.Warn("invalid VM registration ignored", "error", err.Error())
			continue
		}
		member := registered.Member
		limit = limit.Min(registered.JobMemory)
		all = slices.DeleteFunc(all, func(m relay.Member) bool { return m.Name == member.Name })
		all = append(all, member)
	}
	n.members.replace(all)
	// Any of these VMs may become the leader and then has to hold all jobs.
	n.memory.account.SetLimit(limit)
	n.config.Peers.Retain(all)
}

// announcePolicies sends each new configuration to this VM's neighbors, as some VMs may not reach the store. Every VM
// that adopts the configuration sends it to its own neighbors in turn, until all VMs have the configuration.
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
