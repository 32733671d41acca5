// Package memworker is a set of workers in memory for tests. They run tasks under leases and fencing tokens, work as
// gangs, lose answers, obey late and crash; and they note what must never happen, as seen from the workers.
package memworker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
	"auburnstack/io/runner"
)

const (
	// leaseLimit is the longest lease.
	leaseLimit = 10 * time.Second
	// stopTime is the time that a stop takes.
	stopTime = 400 * time.Millisecond
	// gangTimeout is how long a member waits for the others.
	gangTimeout = 3 * time.Second
	// latency is the time that an order takes in either direction.
	latency = time.Millisecond
)

// Plan tells how the tasks of a job behave.
type Plan struct {
	Work  time.Duration
	Needs resources.Amounts
	// Gang is the number of tasks that work only together; 0 for independent tasks.
	Gang int
	// Fails is the number of runs of each task that fail.
	Fails int
}

// Fleet is a set of workers.
type Fleet struct {
	mu      sync.Mutex
	random  *rand.Rand
	workers map[endpoint.Name]*machine
	plans   map[graph.ID]Plan
	// started counts the runs of each task; done holds the tasks that have finished.
	started map[graph.TaskID]int
	failed  map[graph.TaskID]int
	done    map[graph.TaskID]bool
	// Violations lists what must never happen.
	violations []string
	// lateShare is the share of orders that are carried out late and without an answer.
	lateShare float64
}

// New returns a fleet without workers.
func New(seed uint64) *Fleet {
	return &Fleet{
		random: rand.New(rand.NewPCG(seed, ^seed)), workers: map[endpoint.Name]*machine{}, plans: map[graph.ID]Plan{},
		started: map[graph.TaskID]int{}, failed: map[graph.TaskID]int{}, done: map[graph.TaskID]bool{},
	}
}

// machine is one worker.
type machine struct {
	fleet    *Fleet
	info     roster.Worker
	born     time.Time
	fence    runner.Fence
	lease    time.Time
	runs     map[graph.TaskID]*run
	highest  map[graph.TaskID]graph.Run
	ends     []numberedEnd
	lastEnd  int64
	cut      bool
	crashed  bool
	changed  chan struct{}
	hangs    bool
	failsAll bool
}

type numberedEnd struct {
	number int64
	end    planner.EndedRun
}

// run is a task that runs.
type run struct {
	id       graph.Run
	plan     Plan
	arrived  time.Time
	work     *time.Timer
	alone    *time.Timer
	stopping bool
}

// Add adds a worker.
func (f *Fleet) Add(info roster.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	info.Incarnation = roster.Incarnation(time.Now().UnixMilli())
	f.workers[info.Name] = &machine{
		fleet: f, info: info, born: time.Now(), runs: map[graph.TaskID]*run{}, highest: map[graph.TaskID]graph.Run{},
		changed: make(chan struct{}),
	}
}

// Info returns a worker's registration.
func (f *Fleet) Info(name endpoint.Name) roster.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[name].info
}

// SetPlan tells how the tasks of a job behave.
func (f *Fleet) SetPlan(id graph.ID, plan Plan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plans[id] = plan
}

// SetLate makes a share of the orders be carried out late and without an answer.
func (f *Fleet) SetLate(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateShare = share
}

// Cut cuts a worker off from all VMs, or heals the cut.
func (f *Fleet) Cut(name endpoint.Name, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[name].cut = cut
}

// Hang makes what runs on a worker stand still.
func (f *Fleet) Hang(name endpoint.Name) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[name]
	w.hangs = true
	for _, r := range w.runs {
		if r.work != nil {
			r.work.Stop()
		}
	}
}

// FailAll makes a worker fail all that it starts.
func (f *Fleet) FailAll(name endpoint.Name) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[name].failsAll = true
}

// Reborn crashes a worker, which starts again under the same name.
func (f *Fleet) Reborn(name endpoint.Name) {
	f.mu.Lock()
	w := f.workers[name]
	w.kill()
	info, cut := w.info, w.cut
	f.mu.Unlock()
	f.Add(info)
	f.Cut(name, cut)
}

// Crash ends a worker for good.
func (f *Fleet) Crash(name endpoint.Name) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[name].kill()
	f.workers[name].crashed = true
}

// Violations lists what must never happen and did.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// Done tells whether a task has finished.
func (f *Fleet) Done(task graph.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[f.unitOf(task)]
}

// Started counts the runs of a task.
func (f *Fleet) Started(task graph.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started[task]
}

// Running counts the tasks that run.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, w := range f.workers {
		w.expire()
		count += len(w.runs)
	}
	return count
}

func (f *Fleet) violate(format string, words ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, words...))
}

// Worker implements runner.Dialer.
func (f *Fleet) Worker(info roster.Worker) runner.Worker {
	return &connection{fleet: f, name: info.Name}
}

