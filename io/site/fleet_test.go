package site

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"auburnstack/core/answer"
	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/core/policy"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
	"auburnstack/core/upkeep"
	"auburnstack/core/vm"
	"auburnstack/io/relay"
	"auburnstack/io/store"
	"auburnstack/standin/memstore"
	"auburnstack/standin/memworker"
)

const (
	testKey     = "secret"
	testHost    = "site.example"
	urgentQueue = "/urgent/"
	batchQueue  = "/batch/"
	// valueLimit is the largest size of a value in the store, in bytes. It is far below that of the platform, so that jobs
	// of a few thousand tasks show values that grow with the number of tasks.
	valueLimit = 64 << 10
	// applyLimit is the time within which a change of the configuration must be in force.
	applyLimit = 2 * time.Second
	// evacuateLimit is the time after which nothing may start in a failure domain that was taken out of service.
	evacuateLimit = 5 * time.Second
	// advisedQueue accepts jobs whose tasks start only with a ticket of the adviser, the service that knows on which
	// workers they may run.
	advisedQueue = "/advised/"
)

// testCodec decodes records that hold the types of this code base as JSON.
type testCodec struct{ prefix string }

func (c testCodec) Prefix() string { return c.prefix }
func (c testCodec) Key() string    { return "op/config" }

func (c testCodec) Decode(item store.Item) (roster.Worker, error) {
	var w roster.Worker
	err := json.Unmarshal(item.Value, &w)
	return w, errors.WithStack(err)
}

type policyCodec struct{ testCodec }

func (c policyCodec) Decode(items map[string]store.Item) (*policy.Policy, error) {
	p := &policy.Policy{}
	err := json.Unmarshal(items[c.Key()].Value, p)
	return p, errors.WithStack(err)
}

type upkeepCodec struct{}

func (upkeepCodec) StatusKey(number upkeep.Number) string { return fmt.Sprintf("status/%d", number) }

func (upkeepCodec) EncodeStatus(record upkeep.Record) ([]byte, error) {
	value, err := json.Marshal(record)
	return value, errors.WithStack(err)
}

type jobCodec struct{}

func (jobCodec) DecodeJob(body []byte) (*graph.Job, error) {
	job := &graph.Job{}
	err := json.Unmarshal(body, job)
	return job, errors.WithStack(err)
}

// network connects the nodes of a test site.
type network struct {
	mu    sync.Mutex
	nodes map[netip.AddrPort]*Node
	// cut holds the VMs that are cut off from all other VMs.
	cut map[netip.AddrPort]bool
	// exchanges is the number of all heartbeats and announcements. memberLists is the number of messages among them that
	// carried a list of members. questions is the number of questions for the configuration, and policies the number of
	// their replies that carried the whole content.
	messageCounts
}

// reach returns the node at the address to, or nil if that node does not run or a cut separates it from the sender.
func (n *network) reach(from, to netip.AddrPort) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[from] || n.cut[to] {
		return nil
	}
	return n.nodes[to]
}

// countPolicy increases the counter questions by 1, and policies by 1 if the reply carries the whole content.
func (n *network) countPolicy(reply relay.PolicyReply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.questions++
	if reply.Policy != nil && !reply.Partial {
		n.policies++
	}
}

// count increases the counter exchanges by 1, and memberLists by 1 if the heartbeat carries a list of members.
func (n *network) count(h relay.Heartbeat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.exchanges++
	if len(h.Members) > 0 {
		n.memberLists++
	}
}

// messageCounts are numbers of messages between VMs.
type messageCounts struct{ exchanges, memberLists, questions, policies int }

// takeCounts returns the numbers of messages since its last call, and resets them to zero.
func (n *network) takeCounts() messageCounts {
	n.mu.Lock()
	defer n.mu.Unlock()
	counts := n.messageCounts
	n.messageCounts = messageCounts{}
	return counts
}

func (n *network) set(address netip.AddrPort, node *Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = node
}

