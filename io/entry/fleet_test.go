package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"auburnstack/core/account"
	"auburnstack/core/domain"
	core "auburnstack/core/endpoint"
	"auburnstack/core/scheduler"
	"auburnstack/core/timeline"
	"auburnstack/core/vm"
	"auburnstack/io/entry"
	"auburnstack/io/platform"
	platformstandin "auburnstack/standin/platform"
	workerstandin "auburnstack/standin/worker"
)

// fleet is a small site in one process: real nodes with fakes at their interfaces, in virtual time.
type fleet struct {
	store   *platformstandin.Engine
	list    platform.List
	workers map[core.Name]*workerstandin.Engine
	nodes   map[vm.Name]*entry.Node
	events  []timeline.Event

	mu sync.Mutex
	// dead VMs and workers neither send nor receive.
	dead map[string]bool
	// paused holds, for each paused VM, a channel that is closed when it goes on.
	paused map[string]chan struct{}
	// cutDomains are cut from all others, cutPlatform from the platform.
	cutDomains  map[domain.Name]bool
	cutPlatform map[domain.Name]bool
	// onCall is told of every call before it is delivered.
	onCall func(call)
	// loseReply, delay and repeat apply to calls of the given step.
	loseReply string
	late      string
	repeat    string
	// lateWriter is the VM whose writes reach the store late, long after it stopped waiting for them.
	lateWriter vm.Name
	closing    sync.WaitGroup
	// lapsing ends with the fleet.
	lapsing sync.WaitGroup
	// ended is closed when the fleet closes.
	ended chan struct{}
}

// call is one message from a VM.
type call struct {
	step string
	from vm.VM
	to   string
}

const (
	lateBy = 1500 * time.Millisecond
	// writeLateBy is longer than the scheduler's role lasts without the store.
	writeLateBy = 4500 * time.Millisecond
	// replacedAfter is the time after which the platform replaces a VM that has crashed.
	replacedAfter   = 30 * time.Second
	replacementSeed = 200
	// lapseInterval is the time between two looks at the workers' leases.
	lapseInterval = 50 * time.Millisecond
)

var accounts = []account.Account{
	{Name: "Desks", Credential: "d", Weight: 2}, {Name: "Auditors", Credential: "a", Weight: 1},
}

const (
	domainsOfFleet = 2
	vmsPerDomain   = 2
	workersPerRack = 2
	racksPerDomain = 2
)

func newFleet(seed uint64) *fleet {
	f := &fleet{
		store: platformstandin.New(), workers: map[core.Name]*workerstandin.Engine{},
		nodes: map[vm.Name]*entry.Node{}, dead: map[string]bool{}, paused: map[string]chan struct{}{},
		cutDomains: map[domain.Name]bool{}, cutPlatform: map[domain.Name]bool{}, onCall: func(call) {},
		ended: make(chan struct{}),
	}
	checkpoints := workerstandin.NewCheckpoints()
	for d := range domainsOfFleet {
		home := domain.Name([]string{"North", "East"}[d])
		for i := range vmsPerDomain {
			f.list.VMs = append(f.list.VMs, vm.VM{Name: vm.Name(fmt.Sprintf("%s-vm-%d", home, i)), FailureDomain: home})
		}
		for i := range workersPerRack * racksPerDomain {
			e := core.Endpoint{
				Name: core.Name(fmt.Sprintf("%s-%d", home, i)), FailureDomain: home,
				Rack:  core.Rack(fmt.Sprintf("%s-rack-%d", home, i/workersPerRack)),
				Slots: 4, Connections: 16, Accelerators: 8,
			}
			f.list.Endpoints = append(f.list.Endpoints, e)
			f.workers[e.Name] = workerstandin.New(e, uint64(i+1), checkpoints)
		}
	}
	f.store.SetList(f.list)
	for i, v := range f.list.VMs {
		f.startNode(v, seed+uint64(i))
	}
	f.lapsing.Go(f.lapseWorkers)
	return f
}

func (f *fleet) startNode(v vm.VM, seed uint64) {
	node := entry.NewNode(entry.Config{
		Self: v, Accounts: accounts, Store: &storeLink{fleet: f, from: v}, Dialer: &dialer{fleet: f, from: v},
		Scheduler: scheduler.DefaultSettings(), Random: rand.New(rand.NewPCG(seed, 1)), Log: hclog.NewNullLogger(),
		Observer: f.observe,
		Workers: func(func() []core.Endpoint) entry.Workers {
			return &workersLink{fleet: f, from: v}
		},
	})
	f.mu.Lock()
	f.nodes[v.Name] = node
	f.mu.Unlock()
	node.Start()
}