// kill ends everything on a worker without a trace.
func (w *machine) kill() {
	for task := range w.runs {
		if r := w.drop(task); r.plan.Gang > 0 {
			w.fleet.breakGang(task, r.id)
		}
	}
	w.voidEnds()
	w.wake()
}

// voidEnds forgets the ends that nobody has taken note of: what they say does not count any more.
func (w *machine) voidEnds() {
	for _, e := range w.ends {
		if e.end.Kind == planner.EndDone {
			delete(w.fleet.done, w.fleet.unitOf(e.end.Task))
		}
	}
}

// unitOf returns the first task of a gang, as its end stands for all, or the task itself.
func (f *Fleet) unitOf(task graph.TaskID) graph.TaskID {
	if f.plans[task.Job].Gang > 0 {
		task.Index = 0
	}
	return task
}

func (w *machine) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *machine) drop(task graph.TaskID) *run {
	r := w.runs[task]
	delete(w.runs, task)
	if r.work != nil {
		r.work.Stop()
	}
	if r.alone != nil {
		r.alone.Stop()
	}
	return r
}

// expire ends everything when the lease has run out.
func (w *machine) expire() {
	if w.lease.IsZero() || time.Now().Before(w.lease) {
		return
	}
	w.lease = time.Time{}
	w.voidEnds()
	for task := range w.runs {
		w.end(task, planner.EndLapsed)
	}
}

// end takes a run off the worker and lists its end; the rest of a gang breaks.
func (w *machine) end(task graph.TaskID, kind planner.EndKind) {
	r := w.drop(task)
	w.lastEnd++
	w.ends = append(w.ends, numberedEnd{number: w.lastEnd, end: planner.EndedRun{Task: task, Run: r.id, Kind: kind}})
	w.wake()
	if kind == planner.EndDone {
		w.fleet.done[w.fleet.unitOf(task)] = true
	}
	if r.plan.Gang > 0 && kind != planner.EndDone && kind != planner.EndBroken {
		w.fleet.breakGang(task, r.id)
	}
}

// breakGang ends the other members of a gang.
func (f *Fleet) breakGang(task graph.TaskID, id graph.Run) {
	for _, w := range f.workers {
		for other, r := range w.runs {
			if other.Job == task.Job && other.Step == task.Step && other.Occurrence == task.Occurrence && r.id == id {
				w.end(other, planner.EndBroken)
			}
		}
	}
}

func (w *machine) used() resources.Amounts {
	var sum resources.Amounts
	for _, r := range w.runs {
		sum = sum.Add(r.plan.Needs)
	}
	return sum
}

func (w *machine) clock() runner.WorkerTime {
	return runner.WorkerTime(time.Since(w.born) + time.Minute)
}

func (w *machine) renew(until runner.WorkerTime) {
	left := min(time.Duration(until-w.clock()), leaseLimit)
	if end := time.Now().Add(left); end.After(w.lease) {
		w.lease = end
	}
}

// admit checks the fencing token of an order.
func (w *machine) admit(fence runner.Fence) error {
	w.expire()
	if fence < w.fence {
		return runner.ErrFenced
	}
	w.fence = fence
	return nil
}

func (w *machine) start(s runner.Start) error {
	if err := w.admit(s.Fence); err != nil {
		return err
	}
	if s.Until <= w.clock() {
		return runner.ErrRejected
	}
	if known, runs := w.runs[s.Task]; runs && known.id == s.Run {
		return nil
	}
	if s.Run <= w.highest[s.Task] {
		return runner.ErrRejected
	}
	w.check(s.Task)
	w.renew(s.Until)
	w.begin(s)
	return nil
}

// check notes a start that must not be.
func (w *machine) check(task graph.TaskID) {
	f := w.fleet
	plan := f.plans[task.Job]
	if !plan.Needs.Fits(w.info.Capacity.Sub(w.used())) {
		f.violate("%s starts on %s without room", task, w.info.Name)
	}
	for _, other := range f.workers {
		other.expire()
	}
	if f.done[f.unitOf(task)] {
		f.violate("%s starts again after it has finished", task)
	}
	for _, other := range f.workers {
		if _, runs := other.runs[task]; runs {
			f.violate("%s starts on %s while it runs on %s", task, w.info.Name, other.info.Name)
		}
	}
}

func (w *machine) begin(s runner.Start) {
	f := w.fleet
	f.started[s.Task]++
	r := &run{id: s.Run, plan: f.plans[s.Task.Job], arrived: time.Now()}
	w.runs[s.Task] = r
	w.highest[s.Task] = s.Run
	if r.plan.Gang == 0 {
		w.work(s.Task, r)
		return
	}
	members := f.members(s.Task, s.Run)
	if len(members) < r.plan.Gang {
		r.alone = time.AfterFunc(gangTimeout, func() { w.after(s.Task, r, planner.EndAlone) })
		return
	}
	for task, member := range members {
		if member.alone != nil {
			member.alone.Stop()
		}
		f.holder(task, member).work(task, member)
	}
}