func (n *network) setCut(address netip.AddrPort, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

// dialer is the relay.Dialer of one VM.
type dialer struct {
	network *network
	self    netip.AddrPort
}

func (d dialer) Retain([]relay.Member) {}

func (d dialer) Peer(address netip.AddrPort) relay.Peer {
	return &link{dialer: d, to: address}
}

// link is the relay.Peer for calls from one VM to another.
type link struct {
	dialer
	to netip.AddrPort
}

// peerLatency is the duration of a call between two VMs.
const peerLatency = time.Millisecond

// node returns the node of the called VM. If that VM cannot be reached, the call gets no answer.
func (l *link) node(ctx context.Context) (*Node, error) {
	node := l.network.reach(l.self, l.to)
	if node == nil {
		<-ctx.Done()
		return nil, relay.ErrUnanswered
	}
	time.Sleep(peerLatency)
	return node, nil
}

func (l *link) Exchange(ctx context.Context, h relay.Heartbeat) (relay.HeartbeatReply, error) {
	node, err := l.node(ctx)
	if err != nil {
		return relay.HeartbeatReply{}, err
	}
	l.network.count(h)
	return node.Exchange(h), nil
}

func (l *link) Configuration(ctx context.Context, r relay.PolicyRequest) (relay.PolicyReply, error) {
	node, err := l.node(ctx)
	if err != nil {
		return relay.PolicyReply{}, err
	}
	reply := node.Configuration(r)
	l.network.countPolicy(reply)
	return reply, nil
}

func (l *link) Handle(ctx context.Context, r relay.Request) (answer.Answer, error) {
	node, err := l.node(ctx)
	if err != nil {
		return answer.Answer{}, err
	}
	return node.Handle(ctx, r), nil
}

func (l *link) Ask(ctx context.Context, job graph.ID) (relay.JobState, error) {
	node, err := l.node(ctx)
	if err != nil {
		return relay.JobState{}, err
	}
	return node.Ask(ctx, job), nil
}

// fleet is a site in one process: a store, workers and VMs, in virtual time.
type fleet struct {
	t           *testing.T
	store       *memstore.Service
	workers     *memworker.Fleet
	workerNames []endpoint.Name
	// inventory holds one machine for each worker. waves holds the upkeep that the operators have ordered.
	inventory *memworker.Inventory
	waves     []upkeep.Wave
	// limit is the limit of the account that submits all jobs.
	limit     resources.Amounts
	network   *network
	vms       []*testVM
	log       hclog.Logger
	startedAt time.Time
	// stopBeats ends the workers' writes of their registrations.
	stopBeats func()
	// beatsHeld is set while the workers can't write their registrations.
	beatsHeld atomic.Bool

	mu            sync.Mutex
	lastJobNumber int
	// disruptions holds the faults of VMs and of the store that have ended.
	disruptions []disruption
	// departures holds the workers that have left for good while they ran tasks.
	departures []memworker.Departure
	// troubled holds the jobs that the faults have submitted.
	troubled troubledJobs
}

// testVM is a VM that can be killed and restarted. incarnations is the number of times that the VM was started.
type testVM struct {
	fleet        *fleet
	name         vm.Name
	address      netip.AddrPort
	client       *memstore.Client
	node         *Node
	incarnations int
}

// newFleet starts a site with the given numbers of VMs and workers. The seed determines the random faults of the store
// and the workers.
func newFleet(t *testing.T, seed uint64, vms, workers int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, store: memstore.New(seed), workers: memworker.New(seed), startedAt: time.Now(),
		network: &network{nodes: map[netip.AddrPort]*Node{}, cut: map[netip.AddrPort]bool{}},
		log:     hclog.New(&hclog.LoggerOptions{Output: io.Discard}),
	}
	f.store.SetValueLimit(valueLimit)
	f.putPolicy(1)
	for i := range workers {
		f.addWorker(i, "assay")
	}
	f.inventory = memworker.NewInventory(f.workers, f.updateRegistrations)
	for i := range vms {
		v := &testVM{
			fleet: f, name: vm.Name(fmt.Sprintf("vm-%d", i)),
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000), client: f.store.Client(),
		}
		f.vms = append(f.vms, v)
		v.start()
	}
	f.stopBeats = f.workers.StartBeats(f.names, f.beat)
	return f
}

