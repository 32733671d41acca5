// Package site combines the parts of a VM that serves a site: following the configuration, leader election, membership,
// coordination of the workers, and answering callers.
package site

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/core/jobmemory"
	"auburnstack/core/planner"
	"auburnstack/core/policy"
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

// Codecs decode what operators and workers write to the store and what callers send, and encode the status of upkeep.
type Codecs struct {
	Policy policywatch.Codec
	Roster rosterwatch.Codec
	Jobs   intake.Codec
	Upkeep coordinator.UpkeepCodec
}

// Config holds the settings and dependencies of a node.
type Config struct {
	Name vm.Name
	// Incarnation distinguishes the successive processes of one VM.
	Incarnation string
	// Address is the address at which other VMs reach this VM.
	Address netip.AddrPort
	// Peers provides the connections to the other VMs.
	Peers relay.Dialer
	// Seeds holds the addresses of some VMs of the site; any of them may be outdated.
	Seeds   []netip.AddrPort
	Store   store.Store
	Workers runner.Dialer
	Adviser adviser.Adviser
	// Inventory lists the machines that host the workers and orders their upkeep.
	Inventory inventory.Service
	Codecs    Codecs
	Planner   planner.Settings
	// ValueLimit is the largest size of a value of Store in bytes; 0 means that there is no limit.
	ValueLimit int
	// ApplyLimit is the time within which a change of the configuration must be in force on all VMs.
	ApplyLimit time.Duration
	// EvacuateLimit is the time after which nothing may start in a failure domain that was taken out of service; 0 means
	// that there is no limit.
	EvacuateLimit time.Duration
	// JobMemory is the largest memory that the jobs may take if the VM leads; 0 means that there is no limit.
	JobMemory jobmemory.Limit
	// ElectionDelay is the time that the VM waits before it tries to become leader, so that VMs with more resources can
	// become leader first.
	ElectionDelay time.Duration
	Clock         boottime.Clock
	Metrics       *metrics.Set
	Log           hclog.Logger
}

// Node is a VM of a site, without the listeners that accept requests of callers and messages of other VMs.
type Node struct {
	config      Config
	store       *store.Monitor
	self        relay.Member
	watcher     *policywatch.Watcher
	follower    *policyFollower
	coordinator *coordinator.Coordinator
	candidate   *election.Candidate
	intake      *intake.Intake
	members     *members
	memory      *memory
	registrar   *registrar
	cancel      context.CancelFunc
	loops       sync.WaitGroup
}

// New starts a node. The node is a relay.Handler: the caller of New has to start the server through which other VMs
// reach it.
func New(config Config) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		config: config, self: relay.Member{Name: config.Name, Address: config.Address},
		cancel: cancel,
	}
	revisions := store.NewRevisionLog(config.Store, config.Clock)
	n.store = store.NewMonitor(revisions)
	n.members = newMembers(n.self, config.Seeds)
	n.follower = newPolicyFollower(n, config.ApplyLimit)
	n.memory = newMemory(config.JobMemory, config.Metrics, config.Log)
	n.coordinator = coordinator.New(coordinator.Config{
		Store: n.store, Revisions: revisions, Dialer: config.Workers, Roster: config.Codecs.Roster, Settings: config.Planner,
		Policy: func() *policywatch.Snapshot { return n.watcher.Current() }, Clock: config.Clock,
		EvacuateLimit: config.EvacuateLimit, Name: config.Name,
		ValueLimit: config.ValueLimit, Memory: n.memory.account,
		Adviser: config.Adviser, Inventory: config.Inventory, Upkeep: config.Codecs.Upkeep,
		Metrics: coordinator.NewMetrics(config.Metrics), Log: config.Log,
	})
	ready := make(chan struct{})
	n.watcher = policywatch.New(n.store, config.Codecs.Policy, config.Clock, config.Log,
		func(snapshot *policywatch.Snapshot, source policywatch.Source) {
			// The watcher may call this function before New has set all fields of n.
			<-ready
			n.policyAdopted(snapshot, source)
		})
	config.Metrics.NewGauge("auburnstack_policy_age_seconds", func() float64 {
		return n.watcher.Age(n.watcher.Current()).Seconds()
	})
	n.intake = intake.New(n.store, config.Codecs.Jobs, n.watcher, n, config.ApplyLimit, config.ValueLimit,
		intake.NewMetrics(config.Metrics), config.Log)
	n.registrar = newRegistrar(n.store, registration{Member: n.self, JobMemory: config.JobMemory}, config.Log)
	n.candidate = election.New(n.store, election.Leader{
		Name: config.Name, Address: config.Address, Incarnation: config.Incarnation,
	}, config.Clock, config.Log, election.Callbacks{
		AcquireDelay: config.ElectionDelay,
		LeaderAlive:  n.members.leaderHeardRecently, Lead: n.lead, LeaderSeen: n.members.setLeaderFromStore,
	})
	n.loops.Go(func() { n.announcePolicies(ctx) })
	n.loops.Go(func() { n.introduce(ctx) })
	n.loops.Go(func() { n.follower.run(ctx) })
	close(ready)
	return n
}

// Close resigns the leadership, removes the VM's registration, stops all goroutines and waits for them.
func (n *Node) Close() {
	n.candidate.Close()
	n.registrar.Close()
	n.cancel()
	n.loops.Wait()
	n.watcher.Close()
}

// Resign ends the leadership and the registration of the VM for good. The node still answers requests until Close.
func (n *Node) Resign() {
	n.candidate.Close()
	n.registrar.Close()
}