// members returns the present members of a gang's run.
func (f *Fleet) members(task graph.TaskID, id graph.Run) map[graph.TaskID]*run {
	members := map[graph.TaskID]*run{}
	for _, w := range f.workers {
		for other, r := range w.runs {
			if other.Job == task.Job && other.Step == task.Step && other.Occurrence == task.Occurrence && r.id == id {
				members[other] = r
			}
		}
	}
	return members
}

func (f *Fleet) holder(task graph.TaskID, r *run) *machine {
	for _, w := range f.workers {
		if w.runs[task] == r {
			return w
		}
	}
	return nil
}

// work lets a run make progress until it ends.
func (w *machine) work(task graph.TaskID, r *run) {
	if w.hangs {
		return
	}
	kind := planner.EndDone
	if w.failsAll || w.fleet.failed[task] < r.plan.Fails {
		w.fleet.failed[task]++
		kind = planner.EndFailed
	}
	r.work = time.AfterFunc(r.plan.Work, func() { w.after(task, r, kind) })
}

// after ends a run when its time has come, if it still runs.
func (w *machine) after(task graph.TaskID, r *run, kind planner.EndKind) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.expire()
	if w.runs[task] == r {
		w.end(task, kind)
	}
}

func (w *machine) stop(s runner.Stop) error {
	if err := w.admit(s.Fence); err != nil {
		return err
	}
	w.highest[s.Task] = max(w.highest[s.Task], s.Run)
	r, runs := w.runs[s.Task]
	if !runs || r.id != s.Run || r.stopping {
		return nil
	}
	r.stopping = true
	if r.work != nil {
		r.work.Stop()
	}
	time.AfterFunc(stopTime, func() { w.after(s.Task, r, planner.EndStopped) })
	return nil
}

func (w *machine) held(seen int64) runner.Held {
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.number > seen {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	held := runner.Held{Clock: w.clock(), Incarnation: w.info.Incarnation}
	for task, r := range w.runs {
		percent := 0
		if r.work != nil {
			percent = int(min(time.Since(r.arrived)*99/r.plan.Work, 99))
			if w.hangs {
				percent = 0
			}
		}
		held.Runs = append(held.Runs, planner.RunningTask{Task: task, Run: r.id, Percent: percent})
	}
	for _, e := range w.ends {
		held.Ended = append(held.Ended, e.end)
		held.Last = e.number
	}
	return held
}

// connection is a runner.Worker.
type connection struct {
	fleet *Fleet
	name  endpoint.Name
}

// order carries out an order, late and without an answer if a fault says so.
func (c *connection) order(ctx context.Context, act func(w *machine) error) error {
	if err := c.travel(ctx); err != nil {
		return err
	}
	c.fleet.mu.Lock()
	w := c.fleet.workers[c.name]
	if w.cut || w.crashed {
		c.fleet.mu.Unlock()
		<-ctx.Done()
		return runner.ErrUnanswered
	}
	if c.fleet.random.Float64() < c.fleet.lateShare {
		delay := 2*time.Second + time.Duration(c.fleet.random.Int64N(int64(10*time.Second)))
		time.AfterFunc(delay, func() { c.actLate(act) })
		c.fleet.mu.Unlock()
		<-ctx.Done()
		return runner.ErrUnanswered
	}
	err := act(w)
	c.fleet.mu.Unlock()
	if travel := c.travel(ctx); travel != nil {
		return travel
	}
	return err
}

func (c *connection) actLate(act func(w *machine) error) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if w := c.fleet.workers[c.name]; !w.crashed {
		// Nobody waits for the answer.
		_ = act(w)
	}
}

func (c *connection) travel(ctx context.Context) error {
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return runner.ErrUnanswered
	case <-timer.C:
		return nil
	}
}

// Hold implements runner.Worker.
func (c *connection) Hold(ctx context.Context, hold runner.Hold) (runner.Held, error) {
	var held runner.Held
	deadline := time.Now().Add(hold.Wait)
	for {
		var changed <-chan struct{}
		err := c.order(ctx, func(w *machine) error {
			if err := w.admit(hold.Fence); err != nil {
				return err
			}
			if hold.Until != 0 {
				w.renew(hold.Until)
				hold.Until = 0
			}
			held, changed = w.held(hold.Seen), w.changed
			return nil
		})
		if err != nil || len(held.Ended) > 0 || !time.Now().Before(deadline) {
			return held, err
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Start implements runner.Worker.
func (c *connection) Start(ctx context.Context, start runner.Start) (runner.WorkerTime, error) {
	return 0, c.order(ctx, func(w *machine) error { return w.start(start) })
}

// Stop implements runner.Worker.
func (c *connection) Stop(ctx context.Context, stop runner.Stop) error {
	return c.order(ctx, func(w *machine) error { return w.stop(stop) })
}