// addWorker adds and registers the worker with the given number, in a service.
func (f *fleet) addWorker(i int, service string) {
	name := endpoint.Name(fmt.Sprintf("worker-%02d", i))
	f.workers.Add(roster.Worker{
		Name: name, Service: service, FailureDomain: domain.Name([]string{"north", "south"}[i%2]),
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80),
		Capacity: fullCapacity,
		Rack:     endpoint.Rack(fmt.Sprintf("rack-%d", i%2)), Labels: []string{usualKind},
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workerNames = append(slices.Clone(f.workerNames), name)
	f.register(name)
}

// register stores the registration of a worker.
func (f *fleet) register(name endpoint.Name) {
	value, err := json.Marshal(f.workers.Info(name))
	qt.Assert(f.t, err, qt.IsNil)
	f.store.Put("servers/"+string(name), value)
}

// updateRegistrations removes the registration of a worker that an upkeep has ended, and stores the registration of a
// new worker. Either name may be empty.
func (f *fleet) updateRegistrations(removed, added endpoint.Name) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if removed != "" {
		f.workerNames = slices.DeleteFunc(slices.Clone(f.workerNames), func(n endpoint.Name) bool { return n == removed })
		f.store.Remove("servers/" + string(removed))
	}
	if added != "" {
		f.workerNames = append(slices.Clone(f.workerNames), added)
		f.register(added)
	}
}

// putPolicy stores a configuration with the urgent, advised and batch queues.
func (f *fleet) putPolicy(version policy.Version) {
	f.putQueues(version, policy.Queue{
		Name: "batch", Host: testHost, Prefix: batchQueue, Service: "assay", Priority: 2, MaxAttempts: 3, Stretch: 3,
	})
}

// putQueues stores a configuration with the urgent and advised queues and, in place of the batch queue, the queue given
// as last.
func (f *fleet) putQueues(version policy.Version, last policy.Queue) {
	value, err := json.Marshal(policy.Policy{
		Version: version,
		Queues: []policy.Queue{
			{Name: "urgent", Host: testHost, Prefix: urgentQueue, Service: "assay", MaxAttempts: 3, Stretch: 2},
			last,
			{
				Name: "advised", Host: testHost, Prefix: advisedQueue, Service: "assay", Priority: 1,
				MaxAttempts: 3, Stretch: 3,
				Advice: &policy.Advice{
					Decision: 50 * time.Millisecond, Period: 5 * time.Millisecond, Validity: 3 * time.Second,
				},
			},
		},
		Waves: f.waves,
		Accounts: []policy.Account{{
			Name: "refiner", Keys: []policy.Key{policy.Digest(testKey)}, Guaranteed: 32, Limit: f.limit,
		}},
	})
	qt.Assert(f.t, err, qt.IsNil)
	f.store.Put("op/config", value)
}

func (v *testVM) start() {
	f := v.fleet
	v.incarnations++
	v.node = New(Config{
		Name: v.name, Incarnation: fmt.Sprintf("%s-%d", v.name, v.incarnations), Address: v.address,
		Peers: dialer{network: f.network, self: v.address}, Seeds: []netip.AddrPort{f.vms[0].address},
		Store: v.client, Workers: f.workers.DialerOf(v.name), Adviser: f.workers, Inventory: f.inventory,
		Codecs: Codecs{
			Policy: policyCodec{testCodec{"op/"}}, Roster: testCodec{"servers/"},
			Jobs: jobCodec{}, Upkeep: upkeepCodec{},
		},
		ValueLimit: valueLimit, ApplyLimit: applyLimit, EvacuateLimit: evacuateLimit,
		Planner: planner.Settings{
			LeaseLimit: 10 * time.Second, RegistrationInterval: memworker.RegistrationInterval, StopTime: 400 * time.Millisecond,
			RemoteFactor: 3, EarlyStart: 250 * time.Millisecond, RetainFinal: time.Hour,
		},
		Clock:   func() time.Duration { return time.Since(f.startedAt) },
		Metrics: metrics.NewSet(), Log: f.log,
	})
	f.network.set(v.address, v.node)
}

