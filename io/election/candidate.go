// Package election decides which VM leads the site: the one that holds a key of the store under a lease.
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

// Key is the one that the leader holds.
const Key = "auburnstack/leader"

const (
	// leaseTime is the time after which a leader that does not renew may be replaced.
	leaseTime = 1500 * time.Millisecond
	// safety is the part of the lease that a leader does not use, for calls that are on their way.
	safety = 200 * time.Millisecond
	// renewInterval is the time between two renewals.
	renewInterval = 300 * time.Millisecond
	// lookInterval is the time between two looks at the key by a VM that does not hear a leader.
	lookInterval = 250 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 700 * time.Millisecond
)

// Leader is what the key says of its holder.
type Leader struct {
	Name    vm.Name
	Address netip.AddrPort
	// Incarnation tells apart the processes of one VM.
	Incarnation string
}

// Role is one term of leadership.
type Role struct {
	// Fence is the fencing token of the term: higher than that of any earlier term.
	Fence store.Revision
	clock boottime.Clock
	// until is the time up to which nobody else can lead, in nanoseconds of the clock.
	until atomic.Int64
	// Lease is the one under which the key is held.
	Lease store.LeaseID
	ended context.Context
	end   context.CancelFunc
}

// NewRole returns a term that ends with a context, and is valid up to a time of the clock unless it is renewed.
func NewRole(
	ctx context.Context, fence store.Revision, lease store.LeaseID, clock boottime.Clock, until time.Duration,
) *Role {
	ended, end := context.WithCancel(ctx)
	r := &Role{Fence: fence, Lease: lease, clock: clock, ended: ended, end: end}
	r.until.Store(int64(until))
	return r
}

// Valid tells whether the term holds now. It is checked right before each order.
func (r *Role) Valid() bool {
	return r.ended.Err() == nil && int64(r.clock()) < r.until.Load()
}

// Done is closed when the term has ended.
func (r *Role) Done() <-chan struct{} {
	return r.ended.Done()
}

// Context ends with the term.
func (r *Role) Context() context.Context {
	return r.ended
}

// Condition makes a transaction fail once another VM leads.
func (r *Role) Condition() store.Condition {
	return store.Condition{Key: Key, Revision: r.Fence}
}

// Resign ends the term without giving the lease back.
func (r *Role) Resign() {
	r.end()
}

// Candidate takes the lead when nobody else has it.
type Candidate struct {
	store store.Store
	self  Leader
	clock boottime.Clock
	log   hclog.Logger
	// handicap is how long the candidate lets others go first.
	handicap time.Duration
	// idle tells whether a leader was heard lately, so that the key need not be looked at.
	idle func() bool
	// lead runs a term and returns when it has ended.
	lead func(ctx context.Context, role *Role)
	// seen is called with the leader that the key names.
	seen func(leader Leader, fence store.Revision)
	// wakes makes the candidate look at the key at once.
	wakes chan struct{}

	cancel context.CancelFunc
	done   chan struct{}
}

// Callbacks connect a candidate to its VM.
type Callbacks struct {
	// AcquireDelay is how long the candidate lets others go first, as its VM is weaker.
	AcquireDelay time.Duration
	LeaderAlive  func() bool
	Lead         func(ctx context.Context, role *Role)
	LeaderSeen   func(leader Leader, fence store.Revision)
}

// New starts a candidate.
func New(s store.Store, self Leader, clock boottime.Clock, log hclog.Logger, callbacks Callbacks) *Candidate {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Candidate{
		store: s, self: self, clock: clock, log: log,
		handicap: callbacks.AcquireDelay, idle: callbacks.LeaderAlive, lead: callbacks.Lead, seen: callbacks.LeaderSeen,
		wakes: make(chan struct{}, 1), cancel: cancel, done: make(chan struct{}),
	}
	go c.run(ctx)
	return c
}

// Close gives the lead to others and waits.
func (c *Candidate) Close() {
	c.cancel()
	<-c.done
}

// Wake makes the candidate look at the key at once, as the leader has resigned.
func (c *Candidate) Wake() {
	select {
	case c.wakes <- struct{}{}:
	default:
	}
}

func (c *Candidate) run(ctx context.Context) {
	defer close(c.done)
	for ctx.Err() == nil {
		if !c.idle() {
			if err := c.look(ctx); err != nil {
				c.log.Debug("no look at the leader's key", "error", err.Error())
			}
		}
		c.pause(ctx)
	}
}

func (c *Candidate) pause(ctx context.Context) {
	timer := time.NewTimer(lookInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.wakes:
	case <-timer.C:
	}
}

// look reads the key, and takes the lead when nobody holds it.
func (c *Candidate) look(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := c.store.Get(call, Key)
	if errors.Is(err, store.ErrNotFound) {
		wait.For(ctx, c.handicap)
		if c.idle() {
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
		c.seen(holder, item.Created)
		return nil
	}
	if holder.Incarnation == c.self.Incarnation {
		// An earlier call took effect without an answer. Its time of sending is no longer known.
		c.log.Info("giving back a lead that was not confirmed", "fence", item.Created)
	}
	// The earlier process of this VM has ended.
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
	c.hold(ctx, lease, revision, sent)
	return nil
}

// hold leads until the lease is lost or the candidate closes.
func (c *Candidate) hold(ctx context.Context, lease store.LeaseID, fence store.Revision, sent time.Duration) {
	role := NewRole(ctx, fence, lease, c.clock, sent+leaseTime-safety)
	ended, end := role.ended, role.end
	defer end()
	c.log.Info("leading", "fence", fence)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		c.lead(ended, role)
	}()
	reason := c.renew(ended, lease, role)
	end()
	<-finished
	c.log.Info("no longer leading", "fence", fence, "reason", reason)
	c.release(lease)
}

// renew keeps the lease until the term ends, and tells why it ended.
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
			role.until.Store(int64(sent + leaseTime - safety))
		case errors.Is(err, store.ErrLeaseEnded):
			return "the lease has ended"
		case !role.Valid():
			return "the lease was not renewed in time"
		default:
		}
	}
}

// release gives the lease back, so that another VM can lead at once.
func (c *Candidate) release(lease store.LeaseID) {
	call, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := c.store.End(call, lease); err != nil && !errors.Is(err, store.ErrLeaseEnded) {
		c.log.Debug("lease not given back", "error", err.Error())
	}
}
