package planner

import (
	"maps"
	"slices"
	"sort"
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/roster"
)

const (
	// maxConsulted is the maximum number of workers in one question, because each worker adds to the adviser's response
	// time.
	maxConsulted = 30
	// minConsulted is the minimum number of workers to ask about in one question, however few tasks wait, because each
	// question has a fixed cost.
	minConsulted = 8
	// consultedPerTask is the number of workers to ask about per waiting task. It exceeds 1 because the adviser permits
	// only some of the workers.
	consultedPerTask = 2
	// consultRetry is the delay between an unanswered question to the adviser and the next question.
	consultRetry = 300 * time.Millisecond
	// ticketMargin is the minimum remaining validity of a ticket when a task is placed. It covers the time to store the
	// placement and to send the start order before the worker checks the ticket.
	ticketMargin = 400 * time.Millisecond
)

// advice holds the adviser's answers for one step. The adviser is the service that decides which workers may run the
// tasks of a queue with advice.
type advice struct {
	// asked holds the incarnation, one process lifetime, of each worker that the planner has asked about. Whether an
	// incarnation may run the step does not change.
	asked map[endpoint.Name]roster.Incarnation
	// permits holds the permit of each worker that may run the step.
	permits map[endpoint.Name]permit
}

// permit allows tasks of a step to start on one incarnation of a worker until the permit expires.
type permit struct {
	ticket      string
	incarnation roster.Incarnation
	validUntil  time.Time
}

// Ticket is the adviser's permission to start tasks of a step on a worker.
type Ticket struct {
	Worker endpoint.Name
	Text   string
}

// consultation is the state of the questions to the adviser. The adviser answers one question at a time.
type consultation struct {
	// inFlight is set while a question is unanswered.
	inFlight bool
	// incarnations holds the incarnations that the workers in the last question had when it was asked.
	incarnations map[endpoint.Name]roster.Incarnation
	// notBefore is the earliest time at which the next question may be asked.
	notBefore time.Time
}

// advised reports whether a unit needs a ticket, the adviser's permission, to start.
func (u *unit) advised() bool {
	return u.job.queue.Advice != nil
}

func (u *unit) stepID() graph.StepID {
	return u.task(0).ParentStep()
}

// validPermit returns the permit of a unit on a worker if it remains valid for at least ticketMargin.
func (p *Planner) validPermit(u *unit, w *worker, now time.Time) (permit, bool) {
	known := p.advice[u.stepID()]
	if known == nil {
		return permit{}, false
	}
	held, found := known.permits[w.Name]
	if !found || held.incarnation != w.Incarnation || now.Add(ticketMargin).After(held.validUntil) {
		return permit{}, false
	}
	return held, true
}

func (p *Planner) hasPermit(u *unit, w *worker, now time.Time) bool {
	_, permitted := p.validPermit(u, w, now)
	return permitted
}

// consult asks the adviser about workers for the first waiting unit that has too few permitted workers.
func (p *Planner) consult(now time.Time) {
	if p.consultation.inFlight || now.Before(p.consultation.notBefore) || !p.anyAdvised {
		return
	}
	wanted := map[graph.StepID]int{}
	for u := range p.waiting {
		if u.advised() {
			wanted[u.stepID()] += u.size()
		}
	}
	if len(wanted) == 0 {
		return
	}
	for _, step := range p.queueOrder(now) {
		u := step.units[0]
		if !u.advised() || u.exceedsLimit() {
			continue
		}
		if workers := p.workersToAsk(u, wanted[u.stepID()], now); len(workers) > 0 {
			p.consultation.inFlight = true
			p.consultation.incarnations = p.incarnationsOf(workers)
			p.actions = append(p.actions, Consult{Step: u.stepID(), Workers: workers})
			return
		}
	}
}

// workersToAsk returns the workers to ask about for a step with the given number of waiting tasks, or nil if the
// workers with a valid permit have enough free capacity. Workers with an expired permit come first, because the adviser
// has permitted them before.
func (p *Planner) workersToAsk(u *unit, tasks int, now time.Time) []endpoint.Name {
	known := p.advice[u.stepID()]
	step := u.spec()
	s := search{unit: u, tasks: tasks, needs: step.Reserved()}
	capacity := 0
	var lapsed, others []candidate
	for _, w := range p.workersByName {
		if !u.suits(w) || !p.accepts(w, now) {
			continue
		}
		c := candidate{worker: w, count: s.count(w, w.free()), available: w.free().Accelerators}
		switch {
		case !step.Reserved().Fits(w.Capacity):
		case known == nil || known.asked[w.Name] != w.Incarnation:
			others = append(others, c)
		case known.permits[w.Name].incarnation != w.Incarnation:
		default:
			if _, holds := p.validPermit(u, w, now); holds {
				capacity += c.count
			} else {
				lapsed = append(lapsed, c)
			}
		}
	}
	if capacity >= tasks {
		return nil
	}
	sort.SliceStable(others, func(i, j int) bool { return others[i].count > others[j].count })
	list := slices.Concat(lapsed, others)
	limit := min(len(list), maxConsulted, max(minConsulted, consultedPerTask*tasks))
	names := make([]endpoint.Name, 0, limit)
	for _, c := range list[:limit] {
		names = append(names, c.worker.Name)
	}
	return names
}

// ConsultAnswered records the adviser's answer. The parameter answered is false if no answer arrived.
func (p *Planner) ConsultAnswered(
	question Consult, tickets []Ticket, validity time.Duration, answered bool, now time.Time,
) {
	p.consultation.inFlight = false
	if !answered {
		p.consultation.notBefore = now.Add(consultRetry)
		return
	}
	known := p.advice[question.Step]
	if known == nil {
		known = &advice{asked: map[endpoint.Name]roster.Incarnation{}, permits: map[endpoint.Name]permit{}}
		p.advice[question.Step] = known
	}
	maps.Copy(known.asked, p.consultation.incarnations)
	for _, t := range tickets {
		known.permits[t.Worker] = permit{
			ticket: t.Text, incarnation: p.consultation.incarnations[t.Worker], validUntil: now.Add(validity),
		}
	}
	p.needsPlacement = true
}

func (p *Planner) incarnationsOf(workers []endpoint.Name) map[endpoint.Name]roster.Incarnation {
	incarnations := map[endpoint.Name]roster.Incarnation{}
	for _, name := range workers {
		incarnations[name] = p.workers[name].Incarnation
	}
	return incarnations
}

// forgetAdvice deletes the adviser's answers for all steps of a job.
func (p *Planner) forgetAdvice(id graph.ID) {
	for step := range p.advice {
		if step.Job == id {
			delete(p.advice, step)
		}
	}
}

// revokePermit expires a permit whose ticket a worker did not accept.
func (p *Planner) revokePermit(u *unit, w *worker) {
	if known := p.advice[u.stepID()]; known != nil {
		held := known.permits[w.Name]
		held.validUntil = time.Time{}
		known.permits[w.Name] = held
	}
}
