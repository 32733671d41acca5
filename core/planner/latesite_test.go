package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"auburnstack/core/account"
	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

const (
	// lateStep is the time between two heartbeats of a lateSite. lateOrderTimeout is the time after which an order without
	// an answer counts as unanswered. lateMaxDelay is the longest time for which an order is on its way.
	lateStep         = 500 * time.Millisecond
	lateOrderTimeout = time.Second
	lateMaxDelay     = 12 * time.Second
	// prompt is the largest kind of delivery that is drawn for an order: carried out and answered at once.
	prompt = 7
)

// lateSite is a small site whose orders reach the workers late or never, with workers that end stopped runs late, stop
// answering and restart, and leaders that take over. At each begin of a run it checks what the workers really run for
// each account.
type lateSite struct {
	t *rapid.T
	// learns is set if speeds are learned.
	learns  bool
	planner *Planner
	now     time.Time
	// term is the number of the current leader.
	term    int
	workers []*lateWorker
	orders  []*lateOrder
	// stops holds the stops that the planner has ordered and that may still be needed.
	stops     map[Stop]bool
	jobs      map[graph.ID]*graph.Job
	stored    map[graph.ID]storedParts
	policy    *policy.Policy
	storeDown bool
	// healed is set once all orders are carried out and answered at once.
	healed bool
	// allowed holds the largest amounts that each limited account may run: its limit or, after the limit was lowered,
	// what had been ordered until then and has not ended since.
	allowed map[account.Name]resources.Amounts
}

// lateWorker is a worker of a lateSite.
type lateWorker struct {
	roster.Worker
	running map[graph.TaskID]Start
	// endsAt holds the time at which each stopped run ends.
	endsAt map[graph.TaskID]time.Time
	// refused holds the runs that were ordered to stop before they began.
	refused map[Start]bool
	ended   []EndedRun
	lease   time.Time
	silent  bool
	// term is the newest leader that the worker has heard of. It carries out no order of an earlier one.
	term int
}

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

func newLateSite(t *rapid.T) *lateSite {
	s := &lateSite{
		t: t, now: time.Unix(1000, 0), term: 1, stops: map[Stop]bool{}, jobs: map[graph.ID]*graph.Job{},
		stored: map[graph.ID]storedParts{}, policy: testPolicy(), allowed: map[account.Name]resources.Amounts{},
	}
	for i := range 4 {
		s.workers = append(s.workers, &lateWorker{
			Worker: roster.Worker{
				Name: endpoint.Name(fmt.Sprintf("worker-%d", i)), Service: "assay", Incarnation: 1, Capacity: fullCapacity,
				Rack: endpoint.Rack(fmt.Sprintf("rack-%d", i%2)),
			},
			running: map[graph.TaskID]Start{}, endsAt: map[graph.TaskID]time.Time{}, refused: map[Start]bool{},
		})
	}
	s.drawLimits()
	s.learns = rapid.Bool().Draw(t, "learns")
	s.newPlanner()
	s.heartbeat()
	return s
}

// newPlanner replaces the planner. If speeds are learned, the new one begins with speeds that are drawn.
func (s *lateSite) newPlanner() {
	settings := testSettings()
	settings.LearnSpeeds = s.learns
	s.planner = New(settings, s.policy)
	s.setWorkers()
	if !s.learns {
		return
	}
	logs := map[endpoint.Name]int{}
	for _, w := range s.workers {
		logs[w.Name] = rapid.SampledFrom([]int{-700, 0, 400}).Draw(s.t, "log speed")
	}
	if err := s.planner.RestoreSpeeds(speedsOf(s.planner, s.now, logs), s.now); err != nil {
		s.t.Fatal(err)
	}
}

func (s *lateSite) setWorkers() {
	var list []roster.Worker
	for _, w := range s.workers {
		list = append(list, w.Worker)
	}
	s.planner.SetWorkers(list, s.now)
}

// drawLimits draws new limits for the accounts gold and silver.
func (s *lateSite) drawLimits() {
	next := testPolicy()
	for i := range next.Accounts {
		next.Accounts[i].Limit = resources.Amounts{
			Accelerators: int64(rapid.IntRange(1, 20).Draw(s.t, "accelerators")),
			CPU:          1000 * int64(rapid.SampledFrom([]int{0, 4, 12}).Draw(s.t, "cores")),
		}
	}
	s.setPolicy(next)
}

func (s *lateSite) setPolicy(next *policy.Policy) {
	s.policy = next
	s.updateAllowed()
	if s.planner != nil {
		s.planner.SetPolicy(next)
	}
}

