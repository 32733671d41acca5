// Package membership keeps an entry VM's view of the fleet: which VMs and endpoints exist and which VMs are alive.
package membership

import (
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/rendezvous"
	"auburnstack/core/table"
	"auburnstack/core/vm"
	"auburnstack/io/peer"
	"auburnstack/io/platform"
)

const (
	// DeadAfter is the time without a newer heartbeat after which a VM of the same failure domain counts as dead.
	DeadAfter = 3 * time.Second
	// RemoteDeadAfter is the time without a newer heartbeat after which a VM of another failure domain counts as dead.
	// RemoteDeadAfter is longer than DeadAfter, because heartbeats between failure domains mostly arrive indirectly,
	// through other VMs.
	RemoteDeadAfter = 30 * time.Second
)

// forgetEndpointAfter is the time for which an endpoint is kept after it has disappeared from the platform's list.
const forgetEndpointAfter = 5 * time.Minute

// forgetAfter is the time without a newer heartbeat after which a VM that the platform does not list is forgotten.
const forgetAfter = time.Minute

// member is the state of another VM.
type member struct {
	peer.Member
	// lastHeartbeat is the time at which the VM's heartbeat counter last increased. For a VM that has appeared only in
	// the platform's list, lastHeartbeat is the time at which the VM was first listed.
	lastHeartbeat time.Time
	listed        bool
	dead          bool
}

// Directory is a VM's view of the fleet. It combines the platform's list with the heartbeats: the view excludes listed
// VMs that are dead and includes VMs that are known only from heartbeats. It is safe for concurrent use.
type Directory struct {
	self vm.VM
	// observer is called for each VM that appears (true) or is declared dead (false).
	observer func(vm.VM, bool)

	mu        sync.Mutex
	counter   uint64
	leaving   bool
	members   map[vm.Name]*member
	summaries map[domain.Name]peer.Summary
	// unlistedSince holds the time at which each retained endpoint disappeared from the platform's list.
	unlistedSince map[endpoint.Name]time.Time
	endpoints     atomic.Pointer[[]endpoint.Endpoint]
}

// NewDirectory returns a directory that contains only this VM.
func NewDirectory(self vm.VM, observer func(vm.VM, bool)) *Directory {
	d := &Directory{
		self: self, observer: observer,
		members: map[vm.Name]*member{}, summaries: map[domain.Name]peer.Summary{},
		unlistedSince: map[endpoint.Name]time.Time{},
	}
	d.endpoints.Store(&[]endpoint.Endpoint{})
	return d
}

// Self returns the VM that this process runs on.
func (d *Directory) Self() vm.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	self := d.self
	self.Leaving = d.leaving
	return self
}

// Leave marks this VM as leaving, which means shutting down, in all further heartbeats.
func (d *Directory) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

// Endpoints returns the endpoints of the platform's last list and the endpoints retained after they disappeared from
// the platform's list. The caller must not modify the slice.
func (d *Directory) Endpoints() []endpoint.Endpoint {
	return *d.endpoints.Load()
}

// SetList updates the known VMs and endpoints from a new list of the platform.
func (d *Directory) SetList(list platform.List, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retainUnlisted(&list, now)
	d.endpoints.Store(&list.Endpoints)
	for _, m := range d.members {
		m.listed = false
	}
	for _, listed := range list.VMs {
		if listed.Name == d.self.Name {
			continue
		}
		known := d.members[listed.Name]
		if known == nil {
			known = &member{Member: peer.Member{VM: listed}, lastHeartbeat: now}
			d.members[listed.Name] = known
		}
		known.listed = true
	}
}

// retainUnlisted adds to the list the endpoints that have disappeared from it without being marked as leaving. The
// platform's list may be outdated, and an endpoint that is forgotten too early may still hold the results of tasks.
func (d *Directory) retainUnlisted(list *platform.List, now time.Time) {
	listed := map[endpoint.Name]bool{}
	for _, e := range list.Endpoints {
		listed[e.Name] = true
		delete(d.unlistedSince, e.Name)
	}
	list.Endpoints = slices.Clone(list.Endpoints)
	for _, e := range *d.endpoints.Load() {
		if listed[e.Name] || e.Leaving {
			continue
		}
		if _, known := d.unlistedSince[e.Name]; !known {
			d.unlistedSince[e.Name] = now
		}
		if now.Sub(d.unlistedSince[e.Name]) < forgetEndpointAfter {
			list.Endpoints = append(list.Endpoints, e)
		}
	}
}

// NextHeartbeat increments this VM's heartbeat counter and returns this VM's entry for the next heartbeat.
func (d *Directory) NextHeartbeat(revision table.Revision) peer.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counter++
	self := d.self
	self.Leaving = d.leaving
	return peer.Member{VM: self, Counter: d.counter, Revision: revision}
}

