package site

import (
	"context"
	"sync"
	"time"

	"auburnstack/io/election"
	"auburnstack/io/relay"
	"auburnstack/io/wait"
)

const (
	// announceRounds is the number of times that a VM announces a new configuration to its neighbors. announceInterval
	// is the pause after each announcement.
	announceRounds   = 3
	announceInterval = 250 * time.Millisecond
	// membersRefreshInterval is the time after which the list of members is sent to a VM again even if it has not
	// changed, as the VM may have restarted.
	membersRefreshInterval = 5 * time.Second
)

// sender sends heartbeats, at most one at a time to each VM. A leader also sends the list of members, but only after a
// change or membersRefreshInterval.
type sender struct {
	node *Node
	// role is the leadership term in which the heartbeats are sent; nil when the VM does not lead.
	role *election.Role
	// inFlight counts the heartbeats that have no reply yet.
	inFlight sync.WaitGroup

	mu    sync.Mutex
	peers map[relay.Member]*peerState
}

// peerState holds what a sender knows about a receiver.
type peerState struct {
	// busy is set while a heartbeat to the receiver is in flight.
	busy bool
	// membersVersion is the version of the last list of members sent to the receiver. membersSentAt is the time at
	// which that list was sent.
	membersVersion uint64
	membersSentAt  time.Time
}

func newSender(n *Node, role *election.Role) *sender {
	return &sender{node: n, role: role, peers: map[relay.Member]*peerState{}}
}

// Close waits for the heartbeats in flight.
func (s *sender) Close() {
	s.inFlight.Wait()
}

// send starts one heartbeat to each receiver, except receivers to which an earlier heartbeat is still in flight. It
// does not wait for the replies.
func (s *sender) send(ctx context.Context, receivers []relay.Member) {
	h := s.heartbeat()
	counts, loaded := s.node.coordinator.Pending()
	if loaded {
		h.Pending = counts
	}
	if s.role != nil {
		h.JobAllowance = s.node.memory.allowance(loaded, len(receivers)+1, time.Now())
	}
	h.Sizes = s.node.coordinator.Sizes()
	for _, receiver := range receivers {
		if s.tryBegin(receiver) {
			s.inFlight.Go(func() { s.exchange(ctx, receiver, h) })
		}
	}
}

// announce announces the current configuration to the neighbors in several rounds.
func (s *sender) announce(ctx context.Context) {
	for range announceRounds {
		s.send(ctx, s.node.members.neighbors())
		wait.For(ctx, announceInterval)
	}
}

// heartbeat returns a heartbeat that names this VM as the sender and, if this VM leads, holds its fencing token and
// lease.
func (s *sender) heartbeat() relay.Heartbeat {
	h := relay.Heartbeat{Sender: s.node.self}
	if s.role != nil {
		h.Fence, h.Lease = s.role.Fence, s.role.Lease
	}
	return h
}

// resign tells the other VMs that the leadership term has ended. Before and after sending these messages it waits for
// all heartbeats in flight.
func (s *sender) resign() {
	s.inFlight.Wait()
	h := s.heartbeat()
	h.Resigned = true
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	for _, receiver := range s.node.members.list() {
		if s.tryBegin(receiver) {
			s.inFlight.Go(func() { s.exchange(ctx, receiver, h) })
		}
	}
	s.inFlight.Wait()
}

// tryBegin marks a receiver as busy, and reports whether the receiver was not busy before.
func (s *sender) tryBegin(receiver relay.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.peers[receiver]
	if state == nil {
		state = &peerState{}
		s.peers[receiver] = state
	}
	if state.busy {
		return false
	}
	state.busy = true
	return true
}

// exchange sends a heartbeat, and records which members the receiver knows. If the call fails, it discards the recorded
// state of the receiver, so that the list of members is sent again.
func (s *sender) exchange(ctx context.Context, receiver relay.Member, h relay.Heartbeat) {
	h.Policy = s.node.watcher.Current().Version
	members, membersVersion := s.node.members.listWithVersion()
	s.mu.Lock()
	state := *s.peers[receiver]
	s.mu.Unlock()
	if s.role != nil &&
		(state.membersVersion != membersVersion || time.Since(state.membersSentAt) >= membersRefreshInterval) {
		h.Members = append([]relay.Member{s.node.self}, members...)
		state.membersVersion, state.membersSentAt = membersVersion, time.Now()
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := s.node.config.Peers.Peer(receiver.Address).Exchange(ctx, h)
	if err == nil {
		s.node.follower.announced(receiver.Address, reply.Policy)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.peers[receiver] = &peerState{}
		return
	}
	if s.role != nil {
		s.node.members.recordContact(receiver)
	}
	state.busy = false
	s.peers[receiver] = &state
}
