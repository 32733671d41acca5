package planner

import (
	"slices"
	"sort"
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/roster"
)

const (
	// maxConsulted bounds the workers of one question; each of them takes the adviser time.
	maxConsulted = 30
	// minConsulted is the least number of workers of one question, as the question itself takes time too.
	minConsulted = 8
	// consultedPerTask is the number of workers that are asked about for each task, as only some will be permitted.
	consultedPerTask = 2
	// consultRetry is the pause after a question without an answer.
	consultRetry = 300 * time.Millisecond
	// ticketMargin is the least time for which a ticket must still hold when a task is placed: the placement is stored and
	// the start travels before the worker looks at it.
	ticketMargin = 400 * time.Millisecond
)

// advice is what the adviser has said of the workers for one step.
type advice struct {
	// asked holds the workers that were asked about, by incarnation: which of them may run the step does not change.
	asked map[endpoint.Name]roster.Incarnation
	// permits holds those that may.
	permits map[endpoint.Name]permit
}

// permit lets tasks of a step start on one incarnation of a worker.
type permit struct {
	ticket      string
	incarnation roster.Incarnation
	until       time.Time
}

// Ticket permits the tasks of a step to start on a worker.
type Ticket struct {
	Worker endpoint.Name
	Text   string
}

// consultation is the question that is under way; the adviser answers one at a time.
type consultation struct {
	open bool
	// notBefore is when the next one may be asked.
	notBefore time.Time
}

// advised tells whether a unit needs a ticket.
func (u *unit) advised() bool {
	return u.job.queue.Advice != nil
}

func (u *unit) stepID() graph.StepID {
	return u.task(0).ParentStep()
}

// permitted returns the permit of a unit on a worker, if it holds long enough.
func (p *Planner) permitted(u *unit, w *worker, now time.Time) (permit, bool) {
	known := p.advice[u.stepID()]
	if known == nil {
		return permit{}, false
	}
	held, found := known.permits[w.Name]
	if !found || held.incarnation != w.Incarnation || now.Add(ticketMargin).After(held.until) {
		return permit{}, false
	}
	return held, true
}

func (p *Planner) isPermitted(u *unit, w *worker, now time.Time) bool {
	_, permitted := p.permitted(u, w, now)
	return permitted
}

// consult asks about workers for the first unit that has too few permitted ones.
func (p *Planner) consult(now time.Time) {
	if p.consultation.open || now.Before(p.consultation.notBefore) || !p.policy.HasAdvice() {
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
	for _, u := range p.queueOrder(now) {
		if !u.advised() {
			continue
		}
		if workers := p.unasked(u, wanted[u.stepID()], now); len(workers) > 0 {
			p.consultation.open = true
			p.actions = append(p.actions, Consult{Step: u.stepID(), Workers: workers})
			return
		}
	}
}

// unasked returns the workers to ask about for a step with a number of waiting tasks: none when enough are permitted.
// Workers whose tickets have lapsed come first, as they are known to be permitted.
func (p *Planner) unasked(u *unit, tasks int, now time.Time) []endpoint.Name {
	known := p.advice[u.stepID()]
	step := u.spec()
	room := 0
	var lapsed, others []candidate
	for _, w := range p.order {
		if w.Service != u.job.queue.Service || !p.accepts(w, now) || step.Label != "" && !w.HasLabel(step.Label) {
			continue
		}
		c := candidate{worker: w, count: w.free().Count(step.Reserved(), tasks), available: w.free().Accelerators}
		switch {
		case !step.Reserved().Fits(w.Capacity):
		case known == nil || known.asked[w.Name] != w.Incarnation:
			others = append(others, c)
		case known.permits[w.Name].incarnation != w.Incarnation:
		default:
			if _, holds := p.permitted(u, w, now); holds {
				room += c.count
			} else {
				lapsed = append(lapsed, c)
			}
		}
	}
	if room >= tasks {
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

// ConsultAnswered takes in the adviser's answer; answered is false when none came.
func (p *Planner) ConsultAnswered(
	question Consult, tickets []Ticket, validity time.Duration, answered bool, now time.Time,
) {
	p.consultation.open = false
	if !answered {
		p.consultation.notBefore = now.Add(consultRetry)
		return
	}
	known := p.advice[question.Step]
	if known == nil {
		known = &advice{asked: map[endpoint.Name]roster.Incarnation{}, permits: map[endpoint.Name]permit{}}
		p.advice[question.Step] = known
	}
	for _, name := range question.Workers {
		if w, listed := p.workers[name]; listed {
			known.asked[name] = w.Incarnation
		}
	}
	for _, t := range tickets {
		if w, listed := p.workers[t.Worker]; listed {
			known.permits[t.Worker] = permit{ticket: t.Text, incarnation: w.Incarnation, until: now.Add(validity)}
		}
	}
	p.changed = true
}

// forgetAdvice drops what the adviser said of a job's steps.
func (p *Planner) forgetAdvice(id graph.ID) {
	for step := range p.advice {
		if step.Job == id {
			delete(p.advice, step)
		}
	}
}

// revokePermit takes back a permit that a worker did not accept.
func (p *Planner) revokePermit(u *unit, w *worker) {
	if known := p.advice[u.stepID()]; known != nil {
		held := known.permits[w.Name]
		held.until = time.Time{}
		known.permits[w.Name] = held
	}
}
