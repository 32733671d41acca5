// Package coordinator carries out the planner's decisions while its VM leads the site: it reads accepted jobs from the
// store, records their progress there, and sends orders to workers. One goroutine, the control goroutine, owns the
// state of a term. Other goroutines call the store and the workers, and report the results to it as events.
package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"auburnstack/core/graph"
	"auburnstack/core/jobmemory"
	"auburnstack/core/planner"
	"auburnstack/core/roster"
	"auburnstack/core/vm"
	"auburnstack/io/adviser"
	"auburnstack/io/boottime"
	"auburnstack/io/election"
	"auburnstack/io/inventory"
	"auburnstack/io/policywatch"
	"auburnstack/io/rosterwatch"
	"auburnstack/io/runner"
	"auburnstack/io/store"
)

// Config holds the dependencies and settings of a Coordinator.
type Config struct {
	Store store.Store
	// Revisions dates the revisions of Store. It may be nil.
	Revisions Revisions
	Dialer    runner.Dialer
	Roster    rosterwatch.Codec
	Policy    func() *policywatch.Snapshot
	// Clock is the clock of Policy's proofs. If it is nil, it is boottime.Now.
	Clock boottime.Clock
	// EvacuateLimit is the time after which nothing may start in a failure domain that the operators have taken out of
	// service; 0 means that there is no limit.
	EvacuateLimit time.Duration
	// Name is the name of the VM. Upkeep orders carry it as their sender.
	Name      vm.Name
	Adviser   adviser.Adviser
	Inventory inventory.Service
	Upkeep    UpkeepCodec
	Settings  planner.Settings
	// ValueLimit is the largest size of a value of Store in bytes; 0 means that there is no limit.
	ValueLimit int
	// Memory is the account of the memory that the jobs take. If it is nil, there is no limit.
	Memory  *jobmemory.Account
	Metrics *Metrics
	Log     hclog.Logger
}

// Coordinator does the work of the leader during the terms in which its VM leads.
type Coordinator struct {
	mu     sync.Mutex
	config Config
	// term is nil while the VM does not lead.
	term *term
}

// New returns a Coordinator whose VM does not lead yet.
func New(config Config) *Coordinator {
	if config.Memory == nil {
		config.Memory = jobmemory.NewAccount(0)
	}
	return &Coordinator{config: config}
}

// SetPlanner replaces the planner's settings. They take effect with the next term.
func (c *Coordinator) SetPlanner(settings planner.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config.Settings = settings
}

// Lead runs a term and returns when the context ends.
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

// PolicyChanged makes the current term, if any, adopt the configuration that is now in force.
func (c *Coordinator) PolicyChanged() {
	if t := c.current(); t != nil {
		t.post(policyChanged{})
	}
}

// JobStatus is the leader's view of a job. Known is false if the leader knows no such job.
type JobStatus struct {
	Origin graph.Origin
	State  graph.State
	Known  bool
}

// State returns the state of a job. The second result is false if the VM does not lead, or if the context or the term
// ends before the leader has loaded all records.
func (c *Coordinator) State(ctx context.Context, id graph.ID) (JobStatus, bool) {
	t := c.current()
	if t == nil || !t.role.Valid() {
		return JobStatus{}, false
	}
	reply := make(chan JobStatus, 1)
	t.post(stateQuery{id: id, reply: reply})
	select {
	case job := <-reply:
		return job, true
	case <-t.role.Done():
		return JobStatus{}, false
	case <-ctx.Done():
		return JobStatus{}, false
	}
}

// Sizes returns the capacities of all workers that were registered during this term, each with the largest number of
// workers that were registered at the same time. It returns nil if the VM does not lead or if the planner has not yet
// watched the registrations for its minimum time.
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

// Pending returns, by the queues' keys, the number of jobs none of whose tasks has started. The second result is
// false if the VM does not lead or has not loaded all records yet.
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
