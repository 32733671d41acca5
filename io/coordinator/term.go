package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/core/roster"
	"auburnstack/core/upkeep"
	"auburnstack/io/boottime"
	"auburnstack/io/election"
	"auburnstack/io/rosterwatch"
	"auburnstack/io/store"
)

const (
	// storeTimeout is the timeout of a call to the store or to the inventory.
	storeTimeout = time.Second
	// maxOpeningLinks is the maximum number of links that wait for their worker's first reply at the same time.
	maxOpeningLinks = 64
	// retryPause is the pause after a failed call to the store.
	retryPause = 100 * time.Millisecond
	// eventBuffer is the capacity of the event queue of the control goroutine.
	eventBuffer = 1024
	// probeInterval is the minimum time between two rounds of probes to the workers of a failure domain. A probe is a
	// heartbeat (runner.Hold) that is sent at once, ahead of schedule.
	probeInterval = 2 * time.Second
	// removalInterval is the time between two removals of old jobs.
	removalInterval = 5 * time.Second
)

// term is the state of one term of leadership. Any goroutine may read config and role, which do not change. The other
// fields belong to the control goroutine unless their comment says otherwise.
type term struct {
	config Config
	role   *election.Role
	// events is the queue of the control goroutine. Any goroutine may send to it.
	events chan event
	// pending counts, for each queue, the jobs none of whose tasks has started. Any goroutine may read it. It is nil
	// until all records are loaded.
	pending atomic.Pointer[map[string]int]
	// sizes lists the capacities of all workers that were registered during this term. Any goroutine may read it.
	sizes   atomic.Pointer[[]roster.Size]
	planner *planner.Planner
	pacer   *pacer
	links   map[endpoint.Name]*link
	orders  *orders
	// openingSlots limits the number of links that wait for their first reply at the same time, so that a takeover with
	// thousands of workers leaves processor time for renewing the leader lease. The goroutines of the links use
	// openingSlots.
	openingSlots chan struct{}
	// revisions holds the store revisions of the records of jobs' progress by their keys.
	revisions     map[string]store.Revision
	flushInFlight bool
	// rosterReadAt is a time at which the store still had the registrations that the planner knows.
	rosterReadAt time.Time
	// history reads how registrations were removed before the first read of all registrations.
	history *history
	acks    []ack
	// accounts reports what the accounts with a limit or weight hold.
	accounts *accountWatch
	// lastProbe holds, for each failure domain, the time of the last round of probes to its workers.
	lastProbe   map[domain.Name]time.Time
	lastRemoval time.Time
	// removalInFlight is set while records of old jobs are being removed.
	removalInFlight bool
	// removed holds the jobs that the planner has forgotten in this term, until no read of the inbox returns them.
	removed map[graph.ID]removedJob
	waves   *upkeep.Tracker
	learned learned
	// former is the state of the writes of the settings of removed queues.
	former formerQueues
	// reports holds the reports on upkeep waves that are still to be stored.
	// reportInFlight is set while one of these reports is being stored.
	reports        []upkeep.Record
	reportInFlight bool
	// workers is the number of workers that have a link. Any goroutine may read it.
	workers atomic.Int64
	// wavesActive is set while an upkeep wave is in progress. Any goroutine may read it.
	wavesActive atomic.Bool
	// work counts the goroutines of the term.
	work sync.WaitGroup
}

// ack is an acknowledgment that the leader sends to a worker. The worker listed ended runs in its reply to a hold, and
// the leader acknowledges these runs once it has stored all changes that result from the reply. The worker numbers its
// ended runs; the acknowledgment covers the runs up to the number in the field number.
type ack struct {
	worker endpoint.Name
	// incarnation is the incarnation of the worker to which number belongs.
	incarnation roster.Incarnation
	number      int64
	// change is the number of the last change of progress after the reply that listed the ended runs.
	change uint64
}

func newTerm(config Config, role *election.Role) *term {
	if config.Clock == nil {
		config.Clock = boottime.Now
	}
	t := &term{
		config: config, role: role, events: make(chan event, eventBuffer), pacer: newPacer(),
		openingSlots: make(chan struct{}, maxOpeningLinks),
		lastProbe:    map[domain.Name]time.Time{}, links: map[endpoint.Name]*link{}, revisions: map[string]store.Revision{},
		removed: map[graph.ID]removedJob{},
	}
	t.history = newHistory(t)
	t.accounts = newAccountWatch(config)
	return t
}

// post sends an event to the control goroutine. It drops the event if the term has ended.
func (t *term) post(e event) {
	select {
	case t.events <- e:
	case <-t.role.Done():
	}
}

// spawn runs the function work in a goroutine. The term ends only after the goroutine has ended.
func (t *term) spawn(work func()) {
	t.work.Add(1)
	go func() {
		defer t.work.Done()
		work()
	}()
}

// run does the work of the leader until the context ends.
func (t *term) run(ctx context.Context) {
	defer t.work.Wait()
	start := time.Now()
	revision, loaded := t.load(ctx)
	if !loaded {
		return
	}
	t.config.Log.Info("leadership taken over", "records", len(t.revisions), "took", time.Since(start).String(),
		"fence", t.role.Fence)
	t.orders = newOrders(ctx, t)
	workers := rosterwatch.New(t.config.Store, t.config.Roster, t.config.Clock, t.config.Log,
		func(list, removed []roster.Worker, age time.Duration) {
			t.post(workersChanged{workers: list, removed: removed, readAt: time.Now().Add(-age)})
		})
	defer workers.Close()
	inbox := t.followInbox(revision)
	defer inbox.Close()
	defer t.closeLinks()
	defer t.config.Metrics.setAccounts(nil, nil)
	t.spawn(func() { t.watchMachines(ctx) })
	t.spawn(func() { t.removeWithdrawn(ctx) })
	t.control(ctx)
}

// publishCounts updates the fields pending and sizes and the account of the jobs' memory, which other goroutines read.
func (t *term) publishCounts() {
	// The account is complete before the field pending tells that all records are loaded.
	t.config.Memory.Reset(t.planner.Footprint())
	pending := t.planner.Pending()
	t.pending.Store(&pending)
	sizes := t.planner.Sizes(time.Now())
	t.sizes.Store(&sizes)
}

// updateLinks opens links to new workers, reopens the links whose worker has a new address, and closes the links to
// workers that the planner no longer lists.
func (t *term) updateLinks() {
	present := map[endpoint.Name]bool{}
	t.planner.Workers(func(w roster.Worker) {
		present[w.Name] = true
		l, open := t.links[w.Name]
		if open && l.info.Address != w.Address {
			l.Close()
			open = false
		}
		switch {
		case open:
			l.setRegisteredIncarnation(w.Incarnation)
		case w.Address.IsValid():
			t.links[w.Name] = newLink(t, w)
		}
	})
	for name, l := range t.links {
		if !present[name] {
			l.Close()
			delete(t.links, name)
		}
	}
	t.workers.Store(int64(len(t.links)))
}

func (t *term) closeLinks() {
	for _, l := range t.links {
		l.Close()
	}
}
