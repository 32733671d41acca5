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

// fleet is a small site in one process and in virtual time: real nodes with fakes of the platform, the workers and the
// network.
type fleet struct {
	store   *platformstandin.Engine
	list    platform.List
	workers map[core.Name]*workerstandin.Engine
	nodes   map[vm.Name]*entry.Node
	events  []timeline.Event

	mu sync.Mutex
	// dead holds the names of the VMs and workers that neither send nor receive messages any more.
	dead map[string]bool
	// paused holds, for each paused VM, a channel that is closed when the VM resumes.
	paused map[string]chan struct{}
	// cutDomains holds the failure domains that are cut off from all other failure domains.
	// cutPlatform holds the failure domains that are cut off from the platform.
	cutDomains  map[domain.Name]bool
	cutPlatform map[domain.Name]bool
	// onCall is called before each call is delivered.
	onCall func(call)
	// loseReply, delayReply and deliverTwice each hold a prefix of step names. The fault affects the calls whose step
	// has this prefix. An empty prefix affects no call.
	loseReply    string
	delayReply   string
	deliverTwice string
	// delayedWriter is the VM whose writes reach the store long after the VM stopped waiting for them.
	delayedWriter vm.Name
	// background counts the goroutines for which close waits.
	background sync.WaitGroup
	// leaseLoop counts the goroutine that expires leases.
	leaseLoop sync.WaitGroup
	// ended is closed when the fleet is closed.
	ended chan struct{}
}

// call is one call from a VM to the platform, a peer or a worker.
type call struct {
	step string
	from vm.VM
	to   string
}

const (
	replyDelay = 1500 * time.Millisecond
	// writeDelay is longer than the time for which a scheduler keeps its role without reaching the store.
	writeDelay = 4500 * time.Millisecond
	// replacementDelay is the time after which the platform replaces a crashed VM.
	replacementDelay = 30 * time.Second
	replacementSeed  = 200
	// leaseCheckInterval is the time between two checks of the workers' leases.
	leaseCheckInterval = 50 * time.Millisecond
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
	f.leaseLoop.Go(f.expireLeases)
	return f
}

func (f *fleet) startNode(v vm.VM, seed uint64) {
	node := entry.NewNode(entry.Config{
		Self: v, Accounts: accounts, Store: &storeLink{fleet: f, from: v}, Dialer: &dialer{fleet: f, from: v},
		Scheduler: scheduler.DefaultSettings(), Random: rand.New(rand.NewPCG(seed, 1)), Log: hclog.NewNullLogger(),
		Observer: f.observe,
		NewWorkers: func(func() []core.Endpoint) entry.Workers {
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

// close closes every node and waits for all goroutines of the fleet.
func (f *fleet) close() {
	close(f.ended)
	f.resumeAll()
	for _, node := range f.nodes {
		f.background.Go(node.Close)
	}
	f.background.Wait()
	f.leaseLoop.Wait()
}

// expireLeases makes every worker check its leases at intervals of leaseCheckInterval. A worker ends each task whose
// lease has expired, without any message.
func (f *fleet) expireLeases() {
	for {
		select {
		case <-f.ended:
			return
		case <-time.After(leaseCheckInterval):
		}
		for _, w := range f.workers {
			w.ExpireLeases()
		}
	}
}

// kill cuts a VM off from all communication at once. It returns false if the VM was dead already.
func (f *fleet) kill(name vm.Name) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead[string(name)] {
		return false
	}
	f.dead[string(name)] = true
	return true
}

// crash kills a VM. The platform replaces it by a new VM after replacementDelay.
func (f *fleet) crash(old vm.VM) {
	if !f.kill(old.Name) {
		return
	}
	f.background.Go(func() {
		select {
		case <-time.After(replacementDelay):
		case <-f.ended:
			return
		}
		replacement := old
		replacement.Name = "new-" + old.Name
		f.replaceInList(old, replacement)
		f.startNode(replacement, replacementSeed)
		f.store.SetList(f.list)
	})
}

// replaceInList replaces a VM by another in the fleet's copy of the platform's list.
func (f *fleet) replaceInList(old, replacement vm.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list.VMs = slices.Clone(f.list.VMs)
	for i, v := range f.list.VMs {
		if v.Name == old.Name {
			f.list.VMs[i] = replacement
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
	if resumed, held := f.paused[string(name)]; held {
		close(resumed)
		delete(f.paused, string(name))
	}
}

func (f *fleet) resumeAll() {
	for _, v := range f.list.VMs {
		f.resume(v.Name)
	}
}

// waitWhilePaused blocks while the calling VM is paused. It returns an error if the call's deadline passed during the
// pause.
func (f *fleet) waitWhilePaused(ctx context.Context, name string) error {
	if resumed := f.resumeSignal(name); resumed != nil {
		<-resumed
	}
	return ctx.Err()
}

// waitForReceiver blocks while the receiver is paused, at most until the call's deadline.
func (f *fleet) waitForReceiver(ctx context.Context, name string) error {
	if resumed := f.resumeSignal(name); resumed != nil {
		select {
		case <-resumed:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (f *fleet) resumeSignal(name string) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paused[name]
}

// deliver waits while the sender or the receiver is paused and reports whether the call reaches its receiver. toDomain
// is the receiver's failure domain, empty if the receiver is the platform.
func (f *fleet) deliver(ctx context.Context, c call, toDomain domain.Name) bool {
	f.onCall(c)
	if f.waitWhilePaused(ctx, string(c.from.Name)) != nil || f.waitForReceiver(ctx, c.to) != nil {
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

// replyArrives applies the fleet's faults that concern replies to a call, and reports whether the call's reply arrives.
func (f *fleet) replyArrives(ctx context.Context, c call) bool {
	f.mu.Lock()
	lost := f.loseReply != "" && strings.HasPrefix(c.step, f.loseReply)
	late := f.delayReply != "" && strings.HasPrefix(c.step, f.delayReply)
	f.mu.Unlock()
	if late {
		time.Sleep(replyDelay)
	}
	_ = f.waitWhilePaused(ctx, string(c.from.Name))
	f.mu.Lock()
	defer f.mu.Unlock()
	return !lost && !f.dead[string(c.from.Name)] && ctx.Err() == nil
}

func (f *fleet) deliversTwice(c call) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deliverTwice != "" && strings.HasPrefix(c.step, f.deliverTwice)
}

func (f *fleet) delaysWrites(v vm.VM) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delayedWriter == v.Name
}
