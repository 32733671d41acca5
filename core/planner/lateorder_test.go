package planner

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"auburnstack/core/endpoint"
)

// lateOrder is an order on its way to a worker.
type lateOrder struct {
	action      Action
	worker      *lateWorker
	term        int
	sent, due   time.Time
	lost        bool
	answerLost  bool
	toldTimeout bool
	done        bool
}

// deliver delivers the orders that have arrived, and tells the planner which orders stay unanswered.
func (s *lateSite) deliver() {
	for _, o := range s.orders {
		if !o.lost && !o.worker.silent && !s.now.Before(o.due) {
			s.carryOut(o)
		}
		if start, isStart := o.action.(Start); isStart && s.timesOut(o) {
			o.toldTimeout = true
			s.planner.StartAnswered(start, Unanswered, s.now)
		}
	}
	s.orders = slices.DeleteFunc(s.orders, func(o *lateOrder) bool {
		return (o.done || o.lost) && s.now.Sub(o.sent) > lateOrderTimeout
	})
}

// timesOut reports whether the leader gives up waiting for the answer to an order.
func (s *lateSite) timesOut(o *lateOrder) bool {
	return (!o.done || o.answerLost) && !o.toldTimeout && o.term == s.term && s.now.Sub(o.sent) >= lateOrderTimeout
}

// carryOut carries out an order that has reached its worker.
func (s *lateSite) carryOut(o *lateOrder) {
	if o.done {
		return
	}
	o.done = true
	answered := !o.answerLost && !o.toldTimeout && o.term == s.term
	switch a := o.action.(type) {
	case Start:
		outcome := Rejected
		if s.mayBegin(o, a) {
			s.begin(o.worker, a)
			outcome = Accepted
		}
		if answered {
			s.planner.StartAnswered(a, outcome, s.now)
		}
	case Stop:
		if o.term < o.worker.term {
			return
		}
		o.worker.refused[Start{Task: a.Task, Run: a.Run}] = true
		if start, runs := o.worker.running[a.Task]; runs && start.Run == a.Run {
			if _, stopping := o.worker.endsAt[a.Task]; !stopping {
				o.worker.endsAt[a.Task] = s.now.Add(time.Duration(rapid.IntRange(0, 3).Draw(s.t, "stop steps")) * lateStep)
			}
		}
		if answered {
			s.planner.StopAnswered(a, s.now)
		}
	}
}

// mayBegin reports whether a worker carries out a start: it refuses orders of earlier leaders, of runs that were stopped
// and of leases that have expired, and what does not fit.
func (s *lateSite) mayBegin(o *lateOrder, a Start) bool {
	w := o.worker
	used := s.jobs[a.Task.Job].Steps[a.Task.Step].Reserved()
	for id := range w.running {
		used = used.Add(s.jobs[id.Job].Steps[id.Step].Reserved())
	}
	return o.term >= w.term && !w.refused[Start{Task: a.Task, Run: a.Run}] && used.Fits(w.Capacity) &&
		s.now.Before(o.sent.Add(testSettings().LeaseLimit))
}

// begin begins a run and checks what the workers run for its account.
func (s *lateSite) begin(w *lateWorker, a Start) {
	w.running[a.Task] = a
	name := s.jobs[a.Task.Job].ClientAccount
	if end := s.now.Add(testSettings().LeaseLimit); w.lease.IsZero() {
		w.lease = end
	}
	allowed, limited := s.allowed[name]
	if held := s.amounts(name, false); limited && !held.Fits(allowed) {
		s.t.Fatalf("%s begins: the workers run %+v for %s, allowed are %+v", a.Task, held, name, allowed)
	}
}

// issue sends an order.
func (s *lateSite) issue(action Action) {
	switch a := action.(type) {
	case Start:
		if s.planner.StillNeeded(a) {
			s.send(a, a.Worker)
		}
	case Stop:
		s.stops[a] = true
	}
}

// repeatStop sends a stop that is needed and not on its way.
func (s *lateSite) repeatStop(stop Stop) {
	needed := s.planner.StillNeeded(stop)
	if !needed && stop.Reason != NotWanted {
		delete(s.stops, stop)
		return
	}
	for _, o := range s.orders {
		if o.action == Action(stop) && o.term == s.term && s.now.Sub(o.sent) < lateOrderTimeout {
			return
		}
	}
	s.send(stop, stop.Worker)
	if !needed {
		// The planner orders it again if a report still lists the run.
		delete(s.stops, stop)
	}
}

// send draws when an order reaches its worker and whether the answer reaches the leader.
func (s *lateSite) send(action Action, name endpoint.Name) {
	o := &lateOrder{action: action, term: s.term, sent: s.now, due: s.now}
	for _, w := range s.workers {
		if w.Name == name {
			o.worker = w
		}
	}
	kind := prompt
	if !s.healed {
		kind = rapid.IntRange(0, prompt).Draw(s.t, "delivery")
	}
	switch kind {
	case 0:
		o.lost = true
	case 1, 2:
		o.due = s.now.Add(time.Duration(rapid.IntRange(1, int(lateMaxDelay/lateStep)).Draw(s.t, "delay")) * lateStep)
	case 3:
		o.answerLost = true
	}
	s.orders = append(s.orders, o)
	if !o.lost && !o.worker.silent && o.due.Equal(s.now) {
		s.carryOut(o)
	}
}
