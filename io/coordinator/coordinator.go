// Package coordinator carries out the planner's decisions while its VM leads the site: it reads what was accepted,
// records progress in the store, and gives orders to workers. One goroutine owns the control state of a term; others
// talk to the store and to workers.
package coordinator

import (
	"context"
	"sync"

	"github.com/hashicorp/go-hclog"

	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/core/roster"
	"auburnstack/core/vm"
	"auburnstack/io/adviser"
	"auburnstack/io/election"
	"auburnstack/io/inventory"
	"auburnstack/io/policywatch"
	"auburnstack/io/rosterwatch"
	"auburnstack/io/runner"
	"auburnstack/io/store"
)

// Config is what a coordinator is made of.
type Config struct {
	Store  store.Store
	Dialer runner.Dialer
	Roster rosterwatch.Codec
	Policy func() *policywatch.Snapshot
	// Name is the VM's, under which it orders upkeep.
	Name      vm.Name
	Adviser   adviser.Adviser
	Inventory inventory.Service
	Upkeep    UpkeepCodec
	Settings  planner.Settings
	Metrics   *Metrics
	Log       hclog.Logger
}

// Coordinator runs the terms of a VM.
type Coordinator struct {
	mu     sync.Mutex
	config Config
	// term is nil while the VM does not lead.
	term *term
}

// New returns a coordinator that does not lead.
func New(config Config) *Coordinator {
	return &Coordinator{config: config}
}

// SetPlanner replaces the planner's settings from the next term on.
func (c *Coordinator) SetPlanner(settings planner.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config.Settings = settings
}

// Lead runs a term until the context ends.
func (c *Coordinator) Lead(ctx context.Context, role *election.Role) {
	c.mu.Lock()
	t := newTerm(c.config, role)
	c.term = t
	c.mu.Unlock()
	t.run(ctx)
	c.mu.Lock()
	c.term = nil
	c.mu.Unlock()
}

func (c *Coordinator) current() *term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

// PolicyChanged makes a running term adopt the configuration in force.
func (c *Coordinator) PolicyChanged() {
	if t := c.current(); t != nil {
		t.post(policyChanged{})
	}
}

// JobStatus is what a leader knows of a job.
type JobStatus struct {
	State graph.State
	Known bool
}

// State returns the state of a job; the second result is false when the VM does not lead or has not read everything
// yet.
func (c *Coordinator) State(ctx context.Context, id graph.ID) (JobStatus, bool) {
	t := c.current()
	if t == nil || !t.role.Valid() {
		return JobStatus{}, false
	}
	reply := make(chan JobStatus, 1)
	t.post(question{id: id, reply: reply})
	select {
	case job := <-reply:
		return job, true
	case <-t.role.Done():
		return JobStatus{}, false
	case <-ctx.Done():
		return JobStatus{}, false
	}
}

// Sizes lists the sizes that workers have had in this term; empty when the VM does not lead or too little is known.
func (c *Coordinator) Sizes() []roster.Size {
	t := c.current()
	if t == nil {
		return nil
	}
	if sizes := t.sizes.Load(); sizes != nil {
		return *sizes
	}
	return nil
}

// Pending counts the jobs of each queue of which no task has started; the second result is false when the VM does not
// lead or has not read everything yet.
func (c *Coordinator) Pending() (map[string]int, bool) {
	t := c.current()
	if t == nil {
		return nil, false
	}
	pending := t.pending.Load()
	if pending == nil {
		return nil, false
	}
	return *pending, true
}
