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
	// listed is set while the worker is registered.
	listed bool
	// answers is set while the worker answers holds.
	answers bool
	// leaseEnd is when everything that was ordered there has ended unless it is renewed.
	leaseEnd time.Time
	// planned is reserved for units that are not started yet.
	planned resources.Amounts
	// running is taken by tasks that were ordered and have not ended.
	running resources.Amounts
	// leaving is the part of running that is being stopped.
	leaving resources.Amounts
	members map[*member]struct{}
	// strangers counts the runs that the worker reported last and that are not wanted there. What they take is not known
	// from members, so nothing starts until they have ended.
	strangers int
	health    health
	pace      pace
	pacing    pacing
	// paced is set while tasks that fill work beside tasks that serve.
	paced bool
	// retired is set while the worker is to finish what it runs, before its machine's upkeep.
	retired bool
}

// free returns what can be planned with once what is being stopped has ended.
func (w *worker) free() resources.Amounts {
	return w.Capacity.Sub(w.running).Sub(w.planned).Add(w.leaving)
}

// freeNow returns what tasks that start now can take.
func (w *worker) freeNow() resources.Amounts {
	return w.Capacity.Sub(w.running)
}

// SetWorkers replaces the list of registered workers.
func (p *Planner) SetWorkers(list []roster.Worker, now time.Time) {
	for _, w := range p.workers {
		w.listed = false
	}
	for i := range list {
		p.setWorker(list[i], now)
	}
	p.dropUnlisted()
	p.sortWorkers()
	p.noteSizes(now)
	p.stopOnLeaving()
	p.changed = true
}

func (p *Planner) setWorker(info roster.Worker, now time.Time) {
	w, known := p.workers[info.Name]
	if !known {
		w = p.addWorker(info.Name, now)
	}
	if known && w.Incarnation != 0 && info.Incarnation > w.Incarnation {
		p.reborn(w, now)
	}
	if w.Incarnation > info.Incarnation {
		// The registration is older than what the worker itself has said.
		info.Incarnation = w.Incarnation
	}
	w.Worker = info
	w.listed = true
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

// reborn ends everything that ran in an earlier incarnation.
func (p *Planner) reborn(w *worker, now time.Time) {
	for _, m := range w.sortedMembers() {
		if m.state != planned {
			p.memberEnded(m, endLost, "", now)
		}
	}
	w.health = health{}
	w.strangers = 0
}

func (p *Planner) dropUnlisted() {
	for name, w := range p.workers {
		if !w.listed && len(w.members) == 0 {
			delete(p.workers, name)
		}
	}
}

func (p *Planner) sortWorkers() {
	p.order = p.order[:0]
	for _, w := range p.workers {
		p.order = append(p.order, w)
	}
	sortByName(p.order)
}

// SetResponsive notes that a worker has answered or has stopped answering.
func (p *Planner) SetResponsive(name endpoint.Name, answers bool) {
	if w, known := p.workers[name]; known && w.answers != answers {
		w.answers = answers
		p.changed = true
	}
}

// WorkerExited ends everything that ran on a worker, as it has ended itself.
func (p *Planner) WorkerExited(name endpoint.Name, now time.Time) {
	w, known := p.workers[name]
	if !known {
		return
	}
	p.SetResponsive(name, false)
	p.reborn(w, now)
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
	for _, w := range p.order {
		visit(w.Worker)
	}
}

// accepts tells whether new tasks may start on a worker.
func (p *Planner) accepts(w *worker, now time.Time) bool {
	return w.listed && w.answers && w.strangers == 0 && w.State == roster.Ready && !w.retired &&
		!p.policy.IsOut(w.FailureDomain) && !w.health.suspended(now)
}
