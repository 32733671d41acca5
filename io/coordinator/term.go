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
	"auburnstack/core/policy"
	"auburnstack/core/roster"
	"auburnstack/core/upkeep"
	"auburnstack/io/election"
	"auburnstack/io/rosterwatch"
	"auburnstack/io/store"
	"auburnstack/io/wait"
)

const (
	// tickInterval is the interval of the periodic work of the control goroutine: it makes the planner try all placements
	// again, updates the published counts and removes old jobs.
	tickInterval = 100 * time.Millisecond
	// storeTimeout is the timeout of a call to the store or to the inventory.
	storeTimeout = time.Second
	// loadTimeout is the timeout of one attempt to load all records, which may take seconds on a slow network link. It
	// is also the timeout of the store calls that watch the inbox, the keys of accepted jobs and cancellations.
	loadTimeout = 10 * time.Second
	// longDecision is the least duration of a decision after which the control goroutine pauses. The pause is as long as
	// the decision, but at most maxTrafficPause.
	longDecision    = 4 * time.Millisecond
	maxTrafficPause = 50 * time.Millisecond
	// maxOpeningLinks is the maximum number of links that wait for their worker's first reply at the same time.
	maxOpeningLinks = 64
	// policyPause is the pause between two checks for the first configuration, on a VM that has just started.
	policyPause = 10 * time.Millisecond
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
	links   map[endpoint.Name]*link
	orders  *orders
	// openingSlots limits the number of links that wait for their first reply at the same time, so that a takeover with
	// thousands of workers leaves processor time for renewing the leader lease. The goroutines of the links use
	// openingSlots.
	openingSlots chan struct{}
	// revisions holds the store revision of each job's progress record; 0 if the job has no such record.
	revisions     map[graph.ID]store.Revision
	flushInFlight bool
	// observations is the number of hold replies that were passed to the planner. flushedObservations is the number of
	// these replies, counted from the first, whose resulting changes are all stored or part of the transaction in
	// flight.
	observations, flushedObservations uint64
	acks                              []ack
	// lastProbe holds, for each failure domain, the time of the last round of probes to its workers.
	lastProbe   map[domain.Name]time.Time
	lastRemoval time.Time
	waves       *upkeep.Tracker
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
	// observation is the value of term.observations after the reply that listed the ended runs.
	observation uint64
}

func newTerm(config Config, role *election.Role) *term {
	return &term{
		config: config, role: role, events: make(chan event, eventBuffer),
		openingSlots: make(chan struct{}, maxOpeningLinks),
		lastProbe:    map[domain.Name]time.Time{}, links: map[endpoint.Name]*link{}, revisions: map[graph.ID]store.Revision{},
	}
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
	t.config.Log.Info("leadership taken over", "jobs", len(t.revisions), "took", time.Since(start).String(),
		"fence", t.role.Fence)
	t.orders = newOrders(ctx, t)
	workers := rosterwatch.New(t.config.Store, t.config.Roster, t.config.Log, func(list []roster.Worker) {
		t.post(workersChanged{workers: list})
	})
	defer workers.Close()
	inbox := t.followInbox(revision)
	defer inbox.Close()
	defer t.closeLinks()
	t.spawn(func() { t.watchMachines(ctx) })
	t.control(ctx)
}

// load loads all records from the store, and retries until it succeeds. It returns the revision from which the inbox
// has to be watched, or false if the context ends first.
func (t *term) load(ctx context.Context) (store.Revision, bool) {
	for ctx.Err() == nil && t.config.Policy().Policy == nil {
		// Without a configuration the planner knows no queue.
		wait.For(ctx, policyPause)
	}
	for ctx.Err() == nil {
		revision, err := t.loadRecords(ctx)
		if err == nil {
			return revision, true
		}
		t.config.Log.Warn("loading records failed", "error", err.Error())
		wait.For(ctx, retryPause)
	}
	return 0, false
}

