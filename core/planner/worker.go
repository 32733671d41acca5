package planner

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
	"auburnstack/core/speed"
)

// worker is the planner's state of one worker.
type worker struct {
	roster.Worker
	// largest holds the largest amount of each resource in the capacities that the incarnation largestOf has registered.
	largest   resources.Amounts
	largestOf roster.Incarnation
	// registered is set while the worker is in the list of registered workers.
	registered bool
	// clock is the reading of the worker's clock in its last report. reportedAt is the time at which this report was
	// requested.
	clock      time.Duration
	reportedAt time.Time
	// responsive is set while the worker answers heartbeats.
	responsive bool
	// silentSince is the time at which the worker stopped answering; zero if it has answered since.
	silentSince time.Time
	// leaseEnd is the time by which every run on the worker has ended, unless the worker's lease is renewed before
	// leaseEnd.
	leaseEnd time.Time
	// leavesAt is the time until which a draining worker has announced to stay at least; zero for other workers.
	leavesAt time.Time
	// absentSince is the time since which the worker has no registration; zero while it has one.
	absentSince time.Time
	// reserved is the capacity set aside for placed units that have not been ordered to start.
	reserved resources.Amounts
	// used is the capacity taken by runs that were ordered and have not ended.
	used resources.Amounts
	// stopping is the part of the capacity in used that belongs to runs that are being stopped.
	stopping resources.Amounts
	members  map[*member]struct{}
	// unwantedRuns counts the runs in the worker's last report that should not exist there. The field used does not
	// include the resources of these runs, so the worker gets no new tasks until the runs have ended.
	unwantedRuns int
	// unexpected lists those of them that count for the account of their job.
	unexpected []unexpectedRun
	// rejectedUntil is the time until which the worker gets no new tasks because it has rejected a start.
	rejectedUntil time.Time
	health        health
	durationRatio durationRatio
	// machine identifies the worker in the model of speeds, speed is its newest estimate.
	machine speed.Worker
	speed   speedView
	pacing  pacing
	// pacesFillers is set while filler tasks run on the worker together with tasks that have a tail latency target.
	pacesFillers bool
	// retired is set while the worker must get no new tasks because its machine is due for upkeep.
	retired bool
}

// free returns the capacity that can be reserved, including the capacity of runs that are being stopped.
func (w *worker) free() resources.Amounts {
	return w.Capacity.Sub(w.used).Sub(w.reserved).Add(w.stopping)
}

// freeNow returns the capacity that no run uses now. The result includes the reserved capacity.
func (w *worker) freeNow() resources.Amounts {
	return w.Capacity.Sub(w.used)
}

// SetWorkers replaces the list of registered workers.
func (p *Planner) SetWorkers(list []roster.Worker, now time.Time) {
	for _, w := range p.workers {
		w.registered = false
	}
	for i := range list {
		p.setWorker(list[i], now)
	}
	p.noteAbsent(now)
	p.dropUnregistered()
	p.sortWorkers()
	p.withdrawExcess(now)
	p.recordSizes(now)
	p.stopOnDraining(now)
	p.needsPlacement = true
}

func (p *Planner) setWorker(info roster.Worker, now time.Time) {
	w, known := p.workers[info.Name]
	if !known {
		w = p.addWorker(info.Name, now)
	}
	p.changeCapacity(w, &info)
	if known && w.Incarnation != 0 && info.Incarnation > w.Incarnation {
		p.dropRuns(w, info.Incarnation, fateByRegistration, now)
	}
	if w.Incarnation > info.Incarnation {
		// The registration is older than the worker's last report.
		info.Incarnation = w.Incarnation
	}
	w.setRemaining(&info, now)
	changedKind := !sameKind(&w.Worker, &info)
	w.Worker = info
	if p.speeds != nil {
		w.machine = machineOf(w)
	}
	w.registered, w.absentSince = true, time.Time{}
	if changedKind {
		p.withdrawUnsuited(w, now)
	}
	if !known {
		// A worker that has crashed may start again under another name.
		p.giveUpDeadly(p.examineCrash(w, info.Incarnation, now), now)
	}
}

// addWorker adds a worker. It assumes that a previous leader renewed the worker's lease just before this call.
func (p *Planner) addWorker(name endpoint.Name, now time.Time) *worker {
	w := &worker{
		members: map[*member]struct{}{}, leaseEnd: p.leaseEnd(now), absentSince: now,
		pacing: pacing{percent: fullPercent},
	}
	w.Name = name
	p.workers[name] = w
	return w
}

func (p *Planner) dropUnregistered() {
	for name, w := range p.workers {
		if !w.registered && len(w.members) == 0 && !w.holdsLimited() {
			w.clearUnexpected()
			delete(p.workers, name)
		}
	}
}

func (p *Planner) sortWorkers() {
	p.workersByName = p.workersByName[:0]
	for _, w := range p.workers {
		p.workersByName = append(p.workersByName, w)
	}
	sortByName(p.workersByName)
}

// SetResponsive records whether a worker answers heartbeats.
func (p *Planner) SetResponsive(name endpoint.Name, responsive bool) {
	if w, known := p.workers[name]; known && w.responsive != responsive {
		w.responsive = responsive
		p.needsPlacement = true
	}
}

// Unanswered records that a worker has not answered a heartbeat.
func (p *Planner) Unanswered(name endpoint.Name, now time.Time) {
	p.SetResponsive(name, false)
	if w, known := p.workers[name]; known && w.silentSince.IsZero() {
		w.silentSince = now
	}
}

// WorkerExited marks all runs on a worker as lost after its process has exited.
func (p *Planner) WorkerExited(name endpoint.Name, now time.Time) {
	w, known := p.workers[name]
	if !known {
		return
	}
	p.SetResponsive(name, false)
	p.dropRuns(w, 0, fateAtExit, now)
}

// LeaseRenewed records the time at which a message that renews a worker's lease was sent.
func (p *Planner) LeaseRenewed(name endpoint.Name, sent time.Time) {
	if w, known := p.workers[name]; known {
		if end := p.leaseEnd(sent); end.After(w.leaseEnd) {
			w.leaseEnd = end
		}
	}
}

// Workers calls visit for each worker that is registered or may still run a task.
func (p *Planner) Workers(visit func(roster.Worker)) {
	for _, w := range p.workersByName {
		visit(w.Worker)
	}
}

// Accepts reports whether new tasks may start on a worker.
func (p *Planner) Accepts(name endpoint.Name) bool {
	w, known := p.workers[name]
	return known && p.accepts(w, p.now)
}

// accepts reports whether new tasks may start on a worker.
func (p *Planner) accepts(w *worker, now time.Time) bool {
	return w.registered && w.responsive && w.unwantedRuns == 0 && w.State == roster.Ready && !w.retired &&
		!p.policy.IsOut(w.FailureDomain) && !w.health.suspended(now)
}