// MergeMember stores the state of another VM if the received heartbeat counter is higher than the stored counter. It
// notifies the observer if the VM was not known to be alive before.
func (d *Directory) MergeMember(received peer.Member, now time.Time) {
	if received.Name == d.self.Name {
		return
	}
	d.mu.Lock()
	known := d.members[received.Name]
	if known != nil && received.Counter <= known.Counter {
		d.mu.Unlock()
		return
	}
	appeared := known == nil || known.dead || known.Counter == 0
	if known == nil {
		known = &member{}
		d.members[received.Name] = known
	}
	known.Member = received
	known.lastHeartbeat = now
	known.dead = false
	d.mu.Unlock()
	if appeared {
		d.observer(received.VM, true)
	}
}

// MergeSummary stores a failure domain's capacity summary if it is newer than the stored summary.
func (d *Directory) MergeSummary(received peer.Summary) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if received.Version > d.summaries[received.FailureDomain].Version {
		d.summaries[received.FailureDomain] = received
	}
}

// Summaries returns the last known capacity of each failure domain.
func (d *Directory) Summaries() []peer.Summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]peer.Summary, 0, len(d.summaries))
	for _, summary := range d.summaries {
		all = append(all, summary)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].FailureDomain < all[j].FailureDomain })
	return all
}

// Summary returns the last known capacity of one failure domain.
func (d *Directory) Summary(name domain.Name) (peer.Summary, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	summary, known := d.summaries[name]
	return summary, known
}

// Sweep marks VMs without recent heartbeats as dead, notifies the observer, and forgets dead VMs that the platform does
// not list.
func (d *Directory) Sweep(now time.Time) {
	var vanished []vm.VM
	d.mu.Lock()
	for name, m := range d.members {
		silence := now.Sub(m.lastHeartbeat)
		if silence >= d.deadAfter(m) && !m.dead {
			m.dead = true
			vanished = append(vanished, m.VM)
		}
		if silence >= forgetAfter && !m.listed {
			delete(d.members, name)
		}
	}
	d.mu.Unlock()
	for _, dead := range vanished {
		d.observer(dead, false)
	}
}

// deadAfter returns the time without a newer heartbeat after which a member counts as dead.
func (d *Directory) deadAfter(m *member) time.Duration {
	if m.FailureDomain == d.self.FailureDomain {
		return DeadAfter
	}
	return RemoteDeadAfter
}

// Others returns all VMs, except this VM, that do not count as dead, ordered by name. VMs that are leaving, and so
// accept no new work, are included only if includeLeaving is set.
func (d *Directory) Others(includeLeaving bool) []peer.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var live []peer.Member
	for _, m := range d.members {
		if !m.dead && (includeLeaving || !m.Leaving) {
			live = append(live, m.Member)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

// Dead returns the VMs that the platform lists but that count as dead, ordered by name.
func (d *Directory) Dead() []peer.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var dead []peer.Member
	for _, m := range d.members {
		if m.dead && m.listed {
			dead = append(dead, m.Member)
		}
	}
	sort.Slice(dead, func(i, j int) bool { return dead[i].Name < dead[j].Name })
	return dead
}

// Find returns the VM with the given name, unless it is unknown or dead.
func (d *Directory) Find(name vm.Name) (vm.VM, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if name == d.self.Name {
		return d.self, true
	}
	m, known := d.members[name]
	if !known || m.dead {
		return vm.VM{}, false
	}
	return m.VM, true
}

// InDomain returns the live VMs of a failure domain that accept new work, including this VM, ordered by name.
func (d *Directory) InDomain(name domain.Name) []vm.VM {
	var found []vm.VM
	for _, m := range d.Others(false) {
		if m.FailureDomain == name {
			found = append(found, m.VM)
		}
	}
	if self := d.Self(); self.FailureDomain == name && !self.Leaving {
		found = append(found, self)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found
}

// IsSelected reports whether rendezvous hashing selects this VM for a key, when it selects the given number of VMs of
// this VM's failure domain. A leaving VM is never selected.
func (d *Directory) IsSelected(key string, count int) bool {
	self := d.Self()
	if self.Leaving {
		return false
	}
	var names []vm.Name
	for _, member := range d.InDomain(self.FailureDomain) {
		names = append(names, member.Name)
	}
	return rendezvous.Among(key, names, self.Name, count)
}

// LiveNames returns the names of the live VMs that are not leaving. This VM comes first, even if it is leaving.
func (d *Directory) LiveNames() []vm.Name {
	names := []vm.Name{d.self.Name}
	for _, m := range d.Others(false) {
		names = append(names, m.Name)
	}
	return names
}

// LiveCount returns the number of names that LiveNames returns.
func (d *Directory) LiveCount() int {
	return len(d.LiveNames())
}

// HeardFromEveryDomain reports whether each other known failure domain has a VM whose last heartbeat is more recent
// than the duration given by within. It returns false if no other failure domain is known.
func (d *Directory) HeardFromEveryDomain(within time.Duration, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	recentByDomain := map[domain.Name]bool{}
	for _, m := range d.members {
		recent := m.Counter > 0 && now.Sub(m.lastHeartbeat) < within
		recentByDomain[m.FailureDomain] = recentByDomain[m.FailureDomain] || recent
	}
	delete(recentByDomain, d.self.FailureDomain)
	for _, recent := range recentByDomain {
		if !recent {
			return false
		}
	}
	return len(recentByDomain) > 0
}
