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

// queryTimeout bounds the question to one other VM.
const queryTimeout = time.Second

// Requests tells how many requests run and wait on this VM.
type Requests interface {
	InFlight() (running, queued int)
}

// Fleet asks all VMs for their views.
type Fleet struct {
	directory  *membership.Directory
	follower   *tables.Follower
	controller *controller.Controller
	requests   Requests
	recorder   *timeline.Recorder
	dialer     peer.Dialer
}

// NewFleet returns the view of one VM on itself and all others.
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

// View returns a view of this VM for another one, as JSON.
func (f *Fleet) View(view peer.View) ([]byte, error) {
	if view == peer.TimelineView {
		return json.Marshal(f.recorder.Events(0))
	}
	return json.Marshal(f.Status())
}

// peerView is one VM's view, or none.
type peerView struct {
	member peer.Member
	json   []byte
	err    error
}

// queryPeers collects a view from all other VMs at the same time.
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

// Collect returns the states of all VMs.
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

// Timeline returns the events of all VMs in one order.
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

// Rollout tells where a revision or a later one is in force.
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

func (f *Fleet) domainOf(name vm.Name) domain.Name {
	for _, member := range append(f.directory.Others(true), f.directory.Dead()...) {
		if member.Name == name {
			return member.FailureDomain
		}
	}
	return ""
}

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
