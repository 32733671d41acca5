// Package entry assembles the daemon of an entry VM from its parts.
package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"auburnstack/core/account"
	"auburnstack/core/endpoint"
	"auburnstack/core/rendezvous"
	"auburnstack/core/scheduler"
	"auburnstack/core/table"
	"auburnstack/core/timeline"
	"auburnstack/core/vm"
	"auburnstack/io/claim"
	"auburnstack/io/controller"
	"auburnstack/io/dispatch"
	worker "auburnstack/io/endpoint"
	"auburnstack/io/jobbook"
	"auburnstack/io/jobs"
	"auburnstack/io/keeper"
	"auburnstack/io/membership"
	"auburnstack/io/operator"
	"auburnstack/io/peer"
	"auburnstack/io/platform"
	"auburnstack/io/tables"
	"auburnstack/io/wait"
)

const (
	// listInterval is the time between two reads of the platform's list of VMs and endpoints.
	listInterval = 2 * time.Second
	// watchTimeout is the time for which one watch waits for a change of the tables' head, the record that names the
	// current revision.
	watchTimeout = time.Second
	// refreshInterval is the time between two checks of whether a VM that does not watch the tables' head must read it,
	// and the pause after a failed watch.
	refreshInterval = time.Second
	// staleAfter is the maximum age of the last proof that the tables are current. If the proof is older, a VM that
	// does not watch the tables' head reads the head.
	staleAfter = 2 * time.Second
	// watchersPerDomain is the number of VMs per failure domain that watch the tables' head.
	watchersPerDomain = 2
	// timelineEvents is the number of timeline events that a VM keeps.
	timelineEvents = 4096
	// callTimeout is the timeout of one call to the store outside the request path.
	callTimeout = time.Second
)

// Workers looks up the connections to endpoints.
type Workers interface {
	Worker(target endpoint.Endpoint) worker.Worker
	WorkerByName(name endpoint.Name) (worker.Worker, bool)
}

// Config holds the settings and the dependencies of a Node.
type Config struct {
	Self      vm.VM
	Accounts  []account.Account
	Store     platform.Store
	Dialer    peer.Dialer
	Scheduler scheduler.Settings
	// Random is the source of the node's random choices; each process needs its own seed.
	Random *rand.Rand
	Log    hclog.Logger
	// Observer is called with each event of the timeline.
	Observer func(timeline.Event)
	// NewWorkers creates the node's Workers. list returns the endpoints of the platform's list as the node last read it.
	NewWorkers func(list func() []endpoint.Endpoint) Workers
}

// Node is the daemon of an entry VM without its servers.
type Node struct {
	Accounts   *account.Registry
	Clock      *timeline.Clock
	Recorder   *timeline.Recorder
	Directory  *membership.Directory
	Follower   *tables.Follower
	Gossiper   *membership.Gossiper
	Claims     *claim.Book
	Book       *jobbook.Book
	Keeper     *keeper.Keeper
	Dispatcher *dispatch.Dispatcher
	Controller *controller.Controller
	Jobs       *jobs.Service
	Fleet      *operator.Fleet

	refresher *tablesRefresher

	store  platform.Store
	log    hclog.Logger
	cancel context.CancelFunc
	// context is canceled when the node closes.
	context context.Context
	loops   sync.WaitGroup
}

// NewNode creates a node and connects its parts. Start starts it.
func NewNode(config Config) *Node {
	n := &Node{store: config.Store, log: config.Log}
	n.context, n.cancel = context.WithCancel(context.Background())
	writer := fmt.Sprintf("%s-%x", config.Self.Name, config.Random.Uint64())
	n.Accounts = account.NewRegistry(config.Accounts)
	n.Clock = timeline.NewClock()
	n.Recorder = timeline.NewRecorder(
		n.Clock, config.Self.Name, config.Self.FailureDomain, timelineEvents, config.Observer)
	n.Directory = membership.NewDirectory(config.Self, n.vmChanged)
	n.Follower = tables.New(config.Store, n.tablesAdopted)
	n.Gossiper = membership.NewGossiper(n.Directory, n.Follower, config.Dialer, n.Clock, config.Random)
	n.Claims = claim.NewBook(config.Store, writer)
	n.Book = jobbook.NewBook(config.Store, writer)
	workers := config.NewWorkers(n.Directory.Endpoints)
	n.refresher = newTablesRefresher(n.Follower, n.Gossiper)
	n.Keeper = keeper.New(workers, n.Clock)
	n.Dispatcher = dispatch.New(
		config.Self, config.Accounts, workers, n.Claims, n.refresher, config.Random, n.endpointEjected)
	n.Controller = controller.New(controller.Dependencies{
		Store: config.Store, Book: n.Book, Directory: n.Directory, Follower: n.Follower, Dialer: config.Dialer,
		Keeper: n.Keeper, Workers: workers, Recorder: n.Recorder, Clock: n.Clock, Settings: config.Scheduler,
	})
	n.Jobs = jobs.New(n.Book, n.Follower, n.Directory, n.Controller, n.Recorder)
	n.Fleet = operator.NewFleet(n.Directory, n.Follower, n.Controller, n.Dispatcher, n.Recorder, config.Dialer)
	return n
}