// SetSeeds replaces the addresses to which this VM relays requests when its list of members holds too few VMs.
func (n *Node) SetSeeds(seeds []netip.AddrPort) {
	n.members.setSeeds(seeds)
}

// SetPlanner replaces the planner's settings. They take effect when the next leadership term begins.
func (n *Node) SetPlanner(settings planner.Settings) {
	n.coordinator.SetPlanner(settings)
}

// Serve answers a request of a caller by the context's deadline.
func (n *Node) Serve(ctx context.Context, request relay.Request) answer.Answer {
	return n.intake.Handle(ctx, request, false)
}

// Ready reports whether the VM can answer callers: the VM knows a configuration, and either the store answers the VM's
// calls or the VM receives heartbeats from a leader.
func (n *Node) Ready() bool {
	return n.watcher.Current().Policy != nil && (n.store.Answering() || n.members.leaderHeardRecently())
}

// Policy returns the configuration in force.
func (n *Node) Policy() *policywatch.Snapshot {
	return n.watcher.Current()
}

// policyAdopted logs a configuration that was adopted, passes it to the current leadership term and announces it to
// other VMs.
func (n *Node) policyAdopted(snapshot *policywatch.Snapshot, source policywatch.Source) {
	n.config.Log.Info("configuration adopted", "version", snapshot.Policy.Version, "revision", snapshot.Revision,
		"changedAt", snapshot.ChangedAt, "source", source, "age", n.watcher.Age(snapshot).String(),
		"queues", len(snapshot.Policy.Queues), "out", len(snapshot.Policy.Out))
	for _, mistake := range snapshot.Policy.Unread {
		n.config.Log.Error("invalid part of the configuration skipped",
			"version", snapshot.Policy.Version, "error", mistake)
	}
	for _, warning := range snapshot.Policy.Warnings {
		n.config.Log.Warn("doubtful part of the configuration", "version", snapshot.Policy.Version, "warning", warning)
	}
	n.coordinator.PolicyChanged()
	n.members.requestAnnouncement()
}

// Exchange implements relay.Handler. It processes a heartbeat, and replies with the version of this VM's configuration
// and the latest known leader.
func (n *Node) Exchange(h relay.Heartbeat) relay.HeartbeatReply {
	n.follower.announced(h.Sender.Address, h.Policy)
	if n.members.handleHeartbeat(h) {
		n.memory.quota.Set(h.JobAllowance)
	}
	if h.Resigned {
		n.loops.Go(func() { n.takeOver(h.Lease) })
	}
	reply := relay.HeartbeatReply{Policy: n.watcher.Current().Version}
	if _, leading := n.coordinator.Pending(); leading {
		reply.Leader = n.self
	} else if leader, hasLeader := n.members.leader(); hasLeader {
		reply.Leader = leader
	}
	return reply
}

// Configuration implements relay.Handler. It returns the version of this VM's configuration and its content as far as
// the other VM lacks it and wants it.
func (n *Node) Configuration(request relay.PolicyRequest) relay.PolicyReply {
	current := n.watcher.Current()
	reply := relay.PolicyReply{
		Version: current.Version, Proven: current.CurrentAt != policywatch.Never, Age: n.watcher.Age(current),
	}
	sameRevision := current.Revision == request.Known.Revision && !current.Uncertain() && !request.Known.Uncertain()
	switch {
	case current.Policy == nil || !current.Newer(request.Known):
	case sameRevision:
		reply.Policy = &policy.Policy{Out: current.Policy.Out, Waves: current.Policy.Waves}
		reply.Partial = true
	case request.Content:
		reply.Policy = current.Policy
	}
	return reply
}

// takeOver ends the lease of a leader that has resigned, and starts an attempt to become leader. The resigned leader
// cannot end its lease itself when the store refuses its calls.
func (n *Node) takeOver(lease store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	if err := n.store.End(ctx, lease); err != nil && !errors.Is(err, store.ErrLeaseEnded) {
		n.config.Log.Debug("ending the lease of the previous leader failed", "error", err.Error())
	}
	n.candidate.Wake()
}

// Handle implements relay.Handler. It answers a caller's request that another VM has relayed to this VM.
func (n *Node) Handle(ctx context.Context, request relay.Request) answer.Answer {
	return n.intake.Handle(ctx, request, true)
}

// Ask implements relay.Handler. It returns the state of a job if this VM leads.
func (n *Node) Ask(ctx context.Context, id graph.ID) relay.JobState {
	job, leading := n.coordinator.State(ctx, id)
	return relay.JobState{Leading: leading, Known: job.Known, Origin: job.Origin, State: job.State}
}

// askTimeout is the timeout for asking the leader for the state of a job, and for ending the lease of a resigned
// leader.
const askTimeout = 400 * time.Millisecond

// JobState implements intake.Site. If this VM does not lead, it asks the leader for the state.
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

// Pending implements intake.Site. If this VM does not lead, it returns the counts that the leader has sent.
func (n *Node) Pending() (map[string]int, time.Duration, bool) {
	if counts, leading := n.coordinator.Pending(); leading {
		return counts, 0, true
	}
	return n.members.pendingCounts()
}

// Sizes implements intake.Site. If this VM's coordinator has no sizes, it returns those that the leader has sent.
func (n *Node) Sizes() []roster.Size {
	if sizes := n.coordinator.Sizes(); len(sizes) > 0 {
		return sizes
	}
	return n.members.leaderWorkerSizes()
}

// Peers implements intake.Site.
func (n *Node) Peers() []relay.Peer {
	var peers []relay.Peer
	for _, address := range n.members.relayAddresses() {
		peers = append(peers, n.config.Peers.Peer(address))
	}
	return peers
}
