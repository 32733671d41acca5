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
	// beatInterval is the time between two heartbeats of the leader.
	beatInterval = 300 * time.Millisecond
	// beatTimeout bounds one heartbeat.
	beatTimeout = 600 * time.Millisecond
	// membersInterval is the time between two readings of the registered VMs by the leader.
	membersInterval = 1500 * time.Millisecond
)

// lead runs a term: it coordinates the workers and sends heartbeats to the other VMs.
func (n *Node) lead(ctx context.Context, role *election.Role) {
	var loops sync.WaitGroup
	loops.Add(1)
	go func() {
		defer loops.Done()
		n.beat(ctx, role)
	}()
	n.coordinator.Lead(ctx, role)
	loops.Wait()
}

// beat sends heartbeats until the term ends.
func (n *Node) beat(ctx context.Context, role *election.Role) {
	sender := newSender(n, role)
	defer sender.resign()
	var read time.Time
	for ctx.Err() == nil {
		if time.Since(read) >= membersInterval {
			read = time.Now()
			n.readMembers(ctx)
		}
		if role.Valid() {
			sender.send(ctx, n.members.list())
		}
		wait.For(ctx, beatInterval)
	}
}

func (n *Node) readMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	page, err := n.store.Range(ctx, vmPrefix)
	if err != nil {
		n.config.Log.Debug("registered VMs not read", "error", err.Error())
		return
	}
	all := append([]relay.Member{n.self}, n.members.reached(time.Now())...)
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

// push passes new configurations on to some other VMs, for those that the store does not answer. Whoever adopts one
// passes it on in turn, so that a few each reach all.
func (n *Node) push(ctx context.Context) {
	sender := newSender(n, nil)
	defer sender.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.members.pushes:
			sender.announce(ctx)
		}
	}
}
