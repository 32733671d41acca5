package entry_test

import (
	"context"
	"time"

	core "auburnstack/core/endpoint"
	"auburnstack/core/table"
	"auburnstack/core/vm"
	"auburnstack/io/endpoint"
	"auburnstack/io/entry"
	"auburnstack/io/peer"
	"auburnstack/io/platform"
	workerstandin "auburnstack/standin/worker"
)

// storeLink is one VM's connection to the platform; calls through it are subject to the fleet's faults.
type storeLink struct {
	fleet *fleet
	from  vm.VM
}

func callStore[Reply any](
	ctx context.Context, l *storeLink, step string, do func() (Reply, error),
) (Reply, error) {
	var none Reply
	c := call{step: "store." + step, from: l.from, to: "platform"}
	if !l.fleet.deliver(ctx, c, "") {
		return none, platform.ErrUnavailable
	}
	reply, err := do()
	if !l.fleet.replyArrives(ctx, c) {
		return none, platform.ErrUnavailable
	}
	return reply, err
}

func (l *storeLink) Get(ctx context.Context, key string) (platform.Entry, error) {
	return callStore(ctx, l, "get."+key, func() (platform.Entry, error) { return l.fleet.store.Get(ctx, key) })
}

func (l *storeLink) CompareAndSwap(
	ctx context.Context, key string, expected platform.Revision, value []byte, lease platform.LeaseID,
) (platform.Revision, error) {
	return callStore(ctx, l, "cas."+key, func() (platform.Revision, error) {
		if l.fleet.delaysWrites(l.from) {
			time.Sleep(writeDelay)
		}
		return l.fleet.store.CompareAndSwap(ctx, key, expected, value, lease)
	})
}

func (l *storeLink) Remove(ctx context.Context, key string, expected platform.Revision) error {
	_, err := callStore(ctx, l, "remove."+key, func() (struct{}, error) {
		return struct{}{}, l.fleet.store.Remove(ctx, key, expected)
	})
	return err
}

func (l *storeLink) Changes(
	ctx context.Context, prefix string, since platform.Revision, wait time.Duration,
) (platform.Changes, error) {
	return callStore(ctx, l, "changes."+prefix, func() (platform.Changes, error) {
		return l.fleet.store.Changes(ctx, prefix, since, wait)
	})
}

func (l *storeLink) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return callStore(ctx, l, "lease", func() (platform.LeaseID, error) { return l.fleet.store.GrantLease(ctx, ttl) })
}

func (l *storeLink) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	_, err := callStore(ctx, l, "keepalive", func() (struct{}, error) {
		return struct{}{}, l.fleet.store.KeepAlive(ctx, lease)
	})
	return err
}

func (l *storeLink) List(ctx context.Context) (platform.List, error) {
	return callStore(ctx, l, "list", func() (platform.List, error) { return l.fleet.store.List(ctx) })
}

// dialer returns one VM's connections to the other VMs; calls through them are subject to the fleet's faults.
type dialer struct {
	fleet *fleet
	from  vm.VM
}

func (d *dialer) Peer(target vm.VM) peer.Peer {
	return &peerLink{fleet: d.fleet, from: d.from, to: target}
}

type peerLink struct {
	fleet *fleet
	from  vm.VM
	to    vm.VM
}

func callPeer[Reply any](
	ctx context.Context, l *peerLink, step string, do func(peer.Peer) (Reply, error),
) (Reply, error) {
	var none Reply
	c := call{step: "peer." + step, from: l.from, to: string(l.to.Name)}
	if !l.fleet.deliver(ctx, c, l.to.FailureDomain) {
		return none, peer.ErrUnreachable
	}
	l.fleet.mu.Lock()
	node := l.fleet.nodes[l.to.Name]
	l.fleet.mu.Unlock()
	if node == nil {
		return none, peer.ErrUnreachable
	}
	replied := make(chan answer[Reply], 1)
	l.fleet.background.Go(func() {
		reply, err := do(entry.NewPeerHandler(node))
		if l.fleet.deliversTwice(c) {
			reply, err = do(entry.NewPeerHandler(node))
		}
		replied <- answer[Reply]{reply: reply, err: err}
	})
	select {
	case a := <-replied:
		if l.fleet.replyArrives(ctx, c) {
			return a.reply, a.err
		}
	case <-ctx.Done():
		// A receiver that is paused while it handles the call must not block the caller beyond its deadline.
	}
	return none, peer.ErrUnreachable
}

