// Package site joins the parts of a VM that serves a site: it follows the configuration, stands for the lead, knows the
// other VMs and answers callers.
package site

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/core/roster"
	"auburnstack/core/vm"
	"auburnstack/io/adviser"
	"auburnstack/io/boottime"
	"auburnstack/io/coordinator"
	"auburnstack/io/election"
	"auburnstack/io/intake"
	"auburnstack/io/inventory"
	"auburnstack/io/policywatch"
	"auburnstack/io/relay"
	"auburnstack/io/rosterwatch"
	"auburnstack/io/runner"
	"auburnstack/io/store"
)

// Codecs read what others write to the store and send to the VM.
type Codecs struct {
	Policy policywatch.Codec
	Roster rosterwatch.Codec
	Jobs   intake.Codec
	Upkeep coordinator.UpkeepCodec
}

// Config is what a node is made of.
type Config struct {
	Name vm.Name
	// Incarnation tells apart the processes of one VM.
	Incarnation string
	// Address is where other VMs reach this one.
	Address netip.AddrPort
	// Peers finds the other VMs.
	Peers relay.Dialer
	// Seeds are addresses of some VMs; any of them may be outdated.
	Seeds   []netip.AddrPort
	Store   store.Store
	Workers runner.Dialer
	Adviser adviser.Adviser
	// Inventory lists the machines on which workers live.
	Inventory inventory.Service
	Codecs    Codecs
	Planner   planner.Settings
	// ElectionDelay is how long the VM lets others take the lead first, as it is weaker.
	ElectionDelay time.Duration
	Clock         boottime.Clock
	Metrics       *metrics.Set
	Log           hclog.Logger
}

// Node is a VM of a site without its listeners towards callers.
type Node struct {
	config      Config
	store       *store.Monitor
	self        relay.Member
	watcher     *policywatch.Watcher
	coordinator *coordinator.Coordinator
	candidate   *election.Candidate
	intake      *intake.Intake
	members     *members
	registrar   *registrar
	cancel      context.CancelFunc
	loops       sync.WaitGroup
}

// New starts a node. Whoever starts it lets it answer other VMs, as it is a relay.Handler.
func New(config Config) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		config: config, self: relay.Member{Name: config.Name, Address: config.Address},
		cancel: cancel,
	}
	n.store = store.NewMonitor(config.Store)
	n.members = newMembers(n.self, config.Seeds)
	n.coordinator = coordinator.New(coordinator.Config{
		Store: n.store, Dialer: config.Workers, Roster: config.Codecs.Roster, Settings: config.Planner,
		Policy: func() *policywatch.Snapshot { return n.watcher.Current() }, Name: config.Name,
		Adviser: config.Adviser, Inventory: config.Inventory, Upkeep: config.Codecs.Upkeep,
		Metrics: coordinator.NewMetrics(config.Metrics), Log: config.Log,
	})
	ready := make(chan struct{})
	n.watcher = policywatch.New(n.store, config.Codecs.Policy, config.Log,
		func(snapshot *policywatch.Snapshot, fromStore bool) {
			<-ready
			n.policyAdopted(snapshot, fromStore)
		})
	n.intake = intake.New(n.store, config.Codecs.Jobs, n.watcher, n,
		intake.NewMetrics(config.Metrics), config.Log)
	n.registrar = newRegistrar(n.store, n.self, config.Log)
	n.candidate = election.New(n.store, election.Leader{
		Name: config.Name, Address: config.Address, Incarnation: config.Incarnation,
	}, config.Clock, config.Log, election.Callbacks{
		AcquireDelay: config.ElectionDelay,
		LeaderAlive:  n.members.hearsLeader, Lead: n.lead, LeaderSeen: n.members.leaderSeen,
	})
	n.loops.Go(func() { n.push(ctx) })
	n.loops.Go(func() { n.introduce(ctx) })
	close(ready)
	return n
}

// Close hands the lead over, leaves the site and waits.
func (n *Node) Close() {
	n.candidate.Close()
	n.registrar.Close()
	n.cancel()
	n.loops.Wait()
	n.watcher.Close()
}

// Resign gives the lead to another VM, and stands for it no more.
func (n *Node) Resign() {
	n.candidate.Close()
	n.registrar.Close()
}

// SetSeeds replaces the addresses that are tried when no other VM is known.
func (n *Node) SetSeeds(seeds []netip.AddrPort) {
	n.members.setSeeds(seeds)
}

// SetPlanner replaces the planner's settings from the next term on.
func (n *Node) SetPlanner(settings planner.Settings) {
	n.coordinator.SetPlanner(settings)
}

