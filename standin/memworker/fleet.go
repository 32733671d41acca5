// Package memworker is a set of workers in memory for tests. They run tasks under leases and fencing tokens, work as
// gangs, lose answers, obey late and crash; and they note what must never happen, as seen from the workers.
package memworker

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
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

// Fleet is a set of workers.
type Fleet struct {
	mu      sync.Mutex
	random  *rand.Rand
	workers map[endpoint.Name]*machine
	plans   map[graph.ID]Plan
	// failedRuns counts the failedRuns runs of each task; done holds the tasks whose end as done still counts.
	failedRuns map[graph.TaskID]int
	doneUnits  map[graph.TaskID]bool
	// everDone holds the tasks that have ever ended as done. Unlike done, it keeps those whose end was listed on when the
	// lease lapsed: such a task may run again, but a job that counts it as everDone is right to.
	everDone map[graph.TaskID]bool
	// Violations lists what must never happen.
	violations []string
	// lateShare is the share of orders that are carried out late and without an answer.
	lateShare float64
	// overTargetSince holds since when a task has been over its bound because of what fills beside it.
	overTargetSince map[graph.TaskID]time.Time
	// ticketExpiry holds the end of each ticket; canceled the jobs that their callers have canceled.
	ticketExpiry map[string]time.Time
	canceledJobs map[graph.ID]bool
	// ticketRefusals counts the starts without a ticket that holds.
	ticketRefusals int
	// startedJobs holds the jobs of which a task has startedJobs; failures counts the ends as failed of each job.
	startedJobs map[graph.ID]bool
	jobFailures map[graph.ID]int
}

// New returns a fleet without workers.
func New(seed uint64) *Fleet {
	return &Fleet{
		random: rand.New(rand.NewPCG(seed, ^seed)), workers: map[endpoint.Name]*machine{}, plans: map[graph.ID]Plan{},
		failedRuns: map[graph.TaskID]int{}, doneUnits: map[graph.TaskID]bool{}, everDone: map[graph.TaskID]bool{},
		overTargetSince: map[graph.TaskID]time.Time{}, ticketExpiry: map[string]time.Time{},
		canceledJobs: map[graph.ID]bool{},
		startedJobs:  map[graph.ID]bool{}, jobFailures: map[graph.ID]int{},
	}
}

// Add adds a worker.
func (f *Fleet) Add(info roster.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	info.Incarnation = roster.Incarnation(time.Now().UnixMilli())
	f.workers[info.Name] = &machine{
		fleet: f, info: info, startedAt: time.Now(), runs: map[graph.TaskID]*run{}, highestRun: map[graph.TaskID]graph.Run{},
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

// Cancel notes that a job's caller has canceled it, so that its tasks may be taken out of service.
func (f *Fleet) Cancel(id graph.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.canceledJobs[id] = true
}

// TicketRefusals counts the starts that came without a ticket that holds.
func (f *Fleet) TicketRefusals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ticketRefusals
}

// Started tells whether a task of a job has ever started.
func (f *Fleet) Started(id graph.ID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startedJobs[id]
}

// Failures counts the runs of a job that have ended as failed.
func (f *Fleet) Failures(id graph.ID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobFailures[id]
}

// Running counts the tasks of a job that run.
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

// SetLateShare makes a share of the orders be carried out late and without an answer.
func (f *Fleet) SetLateShare(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateShare = share
}

// SetPartitioned cuts a worker off from all VMs, or heals the cut.
func (f *Fleet) SetPartitioned(name endpoint.Name, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[name].partitioned = cut
}

// Drain lets a worker say that it leaves, or that it does not.
func (f *Fleet) Drain(name endpoint.Name, drain bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[name].info.State = roster.Ready
	if drain {
		f.workers[name].info.State = roster.Draining
	}
}

// Crashed tells whether a worker has ended for good.
func (f *Fleet) Crashed(name endpoint.Name) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[name].crashed
}

// Hang makes what runs on a worker stand still.
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

// FailAll makes a worker fail all that it starts.
func (f *Fleet) FailAll(name endpoint.Name) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[name].failsAll = true
}

// Restart crashes a worker, which starts again under the same name.
func (f *Fleet) Restart(name endpoint.Name) {
	f.mu.Lock()
	w := f.workers[name]
	w.kill()
	info, cut := w.info, w.partitioned
	f.mu.Unlock()
	f.Add(info)
	f.SetPartitioned(name, cut)
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
	return f.everDone[f.unitOf(task)]
}

func (f *Fleet) recordViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// Worker implements runner.Dialer.
func (f *Fleet) Worker(info roster.Worker) runner.Worker {
	return &connection{fleet: f, name: info.Name}
}
