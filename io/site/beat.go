package site

import (
	"context"
	"sync"
	"time"

	"auburnstack/io/election"
	"auburnstack/io/policywatch"
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
			sender.send(ctx)
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
	all := []relay.Member{n.self}
	for _, item := range page.Items {
		member, err := decodeMember(item)
		if err != nil {
			n.config.Log.Warn("registered VM ignored", "error", err.Error())
			continue
		}
		all = append(all, member)
	}
	n.members.replace(all)
	n.config.Peers.Keep(all)
}

// push passes new configurations on to the other VMs.
func (n *Node) push(ctx context.Context) {
	sender := newSender(n, nil)
	defer sender.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.members.pushes:
			sender.send(ctx)
		}
	}
}

// sender sends heartbeats, one at a time to each VM.
type sender struct {
	node *Node
	// role is nil when the VM does not lead.
	role  *election.Role
	calls sync.WaitGroup

	mu sync.Mutex
	// known is the configuration that each VM had last.
	known map[relay.Member]relay.Known
	busy  map[relay.Member]bool
}

func newSender(n *Node, role *election.Role) *sender {
	return &sender{node: n, role: role, known: map[relay.Member]relay.Known{}, busy: map[relay.Member]bool{}}
}

// Close waits for the heartbeats under way.
func (s *sender) Close() {
	s.calls.Wait()
}

func (s *sender) send(ctx context.Context) {
	others := s.node.members.list()
	h := s.heartbeat(others)
	if counts, leading := s.node.coordinator.Pending(); leading {
		h.Pending = counts
	}
	h.Sizes = s.node.coordinator.Sizes()
	for _, other := range others {
		if !s.begin(other) {
			continue
		}
		s.calls.Go(func() { s.exchange(ctx, other, h) })
	}
}

func (s *sender) heartbeat(others []relay.Member) relay.Heartbeat {
	h := relay.Heartbeat{Sender: s.node.self, Members: append(others, s.node.self)}
	if s.role != nil {
		h.Fence, h.Lease = s.role.Fence, s.role.Lease
	}
	return h
}

// resign tells the other VMs that the term has ended.
func (s *sender) resign() {
	s.calls.Wait()
	others := s.node.members.list()
	h := s.heartbeat(others)
	h.Resigned = true
	ctx, cancel := context.WithTimeout(context.Background(), beatTimeout)
	defer cancel()
	for _, other := range others {
		s.calls.Go(func() { s.exchange(ctx, other, h) })
	}
	s.calls.Wait()
}

func (s *sender) begin(other relay.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[other] {
		return false
	}
	s.busy[other] = true
	return true
}

func (s *sender) exchange(ctx context.Context, other relay.Member, h relay.Heartbeat) {
	snapshot := *s.node.watcher.Current()
	s.mu.Lock()
	known := s.known[other]
	s.mu.Unlock()
	receiver := policywatch.Snapshot{Revision: known.Revision, ChangedAt: known.ChangedAt}
	if !snapshot.Newer(&receiver) {
		snapshot.Policy = nil
	}
	h.Policy = snapshot
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	known, err := s.node.config.Peers.Peer(other.Address).Exchange(ctx, h)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[other] = false
	if err != nil {
		delete(s.known, other)
		return
	}
	s.known[other] = known
}