func (t *term) loadRecords(ctx context.Context) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	inbox, err := t.config.Store.Range(ctx, InboxPrefix)
	if err != nil {
		return 0, err
	}
	records, err := t.config.Store.Range(ctx, progressPrefix)
	if err != nil {
		return 0, err
	}
	progress := map[graph.ID]graph.Progress{}
	t.revisions = map[graph.ID]store.Revision{}
	for _, item := range records.Items {
		record, err := DecodeProgress(item)
		if err != nil {
			t.logSkippedRecord(err)
			continue
		}
		progress[record.ID] = record
		t.revisions[record.ID] = item.Revision
	}
	t.restore(decodeInbox(inbox.Items, t.logSkippedRecord), progress)
	if err := t.readWaves(ctx); err != nil {
		return 0, err
	}
	return inbox.Revision, nil
}

// logSkippedRecord logs that a record was skipped because it can't be decoded.
func (t *term) logSkippedRecord(err error) {
	t.config.Log.Error("record skipped", "error", err.Error())
}

func (t *term) restore(accepted jobsAccepted, progress map[graph.ID]graph.Progress) {
	now := time.Now()
	t.planner = planner.New(t.config.Settings, t.policy())
	for _, job := range accepted.jobs {
		if record, found := progress[job.ID]; found {
			t.planner.Restore(job, record, now)
		} else {
			t.planner.Submit(job, now)
		}
	}
	for _, id := range accepted.canceled {
		t.planner.Cancel(id, now)
	}
}

func (t *term) policy() *policy.Policy {
	if p := t.config.Policy().Policy; p != nil {
		return p
	}
	return &policy.Policy{}
}

// control handles events until the context ends. After each group of events and each tick it calls decide.
func (t *term) control(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	t.publishCounts()
	t.decide()
	// ready is always readable.
	ready := make(chan struct{})
	close(ready)
	for {
		var unfinished chan struct{}
		if t.planner.InRound() {
			unfinished = ready
		}
		select {
		case <-ctx.Done():
			return
		case e := <-t.events:
			t.handle(e)
			t.handleQueued()
		case <-ticker.C:
			t.planner.Tick()
			t.publishCounts()
			t.removeOldJobs(ctx)
		case <-unfinished:
			// The last decision has left waiting units for the next one.
		}
		start := time.Now()
		t.decide()
		t.pauseForTraffic(ctx, time.Since(start))
	}
}

// pauseForTraffic pauses after a long decision for as long as the decision took, at most maxTrafficPause. The pause
// leaves processor time to requests and lets events accumulate for the next decision: on large sites each decision
// examines thousands of workers, however few events it handles.
func (t *term) pauseForTraffic(ctx context.Context, took time.Duration) {
	if took >= longDecision {
		wait.For(ctx, min(took, maxTrafficPause))
	}
}

// handleQueued handles the events that are already in the queue.
func (t *term) handleQueued() {
	for {
		select {
		case e := <-t.events:
			t.handle(e)
		default:
			return
		}
	}
}

func (t *term) handle(e event) {
	now := time.Now()
	switch e := e.(type) {
	case workersChanged:
		t.planner.SetWorkers(e.workers, now)
		t.updateLinks()
	case jobsAccepted:
		t.accept(e, now)
	case holdAnswered:
		t.observe(e, now)
	case holdUnanswered:
		t.handleUnansweredHold(e.worker, now)
	case workerReplaced:
		t.config.Log.Info("worker replaced", "worker", e.worker)
		t.planner.WorkerExited(e.worker, now)
	case startAnswered:
		t.planner.StartAnswered(e.start, e.outcome, now)
		t.orders.startAnswered(e)
	case stopAnswered:
		if e.accepted {
			t.planner.StopAnswered(e.stop, now)
		}
		t.orders.stopAnswered(e)
	case flushDone:
		t.finishFlush(e, now)
	case policyChanged:
		t.planner.SetPolicy(t.policy())
		t.waves.SetWaves(t.policy().Waves, now)
	default:
		t.handleOtherEvent(e, now)
	}
}

