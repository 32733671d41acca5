package operator

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"auburnstack/core/domain"
	"auburnstack/core/table"
	"auburnstack/core/timeline"
	"auburnstack/core/vm"
	"auburnstack/io/controller"
	"auburnstack/io/membership"
	"auburnstack/io/peer"
	"auburnstack/io/tables"
)

// queryTimeout is the timeout of the concurrent calls by which a VM requests the reports of all other VMs.
const queryTimeout = time.Second

// Requests provides the numbers of running and of queued requests on this VM.
type Requests interface {
	InFlight() (running, queued int)
}

// Fleet collects the reports of all VMs for operators.
type Fleet struct {
	directory  *membership.Directory
	follower   *tables.Follower
	controller *controller.Controller
	requests   Requests
	recorder   *timeline.Recorder
	dialer     peer.Dialer
}

// NewFleet returns a Fleet that reads this VM's state directly and calls the other VMs.
func NewFleet(
	directory *membership.Directory, follower *tables.Follower, control *controller.Controller,
	requests Requests, recorder *timeline.Recorder, dialer peer.Dialer,
) *Fleet {
	return &Fleet{
		directory: directory, follower: follower, controller: control,
		requests: requests, recorder: recorder, dialer: dialer,
	}
}

// Status returns this VM's own state.
func (f *Fleet) Status() VMStatus {
	self := f.directory.Self()
	running, queued := f.requests.InFlight()
	return VMStatus{
		VM: self.Name, FailureDomain: self.FailureDomain, Leaving: self.Leaving,
		Revision:    f.follower.Current().Revision,
		FreshMillis: f.follower.Age(time.Now()).Milliseconds(),
		Running:     running, Queued: queued,
		Controller: f.controller.Status(), Summaries: f.directory.Summaries(), Peers: f.directory.Others(true),
	}
}

// View returns the requested report of this VM as JSON, for another VM that collects the reports of all VMs.
func (f *Fleet) View(view peer.View) ([]byte, error) {
	if view == peer.TimelineView {
		return json.Marshal(f.recorder.Events(0))
	}
	return json.Marshal(f.Status())
}

// peerView is the report of one other VM as JSON, or the error of the call that requested it.
type peerView struct {
	member peer.Member
	json   []byte
	err    error
}

// queryPeers requests a report from all other VMs concurrently, including those that count as dead.
func (f *Fleet) queryPeers(ctx context.Context, view peer.View) []peerView {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	members := append(f.directory.Others(true), f.directory.Dead()...)
	answers := make([]peerView, len(members))
	var group sync.WaitGroup
	for i, member := range members {
		group.Go(func() {
			body, err := f.dialer.Peer(member.VM).Report(ctx, view)
			answers[i] = peerView{member: member, json: body, err: err}
		})
	}
	group.Wait()
	return answers
}

// Collect returns the states of all VMs, and the names of the VMs that did not answer.
func (f *Fleet) Collect(ctx context.Context) FleetReply {
	reply := FleetReply{VMs: []VMStatus{f.Status()}}
	for _, a := range f.queryPeers(ctx, peer.StatusView) {
		var status VMStatus
		if a.err != nil || json.Unmarshal(a.json, &status) != nil {
			reply.Unreachable = append(reply.Unreachable, a.member.Name)
			continue
		}
		reply.VMs = append(reply.VMs, status)
	}
	sort.Slice(reply.VMs, func(i, j int) bool { return reply.VMs[i].VM < reply.VMs[j].VM })
	return reply
}

// Timeline returns the events of all VMs that answered, ordered by the events' stamps, and the names of the VMs that
// did not answer.
func (f *Fleet) Timeline(ctx context.Context) TimelineReply {
	lists := [][]timeline.Event{f.recorder.Events(0)}
	var unreachable []vm.Name
	for _, a := range f.queryPeers(ctx, peer.TimelineView) {
		var events []timeline.Event
		if a.err != nil || json.Unmarshal(a.json, &events) != nil {
			unreachable = append(unreachable, a.member.Name)
			continue
		}
		lists = append(lists, events)
	}
	return TimelineReply{Events: timeline.Merge(lists...), Unreachable: unreachable}
}

// Rollout returns, for each failure domain, the number of VMs on which the given revision of the tables or a later
// revision is in force.
func (f *Fleet) Rollout(ctx context.Context, revision table.Revision) RolloutReply {
	fleet := f.Collect(ctx)
	byDomain := map[domain.Name]*DomainRollout{}
	entryFor := func(name domain.Name) *DomainRollout {
		if byDomain[name] == nil {
			state := domain.In
			if !f.follower.Current().IsIn(name) {
				state = domain.Out
			}
			byDomain[name] = &DomainRollout{FailureDomain: name, State: state.String()}
		}
		return byDomain[name]
	}
	for _, status := range fleet.VMs {
		entry := entryFor(status.FailureDomain)
		entry.VMs++
		if status.Revision >= revision {
			entry.InForce++
		}
	}
	for _, name := range fleet.Unreachable {
		entry := entryFor(f.domainOf(name))
		entry.Unreachable = append(entry.Unreachable, name)
	}
	return summarize(revision, byDomain)
}

// domainOf returns the failure domain of another VM, or an empty name if the VM is unknown.
func (f *Fleet) domainOf(name vm.Name) domain.Name {
	for _, member := range append(f.directory.Others(true), f.directory.Dead()...) {
		if member.Name == name {
			return member.FailureDomain
		}
	}
	return ""
}

// summarize returns a reply with the failure domains sorted by name. It sets Everywhere if the revision is in force on
// all VMs and every VM has answered.
func summarize(revision table.Revision, byDomain map[domain.Name]*DomainRollout) RolloutReply {
	reply := RolloutReply{Revision: revision, Everywhere: true}
	for _, entry := range byDomain {
		reply.Domains = append(reply.Domains, *entry)
		if entry.InForce < entry.VMs || len(entry.Unreachable) > 0 {
			reply.Everywhere = false
		}
	}
	sort.Slice(reply.Domains, func(i, j int) bool {
		return reply.Domains[i].FailureDomain < reply.Domains[j].FailureDomain
	})
	return reply
}
