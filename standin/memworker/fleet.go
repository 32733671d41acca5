// Package memworker simulates a set of workers in memory for tests. The workers run tasks and gangs under leases and
// fencing tokens. They can lose replies, carry out orders (instructions to a worker, for example to start or stop a
// run) late and crash. They record violations: events on a worker that a correct scheduler never causes.
package memworker

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
	"auburnstack/core/vm"
	"auburnstack/io/runner"
)

const (
	// leaseLimit is the longest duration for which a worker grants a lease.
	leaseLimit = 10 * time.Second
	// stopTime is the time from a stop order to the end of the run.
	stopTime = 400 * time.Millisecond
	// gangTimeout is the time for which a gang member waits for the other members to start.
	gangTimeout = 3 * time.Second
	// latency is the one-way network latency. An order to a worker and its reply take this time each.
	latency = time.Millisecond
)

// Fleet is a set of simulated workers.
type Fleet struct {
	mu      sync.Mutex
	random  *rand.Rand
	workers map[endpoint.Name]*simulatedWorker
	plans   map[graph.ID]Plan
	// failedRuns counts the runs of each task that were made to fail.
	failedRuns map[graph.TaskID]int
	// doneUnits holds the tasks that ended as done and must not start again; the first task of a gang represents the
	// whole gang.
	doneUnits map[graph.TaskID]bool
	// everDone holds the tasks that have ever ended as done. Unlike doneUnits, everDone keeps a task whose end was
	// still unacknowledged when the lease expired or the worker crashed. Such a task may run again, but a job that
	// counts it as finished is also correct.
	everDone map[graph.TaskID]bool
	// violations describes the recorded events that a correct scheduler never causes. Tests read it with the method
	// Violations.
	violations []string
	// orderNote describes the delay of the order that is being carried out. It is appended to violations.
	orderNote string
	// lateShare is the share of orders to workers that are carried out late and get no reply.
	lateShare float64
	// overTargetSince holds the time since which the tail latency of a task has exceeded its target because of filler
	// tasks on the same worker.
	overTargetSince map[graph.TaskID]time.Time
	// ticketExpiry holds the time at which each ticket, the permission to start a step on a worker, expires.
	ticketExpiry map[string]time.Time
	// canceledJobs holds the jobs that their callers have canceled.
	canceledJobs map[graph.ID]bool
	// ticketRefusals is the number of start orders that were rejected because they carried no valid ticket, the
	// permission to start a step on a worker.
	ticketRefusals int
	// startedJobs holds the jobs of which at least one task has started.
	startedJobs map[graph.ID]bool
	// jobFailures holds for each job the number of its runs that ended as failed.
	jobFailures map[graph.ID]int
	// starts holds the starts of each task in the order in which the workers carried them out.
	starts map[graph.TaskID][]StartedRun
	// crashes holds for each task the number of workers that have crashed while they ran the task.
	crashes map[graph.TaskID]int
	// limit holds the largest amounts that all runs may have together. earlierLimits holds the limits before.
	limit         resources.Amounts
	earlierLimits []earlierLimit
	// onReturn is called with the name of each worker that is back after a task has crashed it; it may be nil.
	onReturn func(name endpoint.Name)
}

// New returns a fleet without workers. The seed determines which orders to workers are carried out late and by how
// much.
func New(seed uint64) *Fleet {
	return &Fleet{
		random: rand.New(rand.NewPCG(seed, ^seed)), workers: map[endpoint.Name]*simulatedWorker{}, plans: map[graph.ID]Plan{},
		failedRuns: map[graph.TaskID]int{}, doneUnits: map[graph.TaskID]bool{}, everDone: map[graph.TaskID]bool{},
		overTargetSince: map[graph.TaskID]time.Time{}, ticketExpiry: map[string]time.Time{},
		canceledJobs: map[graph.ID]bool{},
		startedJobs:  map[graph.ID]bool{}, jobFailures: map[graph.ID]int{},
		starts: map[graph.TaskID][]StartedRun{}, crashes: map[graph.TaskID]int{},
	}
}

// Add starts a worker with a new incarnation number.
func (f *Fleet) Add(info roster.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	info.Incarnation = roster.Incarnation(time.Now().UnixMilli())
	f.workers[info.Name] = &simulatedWorker{
		fleet: f, info: info, startedAt: time.Now(), runs: map[graph.TaskID]*run{}, highestRun: map[graph.TaskID]graph.Run{},
		changed: make(chan struct{}),
	}
}

// Info returns a worker's registration, as the worker would write it now.
func (f *Fleet) Info(name endpoint.Name) roster.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[name]
	info := w.info
	info.Clock = time.Duration(w.clock())
	if !w.staysUntil.IsZero() {
		info.Remaining = max(time.Until(w.staysUntil), 0)
	}
	return info
}

