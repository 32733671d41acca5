package site

import (
	"context"
	"sync"
	"time"

	"auburnstack/io/election"
	"auburnstack/io/policywatch"
	"auburnstack/io/relay"
	"auburnstack/io/store"
	"auburnstack/io/wait"
)

const (
	// announceRounds and announceInterval are how often, and how long after each other, a VM tells others of a new
	// configuration: most have it from the store by the second round.
	announceRounds   = 3
	announceInterval = 250 * time.Millisecond
	// membersRefreshInterval is the time after which a VM is told of the others again although nothing has changed, as it may
	// have started anew.
	membersRefreshInterval = 5 * time.Second
)

// sender sends heartbeats, one at a time to each VM. What a VM has already is left out.
type sender struct {
	node *Node
	// role is nil when the VM does not lead.
	role     *election.Role
	inFlight sync.WaitGroup

	mu    sync.Mutex
	peers map[relay.Member]*peerState
}

// peerState is what a sender knows of a receiver.
type peerState struct {
	busy bool
	// reportedPolicy is the configuration that it had last, announcedPolicy the one that it was told of last.
	reportedPolicy, announcedPolicy policyVersion
	// membersVersion is the version of the list of VMs that it was told, at a time.
	membersVersion uint64
	membersSentAt  time.Time
}

// policyVersion is the place of a configuration in the store's history.
type policyVersion struct {
	revision, changedAt store.Revision
}

func newSender(n *Node, role *election.Role) *sender {
	return &sender{node: n, role: role, peers: map[relay.Member]*peerState{}}
}

// Close waits for the heartbeats under way.
func (s *sender) Close() {
	s.inFlight.Wait()
}

// send sends one heartbeat to each of some VMs that has none under way.
func (s *sender) send(ctx context.Context, receivers []relay.Member) {
	h := s.heartbeat()
	if counts, leading := s.node.coordinator.Pending(); leading {
		h.Pending = counts
	}
	h.Sizes = s.node.coordinator.Sizes()
	for _, receiver := range receivers {
		if s.tryBegin(receiver) {
			s.inFlight.Go(func() { s.exchange(ctx, receiver, h) })
		}
	}
}

// announce tells some VMs of the configuration in force.
func (s *sender) announce(ctx context.Context) {
	for range announceRounds {
		s.send(ctx, s.node.members.neighbors())
		wait.For(ctx, announceInterval)
	}
}

func (s *sender) heartbeat() relay.Heartbeat {
	h := relay.Heartbeat{Sender: s.node.self}
	if s.role != nil {
		h.Fence, h.Lease = s.role.Fence, s.role.Lease
	}
	return h
}

// resign tells the other VMs that the term has ended.
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

// exchange sends a heartbeat and notes what the receiver has.
func (s *sender) exchange(ctx context.Context, receiver relay.Member, h relay.Heartbeat) {
	snapshot := *s.node.watcher.Current()
	announced := policyVersion{revision: snapshot.Revision, changedAt: snapshot.ChangedAt}
	members, membersVersion := s.node.members.listWithVersion()
	s.mu.Lock()
	state := *s.peers[receiver]
	s.mu.Unlock()
	if !state.needsPolicy(&snapshot) {
		snapshot.Policy = nil
	}
	h.Policy = snapshot
	if s.role != nil && (state.membersVersion != membersVersion || time.Since(state.membersSentAt) >= membersRefreshInterval) {
		h.Members = append([]relay.Member{s.node.self}, members...)
		state.membersVersion, state.membersSentAt = membersVersion, time.Now()
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := s.node.config.Peers.Peer(receiver.Address).Exchange(ctx, h)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.peers[receiver] = &peerState{}
		return
	}
	if s.role != nil {
		s.node.members.recordContact(receiver)
	}
	state.busy, state.announcedPolicy = false, announced
	state.reportedPolicy = policyVersion{revision: reply.Revision, changedAt: reply.ChangedAt}
	s.peers[receiver] = &state
}

// needsPolicy tells whether a receiver that has been told of a configuration still has an older one. Most VMs read it from
// the store meanwhile, and its content is large.
func (p *peerState) needsPolicy(snapshot *policywatch.Snapshot) bool {
	if p.announcedPolicy != (policyVersion{revision: snapshot.Revision, changedAt: snapshot.ChangedAt}) {
		return false
	}
	return snapshot.Newer(&policywatch.Snapshot{Revision: p.reportedPolicy.revision, ChangedAt: p.reportedPolicy.changedAt})
}