type answer[Reply any] struct {
	reply Reply
	err   error
}

func (l *peerLink) Gossip(ctx context.Context, heartbeat peer.Heartbeat) (peer.Heartbeat, error) {
	return callPeer(ctx, l, "gossip", func(p peer.Peer) (peer.Heartbeat, error) { return p.Gossip(ctx, heartbeat) })
}

func (l *peerLink) FetchTables(ctx context.Context, since table.Revision) (peer.TablesReply, error) {
	return callPeer(ctx, l, "tables", func(p peer.Peer) (peer.TablesReply, error) { return p.FetchTables(ctx, since) })
}

func (l *peerLink) Keep(ctx context.Context, order peer.Order) (peer.KeepReply, error) {
	return callPeer(ctx, l, "keep", func(p peer.Peer) (peer.KeepReply, error) { return p.Keep(ctx, order) })
}

func (l *peerLink) NotifyJobs(ctx context.Context, notice peer.JobsNotice) error {
	_, err := callPeer(ctx, l, "notify", func(p peer.Peer) (struct{}, error) {
		return struct{}{}, p.NotifyJobs(ctx, notice)
	})
	return err
}

func (l *peerLink) Report(ctx context.Context, view peer.View) ([]byte, error) {
	return callPeer(ctx, l, "report", func(p peer.Peer) ([]byte, error) { return p.Report(ctx, view) })
}

// workersLink returns one VM's connections to the endpoints; calls through them are subject to the fleet's faults.
type workersLink struct {
	fleet *fleet
	from  vm.VM
}

func (l *workersLink) Worker(target core.Endpoint) endpoint.Worker {
	return &workerLink{fleet: l.fleet, from: l.from, to: target}
}

func (l *workersLink) WorkerByName(name core.Name) (endpoint.Worker, bool) {
	for _, e := range l.fleet.list.Endpoints {
		if e.Name == name {
			return l.Worker(e), true
		}
	}
	return nil, false
}

type workerLink struct {
	fleet *fleet
	from  vm.VM
	to    core.Endpoint
}

func callWorker[Reply any](
	ctx context.Context, l *workerLink, step string, notSent error, do func(*workerstandin.Engine) (Reply, error),
) (Reply, error) {
	var none Reply
	c := call{step: "worker." + step, from: l.from, to: string(l.to.Name)}
	if !l.fleet.deliver(ctx, c, l.to.FailureDomain) {
		return none, notSent
	}
	engine := l.fleet.workers[l.to.Name]
	reply, err := do(engine)
	if l.fleet.deliversTwice(c) {
		reply, err = do(engine)
	}
	if !l.fleet.replyArrives(ctx, c) {
		return none, endpoint.ErrLost
	}
	return reply, err
}

func (l *workerLink) Run(ctx context.Context, run endpoint.Run) (endpoint.RunReply, error) {
	return callWorker(ctx, l, "run", endpoint.ErrNotSent, func(e *workerstandin.Engine) (endpoint.RunReply, error) {
		return e.Run(ctx, run)
	})
}

func (l *workerLink) Reserve(ctx context.Context, m endpoint.Reserve) error {
	_, err := callWorker(ctx, l, "reserve", endpoint.ErrLost, func(e *workerstandin.Engine) (struct{}, error) {
		return struct{}{}, e.Reserve(ctx, m)
	})
	return err
}

func (l *workerLink) Start(ctx context.Context, m endpoint.Start) error {
	_, err := callWorker(ctx, l, "start", endpoint.ErrLost, func(e *workerstandin.Engine) (struct{}, error) {
		return struct{}{}, e.Start(ctx, m)
	})
	return err
}

func (l *workerLink) Exchange(ctx context.Context, m endpoint.Exchange) (endpoint.Report, error) {
	step := "renew"
	switch {
	case len(m.Confirm) > 0:
		step = "confirm"
	case len(m.Acknowledge) > 0:
		step = "acknowledge"
	}
	return callWorker(ctx, l, step, endpoint.ErrLost, func(e *workerstandin.Engine) (endpoint.Report, error) {
		return e.Exchange(ctx, m)
	})
}

func (l *workerLink) Stop(ctx context.Context, m endpoint.Stop) (endpoint.TaskReport, error) {
	return callWorker(ctx, l, "stop", endpoint.ErrLost, func(e *workerstandin.Engine) (endpoint.TaskReport, error) {
		return e.Stop(ctx, m)
	})
}
