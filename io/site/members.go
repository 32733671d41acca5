package site

import (
	"net/netip"
	"sort"
	"sync"
	"time"

	"auburnstack/core/roster"
	"auburnstack/io/election"
	"auburnstack/io/relay"
	"auburnstack/io/store"
)

const (
	// leaderSilence is the time without a heartbeat after which the leader's key is looked at.
	leaderSilence = 900 * time.Millisecond
	// maxRelays bounds the VMs to which one request is passed on in turn.
	maxRelays = 3
)

// members is what a VM knows of the others. It is safe for concurrent use.
type members struct {
	self relay.Member
	// pushes wakes the goroutine that passes new configurations on.
	pushes chan struct{}

	mu    sync.Mutex
	seeds []netip.AddrPort
	// others lists the registered VMs besides this one, in the order of their names.
	others []relay.Member
	// lead is the newest leader that is known; fence its token.
	lead      relay.Member
	fence     store.Revision
	heardAt   time.Time
	pending   map[string]int
	pendingAt time.Time
	// sizes are those that workers have had, as the leader says.
	sizes []roster.Size
}

func newMembers(self relay.Member, seeds []netip.AddrPort) *members {
	return &members{self: self, seeds: seeds, pushes: make(chan struct{}, 1)}
}

func (m *members) setSeeds(seeds []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// heard takes in a heartbeat.
func (m *members) heard(h relay.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.Fence == 0 || h.Fence < m.fence {
		return
	}
	m.lead, m.fence = h.Sender, h.Fence
	if h.Resigned {
		m.heardAt = time.Time{}
		return
	}
	m.heardAt = time.Now()
	m.pending, m.pendingAt = h.Pending, m.heardAt
	if len(h.Sizes) > 0 {
		m.sizes = h.Sizes
	}
	m.setOthers(h.Members)
}

// setOthers replaces the list of VMs; the caller holds the lock.
func (m *members) setOthers(all []relay.Member) {
	m.others = m.others[:0]
	for _, other := range all {
		if other.Name != m.self.Name {
			m.others = append(m.others, other)
		}
	}
	sort.Slice(m.others, func(i, j int) bool { return m.others[i].Name < m.others[j].Name })
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

// hearsLeader tells whether the leader was heard lately.
func (m *members) hearsLeader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.heardAt) < leaderSilence
}

// leaderSeen takes in the leader that the store names.
func (m *members) leaderSeen(leader election.Leader, fence store.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if fence > m.fence {
		m.lead, m.fence = relay.Member{Name: leader.Name, Address: leader.Address}, fence
	}
}

// leader returns the newest leader that is known.
func (m *members) leader() (relay.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lead, m.fence > 0
}

// pendingCounts returns the leader's counts and their age.
func (m *members) pendingCounts() (map[string]int, time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pending, time.Since(m.pendingAt), !m.pendingAt.IsZero()
}

// workerSizes returns the sizes that workers have had.
func (m *members) workerSizes() []roster.Size {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sizes
}

// relays lists the addresses to pass a request on to: the leader, then other VMs, then seeds.
func (m *members) relays() []netip.AddrPort {
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
	add(m.lead.Address)
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

// wakePush makes the VM pass its configuration on.
func (m *members) wakePush() {
	select {
	case m.pushes <- struct{}{}:
	default:
	}
}