// updateAllowed lowers the allowed amounts of each account to what it may still run, but not below its limit.
func (s *lateSite) updateAllowed() {
	for i := range s.policy.Accounts {
		a := &s.policy.Accounts[i]
		limit := (&holding{limit: a.Limit}).bound()
		before, known := s.allowed[a.Name]
		if !known {
			before = limit
		}
		ordered := s.amounts(a.Name, true)
		s.allowed[a.Name] = limit.Max(resources.Amounts{
			CPU: min(before.CPU, ordered.CPU), Memory: min(before.Memory, ordered.Memory),
			Accelerators: min(before.Accelerators, ordered.Accelerators),
		})
	}
}

// amounts returns what the workers run for an account. The parameter ordered adds the runs that may still begin.
func (s *lateSite) amounts(name account.Name, ordered bool) resources.Amounts {
	var sum resources.Amounts
	add := func(start Start) {
		if job := s.jobs[start.Task.Job]; job.ClientAccount == name {
			sum = sum.Add(job.Steps[start.Task.Step].Needs)
		}
	}
	for _, w := range s.workers {
		for _, start := range w.running {
			add(start)
		}
	}
	for _, o := range s.orders {
		if start, isStart := o.action.(Start); isStart && ordered && !o.done && !o.lost {
			add(start)
		}
	}
	return sum
}

// heartbeat renews the leases of the workers that answer and reports what they run.
func (s *lateSite) heartbeat() {
	for _, w := range s.workers {
		if w.silent {
			s.planner.Unanswered(w.Name, s.now)
			continue
		}
		w.term, w.lease = s.term, s.now.Add(testSettings().LeaseLimit)
		s.planner.LeaseRenewed(w.Name, s.now)
		o := Observation{
			Worker: w.Name, Incarnation: w.Incarnation, Sent: s.now, Clock: s.now.Sub(time.Unix(0, 0)), Ended: w.ended,
		}
		for _, id := range w.tasks() {
			start := w.running[id]
			percent := int(s.now.Sub(time.Unix(1000, 0)) / lateStep % 100)
			o.Runs = append(o.Runs, RunningTask{Task: id, Run: start.Run, Percent: percent})
		}
		w.ended = nil
		s.planner.SetResponsive(w.Name, true)
		s.planner.Observe(o, s.now)
	}
}

// sleep advances the time, delivers orders and ends stopped runs and the runs of expired leases.
func (s *lateSite) sleep(d time.Duration) {
	for ; d > 0; d -= lateStep {
		s.now = s.now.Add(lateStep)
		for _, w := range s.workers {
			w.passTime(s.now)
		}
		s.deliver()
		s.updateAllowed()
		s.heartbeat()
		s.planner.Tick()
		s.decide()
	}
}

// passTime ends the stopped runs that are due, and all runs if the lease has expired.
func (w *lateWorker) passTime(now time.Time) {
	if w.silent && now.After(w.lease) {
		for _, id := range w.tasks() {
			w.end(id, EndLeaseExpired)
		}
	}
	for _, id := range w.tasks() {
		if at, stopped := w.endsAt[id]; stopped && !now.Before(at) {
			w.end(id, EndStopped)
		}
	}
}

// tasks returns the running tasks in a fixed order, so that a failure can be reproduced.
func (w *lateWorker) tasks() []graph.TaskID {
	list := slices.Collect(maps.Keys(w.running))
	sortTasks(list)
	return list
}

func (w *lateWorker) end(id graph.TaskID, kind EndKind) {
	start := w.running[id]
	delete(w.running, id)
	delete(w.endsAt, id)
	w.ended = append(w.ended, EndedRun{Task: id, Run: start.Run, Kind: kind})
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

// decide carries out decisions until there are none left.
func (s *lateSite) decide() {
	for {
		actions := s.planner.Plan(s.now)
		var changes []Change
		if !s.storeDown {
			changes = s.planner.TakeChanges(maxStoredAtOnce)
		}
		for _, c := range changes {
			s.store(c)
			s.planner.Stored(c, s.now)
		}
		for _, action := range actions {
			s.issue(action)
		}
		if len(actions) == 0 && len(changes) == 0 {
			break
		}
	}
	stops := slices.SortedFunc(maps.Keys(s.stops), func(a, b Stop) int {
		return cmp.Or(cmp.Compare(a.Task.String(), b.Task.String()), cmp.Compare(a.Run, b.Run), cmp.Compare(a.Worker, b.Worker),
			cmp.Compare(a.Reason, b.Reason))
	})
	for _, stop := range stops {
		s.repeatStop(stop)
	}
}

func (s *lateSite) store(c Change) {
	s.stored[c.Progress.ID] = withPart(s.stored[c.Progress.ID], c.Progress)
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
