package memworker

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/vm"
	"auburnstack/io/runner"
)

// StartedRun is a start that a worker has carried out.
type StartedRun struct {
	// At is the time of the start.
	At time.Time
	// Sender is the VM that sent the order; empty if it is unknown.
	Sender vm.Name
	// Late is set if the order was carried out late.
	Late bool
	// Crashes is the number of workers that had crashed under the task before the start.
	Crashes int
}

// Starts returns the starts of a task in the order in which the workers carried them out.
func (f *Fleet) Starts(task graph.TaskID) []StartedRun {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]StartedRun(nil), f.starts[task]...)
}

// Crashes returns the largest number of workers that have crashed under one task of a job.
func (f *Fleet) Crashes(id graph.ID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for task, crashes := range f.crashes {
		if task.Job == id {
			most = max(most, crashes)
		}
	}
	return most
}

// DeadlyTasks returns the tasks of a job that have ever started and that crash their workers.
func (f *Fleet) DeadlyTasks(id graph.ID) []graph.TaskID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var tasks []graph.TaskID
	for task := range f.starts {
		if task.Job == id && task.Index < f.plans[id].DeadlyTasks {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// SetOnReturn sets a function that is called with the name of each worker that is back after a task has crashed it.
func (f *Fleet) SetOnReturn(onReturn func(name endpoint.Name)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onReturn = onReturn
}

// recordStart adds a start to the fleet's list.
func (w *simulatedWorker) recordStart(task graph.TaskID, sender vm.Name) {
	f := w.fleet
	f.starts[task] = append(f.starts[task], StartedRun{
		At: time.Now(), Sender: sender, Late: f.orderNote != "", Crashes: f.crashes[task],
	})
}

// crash ends the worker and counts the crash for each task that it runs.
func (w *simulatedWorker) crash() {
	for task := range w.runs {
		w.fleet.crashes[task]++
	}
	w.kill()
	w.crashed = true
}

// crashOnStart crashes the worker if the task that has just started is deadly. It returns ErrUnanswered if the worker
// crashes before it can reply.
func (w *simulatedWorker) crashOnStart(task graph.TaskID) error {
	plan := w.fleet.plans[task.Job]
	switch {
	case task.Index >= plan.DeadlyTasks:
		return nil
	case plan.CrashDelay == 0:
		w.crashAndReturn(plan.Downtime)
		return runner.ErrUnanswered
	default:
		r := w.runs[task]
		time.AfterFunc(plan.CrashDelay, func() { w.crashIfRunning(task, r, plan.Downtime) })
		return nil
	}
}

// crashIfRunning crashes the worker unless the run has ended already.
func (w *simulatedWorker) crashIfRunning(task graph.TaskID, r *run, downtime time.Duration) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.expire()
	if w.runs[task] == r {
		w.crashAndReturn(downtime)
	}
}

// crashAndReturn crashes the worker, which is back as a new incarnation after the downtime.
func (w *simulatedWorker) crashAndReturn(downtime time.Duration) {
	w.crash()
	time.AfterFunc(downtime, w.comeBack)
}

// RestartAs crashes a worker, which is back after the downtime under the same name, with other labels.
func (f *Fleet) RestartAs(name endpoint.Name, downtime time.Duration, labels ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[name]
	w.info.Labels = labels
	w.crashAndReturn(downtime)
}

// comeBack starts a crashed worker again unless it has been started already.
func (w *simulatedWorker) comeBack() {
	f, name := w.fleet, w.info.Name
	f.mu.Lock()
	waits := f.workers[name] == w
	info, partitioned, onReturn := w.info, w.partitioned, f.onReturn
	f.mu.Unlock()
	if !waits {
		return
	}
	f.Add(info)
	f.SetPartitioned(name, partitioned)
	if onReturn != nil {
		onReturn(name)
	}
}
