package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/vm"
	"auburnstack/io/endpoint"
	"auburnstack/io/platform"
)

const (
	// roleLease is the duration of the role's lease in the store.
	roleLease = 3 * time.Second
	// renewInterval is the time between two renewals of the role, and between two attempts to acquire it.
	renewInterval = 500 * time.Millisecond
	// maxCandidates is the maximum number of VMs per failure domain that try to acquire the role.
	maxCandidates = 3
	// callTimeout is the timeout of one step of the candidate with all its calls to the store, of the removal of the
	// role's key when the process ends, and of storeStart.
	callTimeout = time.Second
)

// holder is the value stored under the role's key.
type holder struct {
	VM    vm.Name
	Epoch endpoint.Epoch
}

// candidate acquires the scheduler role of a failure domain in the store and renews its lease.
type candidate struct {
	*Controller
	roleKey  string
	epochKey string
	lease    platform.LeaseID
	roleHeld bool
}

func newCandidate(c *Controller) *candidate {
	return &candidate{
		Controller: c,
		roleKey:    "scheduler/role/" + string(c.home()),
		epochKey:   "scheduler/epoch/" + string(c.home()),
	}
}

func (c *candidate) run(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		c.step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			c.release()
			return
		}
	}
}

func (c *candidate) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch {
	case c.resigned.Load():
		c.resign(ctx)
	case c.roleHeld && c.roleDropped.Swap(false):
		c.roleHeld = false
		c.removeRoleKey(ctx)
	case c.roleHeld:
		c.renew(ctx)
	case c.isCandidate():
		c.acquireRole(ctx)
	}
}

// isCandidate reports whether this VM is one of the maxCandidates VMs of its failure domain that try to acquire the
// role.
func (c *candidate) isCandidate() bool {
	return c.Directory.IsSelected("scheduler/"+string(c.home()), maxCandidates)
}

func (c *candidate) renew(ctx context.Context) {
	requestedAt := time.Now()
	err := c.Store.KeepAlive(ctx, c.lease)
	switch {
	case err == nil:
		c.post(ctx, roleConfirmed{at: requestedAt})
	case errors.Is(err, platform.ErrLeaseLapsed):
		c.roleHeld = false
		c.post(ctx, roleLost{reason: "the lease has lapsed"})
	}
}

// acquireRole tries to become the scheduler under an epoch that no other scheduler has used.
func (c *candidate) acquireRole(ctx context.Context) {
	entry, err := c.Store.Get(ctx, c.roleKey)
	if err != nil || entry.Revision != 0 {
		return
	}
	requestedAt := time.Now()
	lease, err := c.Store.GrantLease(ctx, roleLease)
	if err != nil {
		return
	}
	epoch, err := c.nextEpoch(ctx)
	if err != nil {
		return
	}
	value, err := json.Marshal(holder{VM: c.self.Name, Epoch: epoch})
	if err != nil {
		return
	}
	if _, err := c.Store.CompareAndSwap(ctx, c.roleKey, 0, value, lease); err != nil {
		// If the write took effect and only its reply was lost, the key disappears when the lease expires, since nothing
		// renews that lease.
		return
	}
	c.lease = lease
	c.roleHeld = true
	c.post(ctx, roleGained{epoch: epoch, at: requestedAt})
}

// nextEpoch increments the stored epoch and returns the new one. If the reply to the write is lost, the new epoch is
// never used.
func (c *candidate) nextEpoch(ctx context.Context) (endpoint.Epoch, error) {
	entry, err := c.Store.Get(ctx, c.epochKey)
	if err != nil {
		return 0, err
	}
	last, _ := strconv.ParseUint(string(entry.Value), 10, 64)
	next := strconv.FormatUint(last+1, 10)
	_, err = c.Store.CompareAndSwap(ctx, c.epochKey, entry.Revision, []byte(next), 0)
	return endpoint.Epoch(last + 1), err
}

// resign gives the role up before its lease expires, so that a successor need not wait for the expiry.
func (c *candidate) resign(ctx context.Context) {
	if !c.roleHeld {
		return
	}
	c.roleHeld = false
	c.post(ctx, roleLost{reason: "the VM leaves"})
	c.removeRoleKey(ctx)
}

// release removes the role's key when the process ends.
func (c *candidate) release() {
	if !c.roleHeld {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	c.removeRoleKey(ctx)
}

// removeRoleKey removes the role's key from the store if the key still names this VM.
func (c *candidate) removeRoleKey(ctx context.Context) {
	entry, err := c.Store.Get(ctx, c.roleKey)
	if err != nil {
		return
	}
	var stored holder
	if json.Unmarshal(entry.Value, &stored) != nil || stored.VM != c.self.Name {
		return
	}
	// If the removal fails, the key disappears when its lease expires.
	_ = c.Store.Remove(ctx, c.roleKey, entry.Revision)
}

func epochDetail(epoch endpoint.Epoch) string {
	return fmt.Sprintf("epoch %d", epoch)
}
