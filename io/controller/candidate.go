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
	// roleLease is the life of the role in the store without renewal.
	roleLease = 3 * time.Second
	// renewInterval is the time between two renewals of the role, and between two tries to take it.
	renewInterval = 500 * time.Millisecond
	// candidates bounds how many VMs of a failure domain stand by for the role.
	candidates = 3
	// callLimit bounds one step towards the role.
	callLimit = time.Second
)

// holder is the stored form of the role.
type holder struct {
	VM    vm.Name
	Epoch endpoint.Epoch
}

// candidate takes the scheduler role of a failure domain in the store and keeps it.
type candidate struct {
	*Controller
	roleKey  string
	epochKey string
	lease    platform.LeaseID
	held     bool
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
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	switch {
	case c.resigned.Load():
		c.resign(ctx)
	case c.held && c.dropped.Swap(false):
		c.held = false
		c.clear(ctx)
	case c.held:
		c.renew(ctx)
	case c.standsBy():
		c.take(ctx)
	}
}

// standsBy tells whether this VM is among the first candidates of its failure domain.
func (c *candidate) standsBy() bool {
	return c.Directory.IsSelected("scheduler/"+string(c.home()), candidates)
}

func (c *candidate) renew(ctx context.Context) {
	asked := time.Now()
	err := c.Store.KeepAlive(ctx, c.lease)
	switch {
	case err == nil:
		c.post(ctx, roleConfirmed{at: asked})
	case errors.Is(err, platform.ErrLeaseLapsed):
		c.held = false
		c.post(ctx, roleLost{reason: "the lease has lapsed"})
	}
}

// take tries to become the scheduler under an epoch that no other scheduler had.
func (c *candidate) take(ctx context.Context) {
	entry, err := c.Store.Get(ctx, c.roleKey)
	if err != nil || entry.Revision != 0 {
		return
	}
	asked := time.Now()
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
		// A write whose reply was lost disappears with its lease, which is not kept alive.
		return
	}
	c.lease = lease
	c.held = true
	c.post(ctx, roleGained{epoch: epoch, at: asked})
}

// nextEpoch raises the stored epoch. A value whose reply was lost is never used.
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

// resign gives the role up before its lease ends, so that a successor need not wait.
func (c *candidate) resign(ctx context.Context) {
	if !c.held {
		return
	}
	c.held = false
	c.post(ctx, roleLost{reason: "the VM leaves"})
	c.clear(ctx)
}

// release clears the role when the process ends.
func (c *candidate) release() {
	if !c.held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	c.clear(ctx)
}

// clear removes the role's key, if it is still this VM's.
func (c *candidate) clear(ctx context.Context) {
	entry, err := c.Store.Get(ctx, c.roleKey)
	if err != nil {
		return
	}
	var stored holder
	if json.Unmarshal(entry.Value, &stored) != nil || stored.VM != c.self.Name {
		return
	}
	// If it fails, the role ends with its lease.
	_ = c.Store.Remove(ctx, c.roleKey, entry.Revision)
}

func epochDetail(epoch endpoint.Epoch) string {
	return fmt.Sprintf("epoch %d", epoch)
}