// Serve answers a caller by the context's deadline.
func (n *Node) Serve(ctx context.Context, request relay.Request) answer.Answer {
	return n.intake.Handle(ctx, request, false)
}

// Ready tells whether the VM can answer callers: it knows a configuration, and it reaches the store or a leader that
// does.
func (n *Node) Ready() bool {
	return n.watcher.Current().Policy != nil && (n.store.Answering() || n.members.hearsLeader())
}

// Policy returns the configuration in force.
func (n *Node) Policy() *policywatch.Snapshot {
	return n.watcher.Current()
}

func (n *Node) policyAdopted(snapshot *policywatch.Snapshot, fromStore bool) {
	n.config.Log.Info("configuration adopted", "version", snapshot.Policy.Version, "revision", snapshot.Revision,
		"fromStore", fromStore, "queues", len(snapshot.Policy.Queues), "out", len(snapshot.Policy.Out))
	for _, mistake := range snapshot.Policy.Unread {
		n.config.Log.Error("part of the configuration left out", "version", snapshot.Policy.Version, "error", mistake)
	}
	n.coordinator.PolicyChanged()
	n.members.wakePush()
}

// Exchange implements relay.Handler.
func (n *Node) Exchange(h relay.Heartbeat) relay.HeartbeatReply {
	if h.Policy.Policy != nil {
		n.watcher.Offer(&h.Policy)
	} else {
		n.watcher.ConfirmCurrent(&h.Policy)
	}
	n.members.heard(h)
	if h.Resigned {
		n.loops.Go(func() { n.succeed(h.Lease) })
	}
	current := n.watcher.Current()
	known := relay.HeartbeatReply{Revision: current.Revision, ChangedAt: current.ChangedAt}
	if _, leading := n.coordinator.Pending(); leading {
		known.Leader = n.self
	} else if leader, heard := n.members.leader(); heard {
		known.Leader = leader
	}
	return known
}

// succeed ends the lease of a leader that has resigned, and stands for the lead. A leader that the store refuses
// can't end it by itself.
func (n *Node) succeed(lease store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	if err := n.store.End(ctx, lease); err != nil && !errors.Is(err, store.ErrLeaseEnded) {
		n.config.Log.Debug("lease of the earlier leader not ended", "error", err.Error())
	}
	n.candidate.Wake()
}

// Handle implements relay.Handler.
func (n *Node) Handle(ctx context.Context, request relay.Request) answer.Answer {
	return n.intake.Handle(ctx, request, true)
}

// Ask implements relay.Handler.
func (n *Node) Ask(ctx context.Context, id graph.ID) relay.JobState {
	job, leading := n.coordinator.State(ctx, id)
	return relay.JobState{Leading: leading, Known: job.Known, State: job.State}
}

// askTimeout bounds a question to the leader.
const askTimeout = 400 * time.Millisecond

// JobState implements intake.Site.
func (n *Node) JobState(ctx context.Context, id graph.ID) (relay.JobState, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if state := n.Ask(ctx, id); state.Leading {
		return state, true
	}
	leader, known := n.members.leader()
	if !known || leader.Address == n.self.Address {
		return relay.JobState{}, false
	}
	state, err := n.config.Peers.Peer(leader.Address).Ask(ctx, id)
	return state, err == nil && state.Leading
}

// Pending implements intake.Site.
func (n *Node) Pending() (map[string]int, time.Duration, bool) {
	if counts, leading := n.coordinator.Pending(); leading {
		return counts, 0, true
	}
	return n.members.pendingCounts()
}

// Sizes implements intake.Site.
func (n *Node) Sizes() []roster.Size {
	if sizes := n.coordinator.Sizes(); len(sizes) > 0 {
		return sizes
	}
	return n.members.workerSizes()
}

// Peers implements intake.Site.
func (n *Node) Peers() []relay.Peer {
	var peers []relay.Peer
	for _, address := range n.members.relays() {
		peers = append(peers, n.config.Peers.Peer(address))
	}
	return peers
}

// vmPrefix is that of the keys under which the VMs of the site register.
const vmPrefix = "auburnstack/vm/"

func encodeMember(m relay.Member) ([]byte, error) {
	value, err := json.Marshal(m)
	return value, errors.WithStack(err)
}

func decodeMember(item store.Item) (relay.Member, error) {
	var m relay.Member
	err := json.Unmarshal(item.Value, &m)
	return m, errors.WithMessagef(err, "the registration %s can't be read", item.Key)
}
