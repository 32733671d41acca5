package site

import (
	"math/rand/v2"
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
	// leaderHeartbeatTimeout is the time without a heartbeat from the leader after which the VM reads the leader's key
	// in the store.
	leaderHeartbeatTimeout = 900 * time.Millisecond
	// maxRelays is the maximum number of VMs to which one request is relayed in turn, until one of them answers.
	maxRelays = 3
	// unregisteredMemberTTL is the time for which a VM without a registration counts as a member after its last
	// contact.
	unregisteredMemberTTL = 3 * time.Second
)

// members holds what a VM knows about the other VMs. It is safe for concurrent use.
type members struct {
	self relay.Member
	// announceRequests wakes the goroutine that sends new configurations to other VMs.
	announceRequests chan struct{}

	mu    sync.Mutex
	seeds []netip.AddrPort
	// others lists the members except this VM, sorted by name. version increases with each change of the list.
	others  []relay.Member
	version uint64
	// lastContact holds the time at which another VM last answered a heartbeat of this VM, or last sent this VM a
	// message as a VM that does not lead. A VM in lastContact may have lost its registration, because the store refuses
	// its calls.
	lastContact map[relay.Member]time.Time
	// lastLeader is the leader with the highest fencing token that this VM has seen.
	lastLeader relay.Member
	// leaderHint is the leader that another VM has named in a reply. The method relayAddresses includes leaderHint in
	// its result, but the method leader does not return it.
	leaderHint relay.Member
	// fence is the fencing token of lastLeader.
	fence store.Revision
	// leaderHeartbeatAt is the time of the leader's last heartbeat; zero after the leader has resigned.
	leaderHeartbeatAt time.Time
	// pending holds, by the queues' keys, the number of jobs of which no task has started, as the leader counted them.
	// pendingAt is the time at which this VM received these numbers.
	pending   map[string]int
	pendingAt time.Time
	// sizes lists the worker capacities that the leader has sent.
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

// handleHeartbeat updates the state from a heartbeat. A heartbeat without a fencing token comes from a VM that does not
// lead; handleHeartbeat only records the time of that contact. A heartbeat with an outdated fencing token is ignored.
// handleHeartbeat reports whether the heartbeat comes from a VM that leads.
func (m *members) handleHeartbeat(h relay.Heartbeat) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.Fence == 0 {
		m.lastContact[h.Sender] = time.Now()
		return false
	}
	if h.Fence < m.fence {
		return false
	}
	m.lastLeader, m.fence = h.Sender, h.Fence
	if h.Resigned {
		m.leaderHeartbeatAt = time.Time{}
		return false
	}
	m.leaderHeartbeatAt = time.Now()
	m.pending, m.pendingAt = h.Pending, m.leaderHeartbeatAt
	if len(h.Sizes) > 0 {
		m.sizes = h.Sizes
	}
	if len(h.Members) > 0 {
		// The leader omits the list if it has not changed since it was last sent to this VM.
		m.setOthers(h.Members)
	}
	return true
}

// recordContact records that a VM has answered a heartbeat.
func (m *members) recordContact(other relay.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastContact[other] = time.Now()
}

// recentContacts returns the VMs whose last contact is at most unregisteredMemberTTL ago, and removes all others from
// lastContact.
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

// setLeaderHint stores the leader that another VM has named, unless this VM has recently received a heartbeat from a
// leader.
func (m *members) setLeaderHint(leader relay.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if leader.Address.IsValid() && leader != m.self && time.Since(m.leaderHeartbeatAt) >= leaderHeartbeatTimeout {
		m.leaderHint = leader
	}
}

// setOthers replaces the list of members. The caller must hold the lock.
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

// replace replaces the list of members, and returns it without this VM.
func (m *members) replace(all []relay.Member) []relay.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setOthers(all)
	return append([]relay.Member(nil), m.others...)
}

// list returns the members except this VM.
func (m *members) list() []relay.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]relay.Member(nil), m.others...)
}

// listWithVersion returns the members except this VM, and the version of that list.
func (m *members) listWithVersion() ([]relay.Member, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]relay.Member(nil), m.others...), m.version
}

// neighbors returns the VMs at distances of 1, 2, 4 and so on from this VM in the cyclic order of names. If each VM
// that receives a message sends the message on to its neighbors, all VMs have it after a few steps, and the number of
// messages per VM grows with the logarithm of the number of VMs.
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

// leaderHeardRecently reports whether the last heartbeat of the leader is less than leaderHeartbeatTimeout old.
func (m *members) leaderHeardRecently() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.leaderHeartbeatAt) < leaderHeartbeatTimeout
}

// setLeaderFromStore adopts the leader that the store names if its fencing token is higher than the fencing token of
// lastLeader.
func (m *members) setLeaderFromStore(leader election.Leader, fence store.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if fence > m.fence {
		m.lastLeader, m.fence = relay.Member{Name: leader.Name, Address: leader.Address}, fence
	}
}

// leader returns the leader with the highest fencing token that this VM has seen; the second result is false when this
// VM has seen no leader.
func (m *members) leader() (relay.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastLeader, m.fence > 0
}

// pendingCounts returns the leader's counts of pending jobs and their age; the third result is false when no counts
// have been received.
func (m *members) pendingCounts() (map[string]int, time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pending, time.Since(m.pendingAt), !m.pendingAt.IsZero()
}

// leaderWorkerSizes returns the worker capacities that the leader has sent.
func (m *members) leaderWorkerSizes() []roster.Size {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sizes
}

// relayAddresses lists the addresses to relay a request to, in the order in which to try them: the address of
// lastLeader, the address of leaderHint, the other members in a random order, the seeds. It returns at most maxRelays
// addresses. A VM that reaches neither the store nor a leader introduces itself to the same addresses.
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
	// The order is another one each time, so that relayed requests are spread over all VMs, and that VMs which are gone
	// don't get them again and again.
	for _, i := range rand.Perm(len(m.others)) {
		add(m.others[i].Address)
	}
	for _, seed := range m.seeds {
		add(seed)
	}
	return list
}

// policySources returns the addresses of the VMs to ask for the configuration: the leader and some other members or, if
// there are none, the seeds.
func (m *members) policySources() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := []netip.AddrPort{m.lastLeader.Address, m.leaderHint.Address}
	for _, i := range rand.Perm(len(m.others))[:min(randomSources, len(m.others))] {
		list = append(list, m.others[i].Address)
	}
	if len(m.others) == 0 {
		list = append(list, m.seeds...)
	}
	return slices.DeleteFunc(list, func(a netip.AddrPort) bool { return !a.IsValid() || a == m.self.Address })
}

// requestAnnouncement makes this VM send its configuration to its neighbors.
func (m *members) requestAnnouncement() {
	select {
	case m.announceRequests <- struct{}{}:
	default:
	}
}
