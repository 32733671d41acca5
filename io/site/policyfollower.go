package site

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"auburnstack/io/policywatch"
	"auburnstack/io/relay"
	"auburnstack/io/wait"
)

const (
	// askInterval is the time between two rounds of questions to other VMs while nothing proves that this VM's
	// configuration is the newest.
	askInterval = 300 * time.Millisecond
	// askAfterShare is the share of the largest age of a proof after which a VM asks other VMs for a newer one. A VM that
	// the store does not answer asks earlier, after refusedAskAfterShare.
	askAfterShare        = 0.9
	refusedAskAfterShare = 0.5
	// announceDelay is the time that a VM's own watch has to bring a configuration that another VM has announced.
	announceDelay = 150 * time.Millisecond
	// contentTimeout is the timeout of a call that returns the content of a configuration. It may hold a megabyte and
	// travel over a link of 10 Mbit/s.
	contentTimeout = 3 * time.Second
	// maxContentCalls is the number of calls for the content of a configuration that a VM makes at a time.
	maxContentCalls = 2
	// randomSources is the number of VMs, besides the leader, that are asked in each round.
	randomSources = 2
)

// policyFollower asks other VMs for their configuration: a VM that has announced a newer one, and any VMs as long as
// the store does not prove which one is the newest.
type policyFollower struct {
	node *Node
	// maxAge is the largest age of a proof with which the VM may answer by its configuration.
	maxAge time.Duration
	// announcements holds what other VMs have announced.
	announcements chan announcement
	// contentCalls has a place for each call that returns a content.
	contentCalls chan struct{}
	questions    sync.WaitGroup

	mu sync.Mutex
	// asked holds the VMs that have not answered a question yet.
	asked map[netip.AddrPort]bool
}

// announcement says that a VM has a configuration.
type announcement struct {
	address netip.AddrPort
	version policywatch.Version
}

// newPolicyFollower returns a follower for a site in which a change must be in force within applyLimit.
func newPolicyFollower(n *Node, applyLimit time.Duration) *policyFollower {
	return &policyFollower{
		node: n, maxAge: policywatch.MaxAge(applyLimit),
		announcements: make(chan announcement, 16), contentCalls: make(chan struct{}, maxContentCalls),
		asked: map[netip.AddrPort]bool{},
	}
}

// announced makes the follower ask the VM at an address for its configuration if that is newer.
func (f *policyFollower) announced(address netip.AddrPort, version policywatch.Version) {
	if !version.Newer(f.node.watcher.Current().Version) {
		return
	}
	select {
	case f.announcements <- announcement{address: address, version: version}:
	default:
		// The leader announces its configuration with each heartbeat.
	}
}

// run asks other VMs until the context ends.
func (f *policyFollower) run(ctx context.Context) {
	defer f.questions.Wait()
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-f.announcements:
			f.askLater(ctx, a)
		case <-ticker.C:
			if f.needsProof() {
				f.askAny(ctx)
			}
		}
	}
}

// needsProof reports whether the last proof is so old that other VMs should be asked for a newer one.
func (f *policyFollower) needsProof() bool {
	share := askAfterShare
	if !f.node.store.Answering() {
		share = refusedAskAfterShare
	}
	age := f.node.watcher.Age(f.node.watcher.Current())
	return age > time.Duration(share*float64(f.maxAge))
}

// askLater asks the VM that has made an announcement, unless this VM has got the configuration by then.
func (f *policyFollower) askLater(ctx context.Context, a announcement) {
	f.begin(a.address, func() {
		wait.For(ctx, announceDelay)
		if a.version.Newer(f.node.watcher.Current().Version) {
			f.ask(ctx, a.address)
		}
	})
}

// askAny asks the leader and some other VMs.
func (f *policyFollower) askAny(ctx context.Context) {
	for _, address := range f.node.members.policySources() {
		f.begin(address, func() { f.ask(ctx, address) })
	}
}

// begin runs a question to the VM at an address in a goroutine, unless another one to this VM is under way.
func (f *policyFollower) begin(address netip.AddrPort, question func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asked[address] {
		return
	}
	f.asked[address] = true
	f.questions.Go(func() {
		question()
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.asked, address)
	})
}

// ask asks the VM at an address for the version of its configuration, and for the content if it is newer.
func (f *policyFollower) ask(ctx context.Context, address netip.AddrPort) {
	if version := f.call(ctx, address, false, askTimeout); !version.Newer(f.node.watcher.Current().Version) {
		return
	}
	select {
	case f.contentCalls <- struct{}{}:
		f.call(ctx, address, true, contentTimeout)
		<-f.contentCalls
	default:
		// Other VMs are sending the content already.
	}
}

// call asks a VM once, takes over what it answers, and returns the version of its configuration.
func (f *policyFollower) call(
	ctx context.Context, address netip.AddrPort, content bool, timeout time.Duration,
) policywatch.Version {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	known, asked := f.node.watcher.Current(), f.node.watcher.Now()
	request := relay.PolicyRequest{Known: known.Version, Content: content}
	reply, err := f.node.config.Peers.Peer(address).Configuration(ctx, request)
	if err != nil {
		f.node.config.Log.Debug("asking for the configuration failed", "address", address.String(), "error", err.Error())
		return policywatch.Version{}
	}
	f.take(known, reply, asked)
	return reply.Version
}

// take adopts the configuration in a reply, or the proof that the known one is the newest. The other VM was asked at
// the reading asked of the clock, so its proof is at least as old as it was then.
func (f *policyFollower) take(known *policywatch.Snapshot, reply relay.PolicyReply, asked time.Duration) {
	next := policywatch.Snapshot{
		Policy: reply.Policy, Version: reply.Version, CurrentAt: policywatch.Never, OperationsAt: policywatch.Never,
	}
	if reply.Proven {
		next.CurrentAt = asked - reply.Age
	}
	if !reply.Version.Uncertain() {
		next.OperationsAt = next.CurrentAt
	}
	if reply.Partial && reply.Policy != nil && known.Policy != nil {
		merged := *known.Policy
		merged.Out, merged.Waves = reply.Policy.Out, reply.Policy.Waves
		next.Policy = &merged
	}
	f.node.watcher.Offer(&next)
}