// kill simulates the crash of a VM. It isolates the VM before it closes it, so that nothing that the VM does while it
// closes takes effect.
func (v *testVM) kill() {
	v.isolate(true)
	v.fleet.network.set(v.address, nil)
	v.node.Close()
}

// restart starts a killed VM again and reconnects it.
func (v *testVM) restart() {
	v.isolate(false)
	v.start()
}

// isolate cuts the VM off from the store and from the other VMs if cut is set, and reconnects it otherwise.
func (v *testVM) isolate(cut bool) {
	v.client.SetFaults(memstore.Faults{Down: cut})
	v.fleet.network.setCut(v.address, cut)
}

// leader returns the VM that leads, or nil.
func (f *fleet) leader() *testVM {
	for _, v := range f.vms {
		if _, leading := v.node.coordinator.Pending(); leading {
			return v
		}
	}
	return nil
}

// submit submits a job to the VMs in turn until one accepts it, and returns its ID. The plan determines how the job's
// tasks behave.
func (f *fleet) submit(queue string, steps []graph.Step, plan memworker.Plan) graph.ID {
	f.t.Helper()
	f.mu.Lock()
	f.lastJobNumber++
	number := f.lastJobNumber
	f.mu.Unlock()
	id := graph.ID(fmt.Sprintf("%016x", number))
	plan.Needs, plan.Label = steps[0].Reserved(), steps[0].Label
	f.workers.SetPlan(id, plan)
	body, err := json.Marshal(graph.Job{Steps: steps})
	qt.Assert(f.t, err, qt.IsNil)
	for try := range 60 {
		v := f.vms[(number+try)%len(f.vms)]
		a := v.serve("POST", queue+string(id), body)
		if a.Kind == answer.Done {
			return id
		}
		time.Sleep(max(a.RetryAfter, 200*time.Millisecond))
	}
	f.t.Fatalf("job %s was never accepted", id)
	return ""
}

// serve sends a request of a caller to the VM.
func (v *testVM) serve(method, path string, body []byte) answer.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return v.node.Serve(ctx, relay.Request{Method: method, Host: testHost, Path: path, Key: testKey, Body: body})
}

// state asks the VMs in turn for the state of a job, and returns the first answer, or an empty state if none answers.
func (f *fleet) state(queue string, id graph.ID) graph.State {
	for _, v := range f.vms {
		if a := v.serve("GET", queue+string(id), nil); a.Kind == answer.State {
			return a.State
		}
	}
	return ""
}

// awaitAll waits until all given jobs are in the wanted state, at most for the duration limit, and returns the jobs
// that are not in that state.
func (f *fleet) awaitAll(queue string, jobs []graph.ID, want graph.State, limit time.Duration) []graph.ID {
	deadline := time.Now().Add(limit)
	for {
		var missing []graph.ID
		for _, id := range jobs {
			if f.state(queue, id) != want {
				missing = append(missing, id)
			}
		}
		if len(missing) == 0 || time.Now().After(deadline) {
			return missing
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (f *fleet) close() {
	f.stopBeats()
	for _, v := range f.vms {
		v.isolate(false)
		v.node.Close()
	}
}

// checkNoViolations fails the test if the workers have seen something that must never happen, such as a task that runs
// twice at a time.
func (f *fleet) checkNoViolations() {
	f.t.Helper()
	qt.Assert(f.t, strings.Join(f.workers.Violations(), "\n"), qt.Equals, "")
	qt.Assert(f.t, f.store.Rejections(), qt.Equals, 0)
}

// oneStep returns the steps of a job that has a single step with identical tasks.
func oneStep(tasks int, gang bool, accelerators int64) []graph.Step {
	return []graph.Step{{
		Tasks: tasks, Gang: gang, Label: usualKind, Estimate: 2 * time.Second,
		Needs:        resources.Amounts{CPU: 1000, Memory: 1000, Accelerators: accelerators},
		AbsenceLimit: -1,
	}}
}
