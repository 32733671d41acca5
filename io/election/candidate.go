// Package election implements leader election among the VMs of a site. The leader is the VM that holds a certain key of
// the store under a lease.
package election

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"auburnstack/core/vm"
	"auburnstack/io/boottime"
	"auburnstack/io/store"
	"auburnstack/io/wait"
)

// Key is the store key that the leader holds.
const Key = "auburnstack/leader"

const (
	// leaseTime is the duration of the lease. A leader that does not renew the lease for that long may be replaced.
	leaseTime = 1500 * time.Millisecond
	// safetyMargin is the time before the end of the lease from which on the leader does not act any more, because
	// calls that it has sent may still be in flight.
	safetyMargin = 200 * time.Millisecond
	// renewInterval is the time between two renewals.
	renewInterval = 300 * time.Millisecond
	// checkInterval is the time between two reads of the leader key by a VM that gets no heartbeats from a leader.
	checkInterval = 250 * time.Millisecond
	// callTimeout is the timeout of one step with all its store calls. The steps are checking the leader key, taking
	// the lead, renewing the lease and ending the lease.
	callTimeout = 700 * time.Millisecond
)

// Leader describes the VM that holds the leader key. It is stored as the value of the key.
type Leader struct {
	Name    vm.Name
	Address netip.AddrPort
	// Incarnation distinguishes successive processes of one VM.
	Incarnation string
}

// Role is the leadership of this VM during one term. A term begins when the VM becomes the leader and ends when the VM
// loses or gives up the leadership.
type Role struct {
	// Fence is the fencing token of the term. It is higher than that of any earlier term.
	Fence store.Revision
	clock boottime.Clock
	// until is the clock reading, in nanoseconds, before which no other VM can become leader.
	until atomic.Int64
	// Lease is the lease under which the leader key is held.
	Lease  store.LeaseID
	ctx    context.Context
	cancel context.CancelFunc
}

// NewRole returns the role for a term that ends when the given context ends. The role is valid while the clock reading
// is less than until; each renewal of the lease extends until.
func NewRole(
	ctx context.Context, fence store.Revision, lease store.LeaseID, clock boottime.Clock, until time.Duration,
) *Role {
	roleCtx, cancel := context.WithCancel(ctx)
	r := &Role{Fence: fence, Lease: lease, clock: clock, ctx: roleCtx, cancel: cancel}
	r.until.Store(int64(until))
	return r
}

// Valid reports whether the VM still leads. Callers check it right before each order that they send.
func (r *Role) Valid() bool {
	return r.ctx.Err() == nil && int64(r.clock()) < r.until.Load()
}

// Done returns a channel that is closed when the term ends.
func (r *Role) Done() <-chan struct{} {
	return r.ctx.Done()
}

// Context returns a context that is canceled when the term ends.
func (r *Role) Context() context.Context {
	return r.ctx
}

// Condition returns a condition that makes a transaction fail once this term no longer holds the leader key.
func (r *Role) Condition() store.Condition {
	return store.Condition{Key: Key, Revision: r.Fence}
}

// Resign ends the term. It does not itself end the lease.
func (r *Role) Resign() {
	r.cancel()
}

// Candidate makes its VM the leader when no other VM leads.
type Candidate struct {
	store store.Store
	self  Leader
	clock boottime.Clock
	log   hclog.Logger
	// acquireDelay is the time for which the candidate lets other VMs try first to take the lead.
	acquireDelay time.Duration
	// leaderAlive reports whether the VM has recently heard from a leader. While it does, the candidate does not read the
	// leader key.
	leaderAlive func() bool
	// lead carries out the leader's work and returns when the term has ended.
	lead func(ctx context.Context, role *Role)
	// leaderSeen is called when the value of the leader key names another VM. It receives that leader and its fencing
	// token.
	leaderSeen func(leader Leader, fence store.Revision)
	// wakeSignal makes the candidate read the leader key at once.
	wakeSignal chan struct{}

	cancel context.CancelFunc
	done   chan struct{}
}

// Callbacks holds the functions through which a Candidate uses its VM, and the candidate's delay.
type Callbacks struct {
	// AcquireDelay is the time for which the candidate lets other VMs try first to take the lead, because its VM has
	// fewer resources.
	AcquireDelay time.Duration
	// LeaderAlive reports whether the VM has recently heard from a leader.
	LeaderAlive func() bool
	// Lead carries out the leader's work and returns when the term has ended.
	Lead func(ctx context.Context, role *Role)
	// LeaderSeen is called with the leader and its fencing token when the leader key names another VM.
	LeaderSeen func(leader Leader, fence store.Revision)
}

