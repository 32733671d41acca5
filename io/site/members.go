package site

import (
	"net/netip"
	"slices"
	"sort"
	"sync"
	"time"

	"auburnstack/core/roster"
	"auburnstack/io/election"
	"auburnstack/io/relay"
	"auburnstack/io/store"
)

const (
	// leaderHeartbeatTimeout is the time without a heartbeat after which the leader's key is looked at.
	leaderHeartbeatTimeout = 900 * time.Millisecond
	// maxRelays bounds the VMs to which one request is passed on in turn.
	maxRelays = 3
	// unregisteredMemberTTL is how long a VM that is not registered counts as a member after it has answered.
	unregisteredMemberTTL = 3 * time.Second
)

// members is what a VM knows of the others. It is safe for concurrent use.
type members struct {
	self relay.Member
	// announceRequests wakes the goroutine that passes new configurations on.
	announceRequests chan struct{}

	mu    sync.Mutex
	seeds []netip.AddrPort
	// others lists the registered VMs besides this one, in the order of their names; version grows with each change.
	others  []relay.Member
	version uint64
	// lastContact is when VMs have answered this one, or called it. The store may refuse them, so that their registrations
	// lapse.
	lastContact map[relay.Member]time.Time
	// lastLeader is the newest leader that is known; fence its token.
	lastLeader relay.Member
	// leaderHint is a leader that another VM has named.
	leaderHint        relay.Member
	fence             store.Revision
	leaderHeartbeatAt time.Time
	pending           map[string]int
	pendingAt         time.Time
	// sizes are those that workers have had, as the leader says.
	sizes []roster.Size
}

func newMembers(self relay.Member, seeds []netip.AddrPort) *members {
	return &members{
		self: self, seeds: seeds, announceRequests: make(chan struct{}, 1), lastContact: map[relay.Member]time.Time{},
	}
}

func (m *members) setSeeds(seeds []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// handleHeartbeat takes in a heartbeat.
func (m *members) handleHeartbeat(h relay.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.Fence == 0 {
		m.lastContact[h.Sender] = time.Now()
		return
	}
	if h.Fence < m.fence {
		return
	}
	m.lastLeader, m.fence = h.Sender, h.Fence
	if h.Resigned {
		m.leaderHeartbeatAt = time.Time{}
		return
	}
	m.leaderHeartbeatAt = time.Now()
	m.pending, m.pendingAt = h.Pending, m.leaderHeartbeatAt
	if len(h.Sizes) > 0 {
		m.sizes = h.Sizes
	}
	if len(h.Members) > 0 {
		// The list is left out while it has not changed.
		m.setOthers(h.Members)
	}
}

// recordContact notes that a VM has answered.
func (m *members) recordContact(other relay.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastContact[other] = time.Now()
}

// recentContacts lists the VMs that have answered or called lately, and forgets the others.
func (m *members) recentContacts(now time.Time) []relay.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []relay.Member
	for other, at := range m.lastContact {
		if now.Sub(at) > unregisteredMemberTTL {
			delete(m.lastContact, other)
			continue
		}
		list = append(list, other)
	}
	return list
}

// setLeaderHint takes in the leader that another VM names, unless this one knows a leader that it hears.
func (m *members) setLeaderHint(leader relay.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if leader.Address.IsValid() && leader != m.self && time.Since(m.leaderHeartbeatAt) >= leaderHeartbeatTimeout {
		m.leaderHint = leader
	}
}

// setOthers replaces the list of VMs; the caller holds the lock.
func (m *members) setOthers(all []relay.Member) {
	var others []relay.Member
	for _, other := range all {
		if other.Name != m.self.Name {
			others = append(others, other)
		}
	}
	sort.Slice(others, func(i, j int) bool { return others[i].Name < others[j].Name })
	if !slices.Equal(m.others, others) {
		m.others = others
		m.version++
	}
}

// replace takes over a list that was read from the store, and returns the VMs besides this one.
func (m *members) replace(all []relay.Member) []relay.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setOthers(all)
	return append([]relay.Member(nil), m.others...)
}

// list returns the VMs besides this one.
func (m *members) list() []relay.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]relay.Member(nil), m.others...)
}

// listWithVersion returns the VMs besides this one, and the version of that list.
func (m *members) listWithVersion() ([]relay.Member, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]relay.Member(nil), m.others...), m.version
}

// neighbors returns the VMs at distances of 1, 2, 4 and so on in the order of names. If each VM tells its neighbors,
// all are reached in a few steps, and the number of messages grows with the logarithm of the fleet.
func (m *members) neighbors() []relay.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	begin := sort.Search(len(m.others), func(i int) bool { return m.others[i].Name > m.self.Name })
	var list []relay.Member
	for distance := 1; distance <= len(m.others); distance *= 2 {
		list = append(list, m.others[(begin+distance-1)%len(m.others)])
	}
	return list
}

// leaderHeardRecently tells whether the leader was heard lately.
func (m *members) leaderHeardRecently() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.leaderHeartbeatAt) < leaderHeartbeatTimeout
}

// setLeaderFromStore takes in the leader that the store names.
func (m *members) setLeaderFromStore(leader election.Leader, fence store.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if fence > m.fence {
		m.lastLeader, m.fence = relay.Member{Name: leader.Name, Address: leader.Address}, fence
	}
}

// leader returns the newest leader that is known.
func (m *members) leader() (relay.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastLeader, m.fence > 0
}

// pendingCounts returns the leader's counts and their age.
func (m *members) pendingCounts() (map[string]int, time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pending, time.Since(m.pendingAt), !m.pendingAt.IsZero()
}

// leaderWorkerSizes returns the sizes that workers have had.
func (m *members) leaderWorkerSizes() []roster.Size {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sizes
}

// relayAddresses lists the addresses to pass a request on to: the leader, then other VMs, then seeds.
func (m *members) relayAddresses() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []netip.AddrPort
	add := func(address netip.AddrPort) {
		if address == m.self.Address || !address.IsValid() || len(list) >= maxRelays {
			return
		}
		for _, known := range list {
			if known == address {
				return
			}
		}
		list = append(list, address)
	}
	add(m.lastLeader.Address)
	add(m.leaderHint.Address)
	// Each VM begins at another place of the list, so that requests spread.
	begin := sort.Search(len(m.others), func(i int) bool { return m.others[i].Name > m.self.Name })
	for i := range m.others {
		add(m.others[(begin+i)%len(m.others)].Address)
	}
	for _, seed := range m.seeds {
		add(seed)
	}
	return list
}

// requestAnnouncement makes the VM pass its configuration on.
func (m *members) requestAnnouncement() {
	select {
	case m.announceRequests <- struct{}{}:
	default:
	}
}