func (f *fleet) observe(event timeline.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, event)
}

// close ends every node and waits.
func (f *fleet) close() {
	close(f.ended)
	f.resumeAll()
	for _, node := range f.nodes {
		f.closing.Go(node.Close)
	}
	f.closing.Wait()
	f.lapsing.Wait()
}

// lapseWorkers lets leases end on the workers without a message.
func (f *fleet) lapseWorkers() {
	for {
		select {
		case <-f.ended:
			return
		case <-time.After(lapseInterval):
		}
		for _, w := range f.workers {
			w.ExpireLeases()
		}
	}
}

// kill makes a VM fall silent at once. It returns false when the VM was dead already.
func (f *fleet) kill(name vm.Name) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead[string(name)] {
		return false
	}
	f.dead[string(name)] = true
	return true
}

// crash kills a VM, for which the platform starts another after a while.
func (f *fleet) crash(old vm.VM) {
	if !f.kill(old.Name) {
		return
	}
	f.closing.Go(func() {
		select {
		case <-time.After(replacedAfter):
		case <-f.ended:
			return
		}
		fresh := old
		fresh.Name = "new-" + old.Name
		f.relist(old, fresh)
		f.startNode(fresh, replacementSeed)
		f.store.SetList(f.list)
	})
}

// relist puts one VM in the place of another in the platform's list.
func (f *fleet) relist(old, fresh vm.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list.VMs = slices.Clone(f.list.VMs)
	for i, v := range f.list.VMs {
		if v.Name == old.Name {
			f.list.VMs[i] = fresh
		}
	}
}

func (f *fleet) killWorker(name core.Name) {
	f.mu.Lock()
	f.dead[string(name)] = true
	f.mu.Unlock()
	f.workers[name].Crash()
}

func (f *fleet) pause(name vm.Name, duration time.Duration) {
	f.mu.Lock()
	f.paused[string(name)] = make(chan struct{})
	f.mu.Unlock()
	time.AfterFunc(duration, func() { f.resume(name) })
}

func (f *fleet) resume(name vm.Name) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if gate, held := f.paused[string(name)]; held {
		close(gate)
		delete(f.paused, string(name))
	}
}

func (f *fleet) resumeAll() {
	for _, v := range f.list.VMs {
		f.resume(v.Name)
	}
}

// waitGate blocks while the calling VM is paused. A call that outlives its deadline meanwhile is not delivered.
func (f *fleet) waitGate(ctx context.Context, name string) error {
	if gate := f.gate(name); gate != nil {
		<-gate
	}
	return ctx.Err()
}

// waitReceiver waits for a paused receiver no longer than the caller does.
func (f *fleet) waitReceiver(ctx context.Context, name string) error {
	if gate := f.gate(name); gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (f *fleet) gate(name string) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paused[name]
}

// deliver tells whether a call reaches its receiver. toDomain is empty for the platform.
func (f *fleet) deliver(ctx context.Context, c call, toDomain domain.Name) bool {
	f.onCall(c)
	if f.waitGate(ctx, string(c.from.Name)) != nil || f.waitReceiver(ctx, c.to) != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead[string(c.from.Name)] || f.dead[c.to] {
		return false
	}
	if toDomain == "" {
		return !f.cutPlatform[c.from.FailureDomain]
	}
	return toDomain == c.from.FailureDomain || !f.cutDomains[toDomain] && !f.cutDomains[c.from.FailureDomain]
}

// after applies what happens to replies, and tells whether the reply arrives.
func (f *fleet) after(ctx context.Context, c call) bool {
	f.mu.Lock()
	lost := f.loseReply != "" && strings.HasPrefix(c.step, f.loseReply)
	late := f.late != "" && strings.HasPrefix(c.step, f.late)
	f.mu.Unlock()
	if late {
		time.Sleep(lateBy)
	}
	_ = f.waitGate(ctx, string(c.from.Name))
	f.mu.Lock()
	defer f.mu.Unlock()
	return !lost && !f.dead[string(c.from.Name)] && ctx.Err() == nil
}

func (f *fleet) repeats(c call) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.repeat != "" && strings.HasPrefix(c.step, f.repeat)
}

func (f *fleet) writesLate(v vm.VM) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lateWriter == v.Name
}
