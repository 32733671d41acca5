package site

import (
	"encoding/json"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/resources"
	"auburnstack/core/vm"
	"auburnstack/standin/memstore"
	"auburnstack/standin/memworker"
)

const (
	// downtime is the time after which a worker that a task has crashed is back.
	downtime = 2 * time.Second
	// leaverWork is the work of the tasks on a worker that leaves for good. drainLead is the time from their start to the
	// announcement, so that the tasks are nearly done when the worker leaves.
	// announcedStay is the least time for which a draining worker says that it will stay.
	leaverWork    = 6 * time.Second
	drainLead     = 2400 * time.Millisecond
	announcedStay = 3 * time.Second
	// smallWork is the work of the tasks of which many end at the same time.
	smallWork = 3 * time.Second
	// gangTasks is the number of tasks of the gang under which workers crash, gangWork their work. runBeforeCrash is the
	// time from the gang's start to a crash.
	gangTasks      = 8
	gangWork       = 4 * time.Second
	runBeforeCrash = 700 * time.Millisecond
)

// fullCapacity is the capacity of a worker unless a fault has changed it to smallCapacity.
var (
	fullCapacity  = resources.Amounts{CPU: 8000, Memory: 8000, Accelerators: 8}
	smallCapacity = resources.Amounts{CPU: 2000, Memory: 2000, Accelerators: 2}
)

// usualKind is the label that all tasks need, and that each worker has unless it has started again as another kind.
const usualKind = "a"

// disruption is a fault of one VM, or of the store or all VMs if vm is empty.
type disruption struct {
	vm       vm.Name
	from, to time.Time
}

// troubledJobs holds jobs that faults have submitted.
type troubledJobs struct {
	// deadly holds the jobs with tasks that crash their workers.
	// innocent holds the other jobs, which must finish.
	deadly, innocent []graph.ID
	// gang is the gang under which workers crash for reasons of their own.
	gang graph.ID
	// draining is the worker that has announced that it will leave.
	draining endpoint.Name
}

// disrupt runs a fault of one VM, or of the store or all VMs if name is empty, and records its time.
func (f *fleet) disrupt(name vm.Name, fault func()) {
	from := time.Now()
	fault()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disruptions = append(f.disruptions, disruption{vm: name, from: from, to: time.Now()})
}

// disruptStore gives the store's calls a fault for the given time.
func (f *fleet) disruptStore(fault memstore.Faults, length time.Duration) {
	f.disrupt("", func() {
		f.store.SetFaults(fault)
		time.Sleep(length)
		f.store.SetFaults(memstore.Faults{})
	})
}

// inTouch reports whether neither the store nor the VM was disrupted in the ContactTime before the given time.
func (f *fleet) inTouch(name vm.Name, at time.Time) bool {
	for _, d := range f.disruptions {
		if (d.vm == "" || d.vm == name) && !d.from.After(at) && at.Before(d.to.Add(memworker.ContactTime)) {
			return false
		}
	}
	return true
}

// names returns the names of the workers that have not been removed.
func (f *fleet) names() []endpoint.Name {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workerNames
}

// beat writes the registration of a worker if the worker is up and reaches the store.
func (f *fleet) beat(name endpoint.Name) {
	if info, reaches := f.workers.Report(name); reaches && !f.store.Down() && !f.beatsHeld.Load() {
		value, err := json.Marshal(info)
		qt.Check(f.t, err, qt.IsNil)
		f.store.Put("servers/"+string(name), value)
	}
}

// injectCapacity carries out the faults of changed capacities and of changed limits of the account. It returns false if the fault is of another kind.
func (f *fleet) injectCapacity(words []string) bool {
	switch words[0] {
	case "shrink":
		f.setCapacities(smallCapacity)
	case "shrink-unregistered":
		f.shrinkUnregistered(f.seconds(words[1]))
	case "limit":
		f.setLimit(f.number(words[1]))
	case "grow":
		f.setCapacities(fullCapacity)
	default:
		return false
	}
	return true
}