// Start starts the node's background loops.
func (n *Node) Start() {
	n.Recorder.Record(timeline.VMStarted, string(n.Directory.Self().Name), "")
	for _, loop := range []func(context.Context){
		n.followList, n.followTables, n.Gossiper.Run, n.Keeper.Run, n.Controller.Run,
	} {
		n.loops.Go(func() { loop(n.context) })
	}
}

// Leave announces to the peers that the VM is shutting down and resigns the scheduler role. The VM is no longer ready,
// but accepts requests and jobs until Refuse is called.
func (n *Node) Leave() {
	n.Recorder.Record(timeline.VMLeaving, string(n.Directory.Self().Name), "")
	n.Directory.Leave()
	n.Controller.Resign()
	n.Gossiper.TriggerRound()
}

// Refuse makes the node refuse new requests and jobs, and waits for in-flight requests.
func (n *Node) Refuse() {
	n.Jobs.Leave()
	n.Dispatcher.Close()
}

// Close stops all loops, waits for them, and closes the claims and the job book.
func (n *Node) Close() {
	n.cancel()
	n.loops.Wait()
	n.Claims.Close()
	n.Book.Close()
}

// Ready reports whether callers should send new work to the VM. It returns false once the VM is shutting down.
func (n *Node) Ready() bool {
	return !n.Directory.Self().Leaving
}

func (n *Node) vmChanged(changed vm.VM, appeared bool) {
	if appeared {
		n.Recorder.Record(timeline.VMSeen, string(changed.Name), string(changed.FailureDomain))
		return
	}
	n.Recorder.Record(timeline.VMGone, string(changed.Name), string(changed.FailureDomain))
}

func (n *Node) tablesAdopted(adopted *table.Tables) {
	n.Recorder.Record(timeline.TablesAdopted, fmt.Sprintf("revision %d", adopted.Revision), "")
	n.refreshEndpoints()
	n.Controller.TablesChanged(n.context, adopted)
	n.Gossiper.TriggerRound()
}

func (n *Node) endpointEjected(name endpoint.Name) {
	n.Recorder.Record(timeline.EndpointEjected, string(name), "")
}

// refreshEndpoints passes the usable endpoints to the dispatcher: those that have slots, are not leaving and are in a
// failure domain in state In. If there are more live VMs than connections that an endpoint accepts, rendezvous hashing
// selects the VMs that may use the endpoint, as many as it accepts connections.
func (n *Node) refreshEndpoints() {
	current := n.Follower.Current()
	live := n.Directory.LiveNames()
	self := n.Directory.Self().Name
	var usable []endpoint.Endpoint
	for _, e := range n.Directory.Endpoints() {
		if e.Leaving || e.Slots == 0 || !current.IsIn(e.FailureDomain) {
			continue
		}
		if len(live) <= e.Connections || rendezvous.Among(string(e.Name), live, self, e.Connections) {
			usable = append(usable, e)
		}
	}
	n.Dispatcher.SetEndpoints(usable, len(live))
}

// followList reads the platform's list at regular intervals.
func (n *Node) followList(ctx context.Context) {
	n.every(ctx, listInterval, func(ctx context.Context) {
		if list, err := n.store.List(ctx); err == nil {
			n.Directory.SetList(list, time.Now())
		}
		n.refreshEndpoints()
	})
}

// followTables watches the tables' head on watchersPerDomain VMs of each failure domain. The other VMs are notified of
// edits by gossip, and read the head only if nothing has proven their tables current for staleAfter.
func (n *Node) followTables(ctx context.Context) {
	for ctx.Err() == nil {
		if n.isWatcher() {
			n.watchTables(ctx)
			continue
		}
		if n.Follower.Age(time.Now()) > staleAfter {
			n.withTimeout(ctx, callTimeout, n.refreshTables)
		}
		wait.For(ctx, refreshInterval)
	}
}

func (n *Node) refreshTables(ctx context.Context) {
	if err := n.Follower.Refresh(ctx); err != nil {
		n.log.Warn("reading the tables failed", "error", err)
	}
}

func (n *Node) watchTables(ctx context.Context) {
	n.withTimeout(ctx, callTimeout+watchTimeout, func(ctx context.Context) {
		if err := n.Follower.Watch(ctx, watchTimeout); err != nil && ctx.Err() == nil {
			n.log.Warn("watching the tables failed", "error", err)
			wait.For(ctx, refreshInterval)
		}
	})
}

func (n *Node) isWatcher() bool {
	return n.Directory.IsSelected("tables/"+string(n.Directory.Self().FailureDomain), watchersPerDomain)
}

func (n *Node) every(ctx context.Context, interval time.Duration, work func(context.Context)) {
	for ctx.Err() == nil {
		n.withTimeout(ctx, callTimeout, work)
		wait.For(ctx, interval)
	}
}

func (n *Node) withTimeout(ctx context.Context, limit time.Duration, work func(context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	work(ctx)
}