// handleOtherEvent handles the events that handle does not: replies to pace orders, results of calls to the adviser and
// the inventory, the storage of reports on upkeep waves, and queries of the state of a job.
func (t *term) handleOtherEvent(e event, now time.Time) {
	switch e := e.(type) {
	case paceAnswered:
		t.orders.paceAnswered(e)
	case consultAnswered:
		t.planner.ConsultAnswered(e.question, e.advice.Tickets, e.advice.Validity, e.answered, now)
	case machinesListed:
		t.waves.SetMachines(e.machines)
	case waveRecorded:
		t.reportInFlight = false
		t.waves.Recorded(e.record)
	case upkeepAnswered:
		t.waves.Answered(e.begin, e.outcome, now)
	case stateQuery:
		state, known := t.planner.State(e.id)
		e.reply <- JobStatus{State: state, Known: known}
	}
}

// handleUnansweredHold tells the planner that a worker does not reply. It also probes the other workers of the same
// failure domain, as they may be unreachable too, at most once per probeInterval.
func (t *term) handleUnansweredHold(name endpoint.Name, now time.Time) {
	t.planner.SetResponsive(name, false)
	l, linked := t.links[name]
	if !linked {
		return
	}
	failureDomain := l.info.FailureDomain
	if now.Sub(t.lastProbe[failureDomain]) < probeInterval {
		return
	}
	t.lastProbe[failureDomain] = now
	for _, other := range t.links {
		if other != l && other.info.FailureDomain == failureDomain {
			other.Probe()
		}
	}
}

func (t *term) accept(e jobsAccepted, now time.Time) {
	for _, job := range e.jobs {
		if !t.planner.Has(job.ID) {
			t.config.Log.Info("job queued", "job", job.ID, "queue", job.Queue, "steps", len(job.Steps),
				"age", now.Sub(job.Accepted).String())
		}
		t.planner.Submit(job, now)
	}
	for _, id := range e.canceled {
		if t.planner.Cancel(id, now) {
			t.config.Log.Info("job canceled", "job", id)
		}
	}
}

func (t *term) observe(e holdAnswered, now time.Time) {
	t.observations++
	t.planner.SetResponsive(e.observation.Worker, true)
	t.planner.Observe(e.observation, now)
	for i := range e.observation.Ended {
		end := &e.observation.Ended[i]
		t.config.Metrics.runEnded(end.Kind)
		t.config.Log.Info("run ended", "job", end.Task.Job, "task", end.Task.String(), "run", end.Run,
			"how", end.Kind.String(), "worker", e.observation.Worker)
	}
	if e.lastEnd > 0 {
		t.acks = append(t.acks, ack{
			worker: e.observation.Worker, incarnation: e.observation.Incarnation, number: e.lastEnd, observation: t.observations,
		})
	}
}

// decide runs the planner, carries out its decisions and stores the changes of progress.
func (t *term) decide() {
	if !t.role.Valid() {
		return
	}
	now := time.Now()
	for name, l := range t.links {
		if sent := l.lastRenewalSent(); !sent.IsZero() {
			t.planner.LeaseRenewed(name, sent)
		}
	}
	t.advanceWaves(now)
	for _, action := range t.planner.Plan(now) {
		if question, isQuestion := action.(planner.Consult); isQuestion {
			t.consult(question)
			continue
		}
		t.orders.issue(action)
	}
	t.updatePaced()
	t.orders.retry(now)
	t.flush()
	t.acknowledgeEnds()
}

// updatePaced makes links send holds more often to workers on which filler tasks may slow down tasks that have a tail
// latency target.
func (t *term) updatePaced() {
	for name, l := range t.links {
		l.paced.Store(t.planner.Paced(name))
	}
}

// publishCounts updates the fields pending and sizes, which other goroutines read.
func (t *term) publishCounts() {
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