// New starts a Candidate, which takes the lead when no other VM leads.
func New(s store.Store, self Leader, clock boottime.Clock, log hclog.Logger, callbacks Callbacks) *Candidate {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Candidate{
		store: s, self: self, clock: clock, log: log,
		acquireDelay: callbacks.AcquireDelay, leaderAlive: callbacks.LeaderAlive,
		lead: callbacks.Lead, leaderSeen: callbacks.LeaderSeen,
		wakeSignal: make(chan struct{}, 1), cancel: cancel, done: make(chan struct{}),
	}
	go c.run(ctx)
	return c
}

// Close stops the candidate, which ends its term if it leads, and waits until its goroutine has ended.
func (c *Candidate) Close() {
	c.cancel()
	<-c.done
}

// Wake makes the candidate read the leader key at once. It is called when the leader has resigned.
func (c *Candidate) Wake() {
	select {
	case c.wakeSignal <- struct{}{}:
	default:
	}
}

func (c *Candidate) run(ctx context.Context) {
	defer close(c.done)
	for ctx.Err() == nil {
		if !c.leaderAlive() {
			if err := c.checkKey(ctx); err != nil {
				c.log.Debug("checking or acquiring the leader key failed", "error", err.Error())
			}
		}
		c.pause(ctx)
	}
}

func (c *Candidate) pause(ctx context.Context) {
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.wakeSignal:
	case <-timer.C:
	}
}

// checkKey reads the leader key. If no VM holds it, checkKey takes the lead and returns after the term has ended.
func (c *Candidate) checkKey(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := c.store.Get(call, Key)
	if errors.Is(err, store.ErrNotFound) {
		wait.For(ctx, c.acquireDelay)
		if c.leaderAlive() {
			return nil
		}
		return c.acquire(ctx)
	}
	if err != nil {
		return err
	}
	var holder Leader
	if err := json.Unmarshal(item.Value, &holder); err != nil {
		return errors.WithStack(err)
	}
	if holder.Name != c.self.Name {
		c.leaderSeen(holder, item.Created)
		return nil
	}
	if holder.Incarnation == c.self.Incarnation {
		// An earlier attempt to take the lead took effect although its response was lost. The VM can't use the lease
		// because it no longer knows when it requested the lease, and so when the lease ends.
		c.log.Info("ending the lease of an unconfirmed term", "fence", item.Created)
	}
	// Either way the lease is of no use: with another incarnation, it belongs to an earlier process of this VM, which has
	// ended.
	return c.store.End(call, item.Lease)
}

func (c *Candidate) acquire(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := c.clock()
	lease, err := c.store.Grant(call, leaseTime)
	if err != nil {
		return err
	}
	value, err := json.Marshal(c.self)
	if err != nil {
		return errors.WithStack(err)
	}
	revision, err := c.store.Commit(call, store.Transaction{
		Conditions: []store.Condition{{Key: Key}},
		Puts:       []store.Put{{Key: Key, Value: value, Lease: lease}},
	})
	if err != nil {
		return err
	}
	c.leadTerm(ctx, lease, revision, sent)
	return nil
}

// leadTerm runs a term until the lease is lost, the VM resigns or the candidate is closed.
func (c *Candidate) leadTerm(ctx context.Context, lease store.LeaseID, fence store.Revision, sent time.Duration) {
	role := NewRole(ctx, fence, lease, c.clock, sent+leaseTime-safetyMargin)
	termCtx, endTerm := role.ctx, role.cancel
	defer endTerm()
	c.log.Info("leading", "fence", fence)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		c.lead(termCtx, role)
	}()
	reason := c.renew(termCtx, lease, role)
	endTerm()
	<-finished
	c.log.Info("no longer leading", "fence", fence, "reason", reason)
	c.release(lease)
}

// renew renews the lease until the term ends, and returns the reason for which the term ended.
func (c *Candidate) renew(ctx context.Context, lease store.LeaseID, role *Role) string {
	for {
		wait.For(ctx, renewInterval)
		if ctx.Err() != nil {
			return "resigned"
		}
		sent := c.clock()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.store.Renew(call, lease)
		cancel()
		switch {
		case err == nil && int64(c.clock()) < role.until.Load():
			role.until.Store(int64(sent + leaseTime - safetyMargin))
		case errors.Is(err, store.ErrLeaseEnded):
			return "the lease has ended"
		case !role.Valid():
			return "the lease was not renewed in time"
		default:
		}
	}
}

// release ends the lease so that another VM can become leader at once.
func (c *Candidate) release(lease store.LeaseID) {
	call, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := c.store.End(call, lease); err != nil && !errors.Is(err, store.ErrLeaseEnded) {
		c.log.Debug("ending the lease failed", "error", err.Error())
	}
}