// Report returns a worker's registration, and false if the worker can't write it, because it has crashed or is cut off.
func (f *Fleet) Report(name endpoint.Name) (roster.Worker, bool) {
	f.mu.Lock()
	w, known := f.workers[name]
	reaches := known && !w.crashed && !w.partitioned
	f.mu.Unlock()
	if !known {
		return roster.Worker{}, false
	}
	return f.Info(name), reaches
}

// WorkerOf returns the worker that runs a task; empty if none does.
func (f *Fleet) WorkerOf(task graph.TaskID) endpoint.Name {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, w := range f.workers {
		if _, runs := w.runs[task]; runs {
			return name
		}
	}
	return ""
}

// SetPlan sets how the tasks of a job behave.
func (f *Fleet) SetPlan(id graph.ID, plan Plan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plans[id] = plan
}

// Cancel records that the caller of a job has canceled it. Stopping its tasks is then no violation.
func (f *Fleet) Cancel(id graph.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.canceledJobs[id] = true
}

// TicketRefusals returns the number of starts that were rejected because they carried no valid ticket, the permission
// to start a step on a worker.
func (f *Fleet) TicketRefusals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ticketRefusals
}

// Started reports whether any task of the given job has ever started.
func (f *Fleet) Started(id graph.ID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startedJobs[id]
}

// Failures returns the number of runs of the given job that ended as failed.
func (f *Fleet) Failures(id graph.ID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobFailures[id]
}

// Running returns the number of running tasks of the given job.
func (f *Fleet) Running(id graph.ID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, w := range f.workers {
		for task := range w.runs {
			if task.Job == id {
				count++
			}
		}
	}
	return count
}

// SetLateShare sets the share of orders to workers that are carried out late and get no reply.
func (f *Fleet) SetLateShare(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateShare = share
}

// SetPartitioned cuts a worker off from all VMs, or reconnects it.
func (f *Fleet) SetPartitioned(name endpoint.Name, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[name].partitioned = cut
}

// Drain sets the reported state of a worker to draining, or back to ready.
func (f *Fleet) Drain(name endpoint.Name, drain bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[name]
	w.info.State, w.staysUntil = roster.Ready, time.Time{}
	if drain {
		w.info.State = roster.Draining
	}
}

// AnnounceLeave sets the reported state of a worker to draining, with the least time for which the worker will stay.
func (f *Fleet) AnnounceLeave(name endpoint.Name, remaining time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[name]
	w.info.State, w.staysUntil = roster.Draining, time.Now().Add(remaining)
}

// Crashed reports whether a worker has ended permanently.
func (f *Fleet) Crashed(name endpoint.Name) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[name].crashed
}

// Hang stops the progress of all runs on a worker, including runs that start later.
func (f *Fleet) Hang(name endpoint.Name) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[name]
	w.hung = true
	for _, r := range w.runs {
		if r.workTimer != nil {
			r.workTimer.Stop()
		}
	}
}

// FailAll makes all runs fail that begin to work on the given worker after FailAll was called.
func (f *Fleet) FailAll(name endpoint.Name) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[name].failsAll = true
}

// Restart crashes a worker and starts it again under the same name.
func (f *Fleet) Restart(name endpoint.Name) {
	f.mu.Lock()
	w := f.workers[name]
	w.crash()
	info, cut := w.info, w.partitioned
	f.mu.Unlock()
	f.Add(info)
	f.SetPartitioned(name, cut)
}

// Crash ends a worker permanently.
func (f *Fleet) Crash(name endpoint.Name) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[name].crash()
}

// Leave ends a worker that shuts down permanently.
func (f *Fleet) Leave(name endpoint.Name) Departure {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[name]
	departure := Departure{At: time.Now()}
	for task := range w.runs {
		departure.Tasks = append(departure.Tasks, task)
	}
	w.kill()
	w.crashed = true
	return departure
}

// Violations returns the recorded events that a correct scheduler never causes.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// Done reports whether the given task has ever ended as done.
func (f *Fleet) Done(task graph.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.everDone[f.unitOf(task)]
}

func (f *Fleet) recordViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...)+f.orderNote)
}

// Worker implements runner.Dialer.
func (f *Fleet) Worker(info roster.Worker) runner.Worker {
	return &connection{fleet: f, name: info.Name}
}

// DialerOf returns the dialer of one VM. The workers record which VM has sent each start.
func (f *Fleet) DialerOf(sender vm.Name) runner.Dialer {
	return senderDialer{fleet: f, sender: sender}
}

// senderDialer implements runner.Dialer for one VM.
type senderDialer struct {
	fleet  *Fleet
	sender vm.Name
}

func (d senderDialer) Worker(info roster.Worker) runner.Worker {
	return &connection{fleet: d.fleet, name: info.Name, sender: d.sender}
}
