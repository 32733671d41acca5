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
	// tick is the time between two looks at what only time changes.
	tick = 100 * time.Millisecond
	// storeTimeout bounds a call to the store, beyond the time for which a watch waits.
	storeTimeout = time.Second
	// loadTimeout bounds the reading of all records, which may take seconds on a slow link.
	loadTimeout = 10 * time.Second
	// longStep is the time of a decision after which the next one waits, at most for maxRest.
	longStep = 4 * time.Millisecond
	maxRest  = 50 * time.Millisecond
	// maxOpening bounds the first calls to workers that are under way.
	maxOpening = 64
	// policyPause is the pause between two looks for the first configuration of a VM that has just started.
	policyPause = 10 * time.Millisecond
	// retryPause is the pause after a call to the store that failed.
	retryPause = 100 * time.Millisecond
	// eventBuffer is the number of events that may wait for the control goroutine.
	eventBuffer = 1024
	// probeInterval is the least time between two rounds of questions out of turn to the workers of a failure domain.
	probeInterval = 2 * time.Second
	// forgetInterval is the time between two removals of old jobs.
	forgetInterval = 5 * time.Second
)

// term is the control state of one term of leadership. Only the control goroutine uses the fields without a note.
type term struct {
	config Config
	role   *election.Role
	// events may be sent to by any goroutine.
	events chan event
	// pending is read by any goroutine; nil until everything was read.
	pending atomic.Pointer[map[string]int]
	// sizes is read by any goroutine.
	sizes   atomic.Pointer[[]roster.Size]
	planner *planner.Planner
	links   map[endpoint.Name]*link
	orders  *orders
	// opening bounds the links that wait for their first answer, so that a takeover of thousands of workers leaves
	// processor time to the renewal of the role.
	opening chan struct{}
	// revisions holds the revision of each stored progress; 0 when there is none.
	revisions map[graph.ID]store.Revision
	flushing  bool
	// observed counts the observations; covered is the count that the changes in flight or stored contain.
	observed, covered uint64
	acks              []ack
	// probed is when the workers of a failure domain were last asked out of turn.
	probed     map[domain.Name]time.Time
	lastForget time.Time
	waves      *upkeep.Tracker
	// reports wait to be stored; reporting is set while one is under way.
	reports   []upkeep.Record
	reporting bool
	// workers is the number of links, read by any goroutine.
	workers atomic.Int64
	// wavesActive is read by any goroutine.
	wavesActive atomic.Bool
	// work counts the goroutines of the term.
	work sync.WaitGroup
}

// ack is the number of a worker's last end that may be forgotten once all changes up to an observation are stored.
type ack struct {
	worker endpoint.Name
	// incarnation is the one that has numbered the end.
	incarnation roster.Incarnation
	number      int64
	observed    uint64
}

func newTerm(config Config, role *election.Role) *term {
	return &term{
		config: config, role: role, events: make(chan event, eventBuffer),
		opening: make(chan struct{}, maxOpening),
		probed:  map[domain.Name]time.Time{}, links: map[endpoint.Name]*link{}, revisions: map[graph.ID]store.Revision{},
	}
}

// post hands an event to the control goroutine, unless the term has ended.
func (t *term) post(e event) {
	select {
	case t.events <- e:
	case <-t.role.Done():
	}
}

// spawn runs work that the term waits for.
func (t *term) spawn(work func()) {
	t.work.Add(1)
	go func() {
		defer t.work.Done()
		work()
	}()
}

// run leads until the context ends.
func (t *term) run(ctx context.Context) {
	defer t.work.Wait()
	begun := time.Now()
	at, loaded := t.load(ctx)
	if !loaded {
		return
	}
	t.config.Log.Info("took over", "jobs", len(t.revisions), "took", time.Since(begun).String(), "fence", t.role.Fence)
	t.orders = newOrders(ctx, t)
	workers := rosterwatch.New(t.config.Store, t.config.Roster, t.config.Log, func(list []roster.Worker) {
		t.post(workersChanged{workers: list})
	})
	defer workers.Close()
	inbox := t.followInbox(at)
	defer inbox.Close()
	defer t.closeLinks()
	t.spawn(func() { t.watchMachines(ctx) })
	t.control(ctx)
}

// load reads everything that was accepted and recorded, and returns the revision from which the inbox is followed. It
// tells whether the term goes on.
func (t *term) load(ctx context.Context) (store.Revision, bool) {
	for ctx.Err() == nil && t.config.Policy().Policy == nil {
		// Without a configuration nothing is known of any queue.
		wait.For(ctx, policyPause)
	}
	for ctx.Err() == nil {
		at, err := t.read(ctx)
		if err == nil {
			return at, true
		}
		t.config.Log.Warn("records not read", "error", err.Error())
		wait.For(ctx, retryPause)
	}
	return 0, false
}

func (t *term) read(ctx context.Context) (store.Revision, error) {
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
			t.skipped(err)
			continue
		}
		progress[record.ID] = record
		t.revisions[record.ID] = item.Revision
	}
	t.restore(decodeInbox(inbox.Items, t.skipped), progress)
	if err := t.readWaves(ctx); err != nil {
		return 0, err
	}
	return inbox.Revision, nil
}