// injectTrouble carries out the faults of deadly tasks and workers that leave for good. It returns false if the fault is
// of another kind.
func (f *fleet) injectTrouble(words []string) bool {
	switch words[0] {
	case "deadly":
		f.submitDeadly(oneStep(1, false, 1), memworker.Plan{DeadlyTasks: 1, CrashDelay: f.seconds(words[1])})
	case "deadly-step":
		f.submitDeadly(oneStep(4, false, 1), memworker.Plan{DeadlyTasks: 2, CrashDelay: f.seconds(words[1])})
	case "deadly-gang":
		f.submitDeadly(oneStep(3, true, 1), memworker.Plan{DeadlyTasks: 1, CrashDelay: f.seconds(words[1]), Gang: 3})
	case "many-ends":
		f.submitSmall(f.number(words[1]))
	case "load":
		f.load(f.seconds(words[1]))
	case "drain":
		f.drainBusyWorker()
		time.Sleep(f.seconds(words[1]))
	case "leave":
		f.leave(f.store.Remove)
	case "leave-after":
		time.AfterFunc(f.seconds(words[1]), func() { f.leave(f.store.Remove) })
	case "expire":
		f.expire()
	case "rejoin":
		f.workers.SetPartitioned(f.troubled.draining, false)
	case "leave-unseen":
		f.leave(f.store.RemoveUnseen)
	case "leave-store-down":
		f.leaveDuring(memstore.Faults{Down: true}, f.seconds(words[1]))
	case "leave-store-slow":
		f.leaveDuring(memstore.Faults{Slow: 240 * time.Millisecond}, f.seconds(words[1]))
	default:
		return f.injectGang(words)
	}
	return true
}

// injectGang carries out the faults of a gang whose workers crash for reasons of their own. It returns false if the fault
// is of another kind.
func (f *fleet) injectGang(words []string) bool {
	switch words[0] {
	case "gang":
		f.submitGang()
	case "crash-under":
		f.crashUnder(f.number(words[1]))
	default:
		return false
	}
	return true
}

// submitDeadly submits a job with tasks that crash their workers.
func (f *fleet) submitDeadly(steps []graph.Step, plan memworker.Plan) {
	plan.Work, plan.Downtime = plan.CrashDelay+3*time.Second, downtime
	f.troubled.deadly = append(f.troubled.deadly, f.submit(batchQueue, steps, plan))
}

// submitGang submits a gang that needs a worker for each of its tasks and crashes none of them.
func (f *fleet) submitGang() {
	steps := oneStep(gangTasks, true, 1)
	steps[0].Estimate, steps[0].SpreadLimit = gangWork, 1
	f.troubled.gang = f.submit(batchQueue, steps, memworker.Plan{Work: gangWork, Gang: gangTasks})
	f.troubled.innocent = append(f.troubled.innocent, f.troubled.gang)
}

