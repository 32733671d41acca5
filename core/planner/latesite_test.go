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
