package planner

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

// worker is what the planner knows of a worker.
type worker struct {
	roster.Worker
	// registered is set while the worker is registered.
	registered bool
	// responsive is set while the worker responsive holds.
	responsive bool
	// leaseEnd is when everything that was ordered there has ended unless it is renewed.
	leaseEnd time.Time
	// reserved is reserved for units that are not started yet.
	reserved resources.Amounts
	// used is taken by tasks that were ordered and have not ended.
	used resources.Amounts
	// stopping is the part of running that is being stopped.
	stopping resources.Amounts
	members  map[*member]struct{}
	// unwantedRuns counts the runs that the worker reported last and that are not wanted there. What they take is not known
	// from members, so nothing starts until they have ended.
	unwantedRuns  int
	health        health
	durationRatio durationRatio
	pacing        pacing
	// pacesFillers is set while tasks that fill work beside tasks that serve.
	pacesFillers bool
	// retired is set while the worker is to finish what it runs, before its machine's upkeep.
	retired bool
}

// free returns what can be planned with once what is being stopped has ended.
func (w *worker) free() resources.Amounts {
	return w.Capacity.Sub(w.used).Sub(w.reserved).Add(w.stopping)
}

// freeNow returns what tasks that start now can take.
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
	p.dropUnregistered()
	p.sortWorkers()
	p.recordSizes(now)
	p.stopOnDraining()
	p.needsPlacement = true
}

func (p *Planner) setWorker(info roster.Worker, now time.Time) {
	w, known := p.workers[info.Name]
	if !known {
		w = p.addWorker(info.Name, now)
	}
	if known && w.Incarnation != 0 && info.Incarnation > w.Incarnation {
		p.dropRuns(w, now)
	}
	if w.Incarnation > info.Incarnation {
		// The registration is older than what the worker itself has said.
		info.Incarnation = w.Incarnation
	}
	w.Worker = info
	w.registered = true
}

// addWorker adds a worker on which a predecessor may have renewed a lease just now.
func (p *Planner) addWorker(name endpoint.Name, now time.Time) *worker {
	w := &worker{
		members: map[*member]struct{}{}, leaseEnd: p.leaseEnd(now), pacing: pacing{percent: fullPercent},
	}
	w.Name = name
	p.workers[name] = w
	return w
}

// dropRuns ends everything that ran in an earlier incarnation.
func (p *Planner) dropRuns(w *worker, now time.Time) {
	for _, m := range w.sortedMembers() {
		if m.state != planned {
			p.memberEnded(m, endLost, "", now)
		}
	}
	w.health = health{}
	w.unwantedRuns = 0
}

func (p *Planner) dropUnregistered() {
	for name, w := range p.workers {
		if !w.registered && len(w.members) == 0 {
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

// SetResponsive notes that a worker has answered or has stopped answering.
func (p *Planner) SetResponsive(name endpoint.Name, responsive bool) {
	if w, known := p.workers[name]; known && w.responsive != responsive {
		w.responsive = responsive
		p.needsPlacement = true
	}
}

// WorkerExited ends everything that ran on a worker, as it has ended itself.
func (p *Planner) WorkerExited(name endpoint.Name, now time.Time) {
	w, known := p.workers[name]
	if !known {
		return
	}
	p.SetResponsive(name, false)
	p.dropRuns(w, now)
}

// LeaseRenewed notes that an order which renews a worker's lease was sent.
func (p *Planner) LeaseRenewed(name endpoint.Name, sent time.Time) {
	if w, known := p.workers[name]; known {
		if end := p.leaseEnd(sent); end.After(w.leaseEnd) {
			w.leaseEnd = end
		}
	}
}

// Workers calls visit for each worker that is registered or may still run something.
func (p *Planner) Workers(visit func(roster.Worker)) {
	for _, w := range p.workersByName {
		visit(w.Worker)
	}
}

// accepts tells whether new tasks may start on a worker.
func (p *Planner) accepts(w *worker, now time.Time) bool {
	return w.registered && w.responsive && w.unwantedRuns == 0 && w.State == roster.Ready && !w.retired &&
		!p.policy.IsOut(w.FailureDomain) && !w.health.suspended(now)
}