// crashUnder waits until the gang runs and crashes the worker of one of its tasks, which is back after the downtime.
func (f *fleet) crashUnder(index int) {
	deadline := time.Now().Add(completionTimeout)
	for f.workers.Running(f.troubled.gang) < gangTasks {
		if !time.Now().Before(deadline) {
			f.t.Errorf("the gang does not run before a crash under its task %d", index)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(runBeforeCrash)
	name := f.workers.WorkerOf(graph.TaskID{Job: f.troubled.gang, Index: index})
	f.workers.RestartAs(name, downtime, usualKind)
}

// setLimit changes the number of accelerators that all jobs may use together; 0 means no limit.
func (f *fleet) setLimit(accelerators int) {
	f.limit = resources.Amounts{Accelerators: int64(accelerators)}
	f.workers.SetLimit(f.limit)
	f.putPolicy(1)
}

// setCapacities changes the capacity of all workers but the last two.
func (f *fleet) setCapacities(capacity resources.Amounts) {
	for _, name := range f.workerNames[:len(f.workerNames)-2] {
		f.workers.SetCapacity(name, capacity)
	}
}

// shrinkUnregistered shrinks the workers just after they have registered, and keeps them from registering again for the
// given time.
func (f *fleet) shrinkUnregistered(length time.Duration) {
	for _, name := range f.names() {
		f.beat(name)
	}
	f.holdBeats(length)
	f.setCapacities(smallCapacity)
}

// holdBeats keeps the workers from writing their registrations for the given time.
func (f *fleet) holdBeats(length time.Duration) {
	f.beatsHeld.Store(true)
	time.AfterFunc(length, func() { f.beatsHeld.Store(false) })
}

// restartAs crashes half of the workers. They are back, as workers of another kind, after the downtime, and register two
// beats later.
func (f *fleet) restartAs(kind string) {
	f.holdBeats(downtime + 2*memworker.RegistrationInterval)
	for _, name := range f.workerNames[:4] {
		f.workers.RestartAs(name, downtime, kind)
	}
}

// submitSmall submits a job with the given number of tasks, of which several hundred fit on a worker, and waits until
// all of them run.
func (f *fleet) submitSmall(tasks int) {
	steps := oneStep(tasks, false, 0)
	steps[0].Estimate = smallWork
	steps[0].Needs = resources.Amounts{CPU: 8, Memory: 8}
	id := f.submit(batchQueue, steps, memworker.Plan{Work: smallWork})
	f.troubled.innocent = append(f.troubled.innocent, id)
	deadline := time.Now().Add(completionTimeout)
	for f.workers.Running(id) < tasks && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	qt.Check(f.t, f.workers.Running(id), qt.Equals, tasks)
}

// load submits a job with more tasks than the workers can run at a time every half second.
func (f *fleet) load(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		id := f.submit(batchQueue, oneStep(20, false, 1), memworker.Plan{Work: 2 * time.Second})
		f.troubled.innocent = append(f.troubled.innocent, id)
	}
}

// drainBusyWorker submits tasks and makes one of the workers that run them announce that it will leave.
func (f *fleet) drainBusyWorker() {
	steps := oneStep(8, false, 1)
	steps[0].Estimate = leaverWork
	id := f.submit(batchQueue, steps, memworker.Plan{Work: leaverWork})
	f.troubled.innocent = append(f.troubled.innocent, id)
	for f.workers.Running(id) < steps[0].Tasks {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(drainLead)
	name := f.workers.WorkerOf(graph.TaskID{Job: id})
	f.troubled.draining = name
	f.workers.AnnounceLeave(name, announcedStay)
	f.beat(name)
}

// leave ends the draining worker for good. The function remove removes its registration.
func (f *fleet) leave(remove func(key string)) {
	departure := f.workers.Leave(f.troubled.draining)
	f.mu.Lock()
	f.departures = append(f.departures, departure)
	f.mu.Unlock()
	remove("servers/" + string(f.troubled.draining))
	qt.Check(f.t, len(departure.Tasks) > 0, qt.IsTrue, qt.Commentf("no task was running on the worker that left"))
}

// expire cuts the draining worker off, with tasks that go on for as long as the worker's lease, and has its registration
// removed after three intervals without a write.
func (f *fleet) expire() {
	name := f.troubled.draining
	f.beat(name)
	f.workers.Hang(name)
	f.workers.SetPartitioned(name, true)
	time.AfterFunc(3*memworker.RegistrationInterval, func() { f.store.Remove("servers/" + string(name)) })
}

// leaveDuring gives the store's calls a fault for the given time and ends the draining worker in the middle of it.
func (f *fleet) leaveDuring(fault memstore.Faults, length time.Duration) {
	time.AfterFunc(length/2, func() { f.leave(f.store.Remove) })
	f.disruptStore(fault, length)
}

// checkTroubled checks the jobs that the faults have submitted, and the tasks of workers that left.
func (f *fleet) checkTroubled() {
	qt.Check(f.t, f.awaitAll(batchQueue, f.troubled.innocent, graph.Complete, completionTimeout), qt.HasLen, 0)
	for _, id := range f.troubled.deadly {
		f.checkDeadly(id)
	}
	for _, d := range f.departures {
		for _, task := range d.Tasks {
			f.checkStartedAgain(task, d.At)
		}
	}
}

// checkDeadly checks that the tasks of a job are not started too often after they have crashed their workers (rule
// BUDGET), and that the job is not given up too early (rule LOST).
func (f *fleet) checkDeadly(id graph.ID) {
	counts := func(start memworker.StartedRun) bool { return f.inTouch(start.Sender, start.At) }
	qt.Check(f.t, f.workers.StartsAfterCrashes(id, counts), qt.HasLen, 0,
		qt.Commentf("BUDGET: tasks of %s started too often after workers crashed under them", id))
	if f.state(batchQueue, id) == graph.Failed {
		qt.Check(f.t, f.workers.Crashes(id) >= memworker.CrashesToGiveUp, qt.IsTrue,
			qt.Commentf("LOST: %s given up after %d crashes", id, f.workers.Crashes(id)))
	}
}

// checkStartedAgain checks that a task was started again in time after its worker had left (rule LOST).
func (f *fleet) checkStartedAgain(task graph.TaskID, left time.Time) {
	deadline := left.Add(memworker.RestartLimit)
	for _, d := range f.disruptions {
		if end := d.to.Add(memworker.CalmLimit); d.from.Before(deadline) && end.After(deadline) {
			deadline = end
		}
	}
	at, started := f.workers.FirstStart(task, left)
	if !started {
		f.t.Errorf("LOST: %s has not started again after its worker left", task)
	} else if at.After(deadline) {
		f.t.Errorf("LOST: %s must start within %s after its worker left; it started %s later", task, deadline.Sub(left), at.Sub(left))
	}
}