// skipped reports a record that can't be read.
func (t *term) skipped(err error) {
	t.config.Log.Error("record skipped", "error", err.Error())
}

func (t *term) restore(accepted jobsAccepted, progress map[graph.ID]graph.Progress) {
	now := time.Now()
	t.planner = planner.New(t.config.Settings, t.policy())
	for _, job := range accepted.jobs {
		if record, begun := progress[job.ID]; begun {
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

// control handles events until the context ends.
func (t *term) control(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	t.count()
	t.step()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-t.events:
			t.handle(e)
			t.drain()
		case <-ticker.C:
			t.planner.Tick()
			t.count()
			t.forget(ctx)
		}
		begun := time.Now()
		t.step()
		t.rest(ctx, time.Since(begun))
	}
}

// rest leaves as much time to traffic as a long decision took, so that events gather for the next one. On large sites
// each decision looks at thousands of workers, however few events it is about.
func (t *term) rest(ctx context.Context, took time.Duration) {
	if took >= longStep {
		wait.For(ctx, min(took, maxRest))
	}
}

// drain handles the events that wait already.
func (t *term) drain() {
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
		t.connect()
	case jobsAccepted:
		t.accept(e, now)
	case workerHeld:
		t.observe(e, now)
	case workerSilent:
		t.silent(e.worker, now)
	case workerGone:
		t.config.Log.Info("worker gone", "worker", e.worker)
		t.planner.WorkerExited(e.worker, now)
	case startAnswered:
		t.planner.StartAnswered(e.start, e.outcome, now)
		t.orders.startAnswered(e)
	case stopAnswered:
		if e.accepted {
			t.planner.StopAnswered(e.stop, now)
		}
		t.orders.stopAnswered(e)
	case flushed:
		t.flushed(e, now)
	case policyChanged:
		t.planner.SetPolicy(t.policy())
		t.waves.SetWaves(t.policy().Waves, now)
	default:
		t.handleService(e, now)
	}
}

// handleService handles the answers of the platform's services and of callers.
func (t *term) handleService(e event, now time.Time) {
	switch e := e.(type) {
	case paceAnswered:
		t.orders.paceAnswered(e)
	case consulted:
		t.planner.ConsultAnswered(e.question, e.advice.Tickets, e.advice.Validity, e.answered, now)
	case machinesListed:
		t.waves.SetMachines(e.machines)
	case waveRecorded:
		t.reporting = false
		t.waves.Recorded(e.record)
	case maintained:
		t.waves.Answered(e.begin, e.outcome, now)
	case question:
		state, known := t.planner.State(e.id)
		e.reply <- JobStatus{State: state, Known: known}
	}
}

// silent takes a worker as not answering, and asks the others of its failure domain at once, as they may be cut off
// too.
func (t *term) silent(name endpoint.Name, now time.Time) {
	t.planner.SetResponsive(name, false)
	l, linked := t.links[name]
	if !linked {
		return
	}
	failureDomain := l.info.FailureDomain
	if now.Sub(t.probed[failureDomain]) < probeInterval {
		return
	}
	t.probed[failureDomain] = now
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

func (t *term) observe(e workerHeld, now time.Time) {
	t.observed++
	t.planner.SetResponsive(e.observation.Worker, true)
	t.planner.Observe(e.observation, now)
	for i := range e.observation.Ended {
		end := &e.observation.Ended[i]
		t.config.Metrics.ended(end.Kind)
		t.config.Log.Info("run ended", "job", end.Task.Job, "task", end.Task.String(), "run", end.Run,
			"how", end.Kind.String(), "worker", e.observation.Worker)
	}
	if e.last > 0 {
		t.acks = append(t.acks, ack{
			worker: e.observation.Worker, incarnation: e.observation.Incarnation, number: e.last, observed: t.observed,
		})
	}
}

// step lets the planner decide and carries out what it decided.
func (t *term) step() {
	if !t.role.Valid() {
		return
	}
	now := time.Now()
	for name, l := range t.links {
		if sent := l.lastSent(); !sent.IsZero() {
			t.planner.LeaseRenewed(name, sent)
		}
	}
	t.maintainWaves(now)
	for _, action := range t.planner.Plan(now) {
		if question, isQuestion := action.(planner.Consult); isQuestion {
			t.consult(question)
			continue
		}
		t.orders.give(action)
	}
	t.watchPaced()
	t.orders.retry(now)
	t.flush()
	t.releaseAcks()
}

// watchPaced lets the links to workers with tasks that may disturb each other ask more often.
func (t *term) watchPaced() {
	for name, l := range t.links {
		l.paced.Store(t.planner.Paced(name))
	}
}

// count publishes how many jobs of each queue wait, and the sizes of the workers.
func (t *term) count() {
	pending := t.planner.Pending()
	t.pending.Store(&pending)
	sizes := t.planner.Sizes(time.Now())
	t.sizes.Store(&sizes)
}

// connect opens links to new workers and closes those to workers that are gone.
func (t *term) connect() {
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
			l.registered(w.Incarnation)
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
