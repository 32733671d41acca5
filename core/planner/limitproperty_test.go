package planner

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"auburnstack/core/account"
	"auburnstack/core/graph"
	"auburnstack/core/resources"
)

func (s *lateSite) submit() {
	id := graph.ID(fmt.Sprintf("job-%03d", len(s.jobs)))
	n := int64(rapid.SampledFrom([]int{1, 2, 4}).Draw(s.t, "needs"))
	step := graph.Step{
		Tasks: rapid.IntRange(1, 5).Draw(s.t, "tasks"), Gang: rapid.Bool().Draw(s.t, "gang"), Estimate: 2 * time.Second,
		Needs: resources.Amounts{CPU: 1000 * n, Memory: 1000 * n, Accelerators: n}, AbsenceLimit: -1,
	}
	step.Fills = !step.Gang && rapid.IntRange(0, 4).Draw(s.t, "fills") == 0
	job := &graph.Job{
		ID: id, Queue: rapid.SampledFrom([]string{"urgent", "long", "batch"}).Draw(s.t, "queue"), Accepted: s.now,
		ClientAccount: account.Name(rapid.SampledFrom([]string{"gold", "gold", "silver", "bronze"}).Draw(s.t, "account")),
		Steps:         []graph.Step{step},
	}
	s.jobs[id] = job
	s.planner.Submit(job, s.now)
}

// endSome ends a run of a worker that answers. A gang finishes only if all its tasks run, and then all of them end at the
// same time, also on silent workers. If one fails, those on workers that answer end.
func (s *lateSite) endSome(kind EndKind) {
	var all []graph.TaskID
	for _, w := range s.workers {
		if !w.silent {
			all = append(all, w.tasks()...)
		}
	}
	if len(all) == 0 {
		return
	}
	sortTasks(all)
	chosen := rapid.SampledFrom(all).Draw(s.t, "task")
	step := s.jobs[chosen.Job].Steps[chosen.Step]
	if step.Gang && kind == EndDone && s.runningOf(chosen.Job) < step.Tasks {
		if s.healed {
			return
		}
		kind = EndGangIncomplete
	}
	for _, w := range s.workers {
		for _, id := range w.tasks() {
			if id == chosen {
				w.end(id, kind)
			} else if id.Job == chosen.Job && step.Gang && (!w.silent || kind == EndDone) {
				w.end(id, EndGangBroken)
			}
		}
	}
}

// runningOf returns the number of tasks of a job that run.
func (s *lateSite) runningOf(id graph.ID) int {
	count := 0
	for _, w := range s.workers {
		for task := range w.running {
			if task.Job == id {
				count++
			}
		}
	}
	return count
}

// restart starts a worker again, which loses its runs. Orders of earlier leaders, and starts that the earlier incarnation
// was ordered to refuse, do not reach the new one: nothing in the planner guards against these.
func (s *lateSite) restart(w *lateWorker) {
	w.Incarnation++
	for _, o := range s.orders {
		start, isStart := o.action.(Start)
		if o.worker == w && (o.term < s.term || isStart && w.refused[Start{Task: start.Task, Run: start.Run}]) {
			o.lost = true
		}
	}
	clear(w.running)
	clear(w.endsAt)
	clear(w.refused)
	w.ended = nil
	s.setWorkers()
}

// takeover replaces the planner with a new one that knows the stored progress. Some changes are stored although the
// earlier leader has not learned it.
func (s *lateSite) takeover() {
	s.storeDown = false
	s.heartbeat()
	for _, c := range s.planner.TakeChanges(1000) {
		s.store(c)
	}
	s.term++
	clear(s.stops)
	s.newPlanner()
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		job := s.jobs[id]
		if progress, begun := s.stored[id]; begun {
			s.planner.Restore(job, progress.whole(), s.now)
		} else {
			s.planner.Submit(job, s.now)
		}
	}
}

// disturb does something at random.
func (s *lateSite) disturb() {
	w := s.workers[rapid.IntRange(0, len(s.workers)-1).Draw(s.t, "worker")]
	switch rapid.IntRange(0, 13).Draw(s.t, "event") {
	case 0, 1, 2, 3:
		s.submit()
	case 4, 5:
		s.endSome(EndDone)
	case 6:
		s.endSome(EndFailed)
	case 7, 8:
		s.sleep(time.Duration(rapid.IntRange(1, 24).Draw(s.t, "steps")) * lateStep)
	case 9:
		w.silent = !w.silent
	case 10:
		s.restart(w)
	case 11:
		s.takeover()
	case 12:
		s.drawLimits()
	case 13:
		if rapid.Bool().Draw(s.t, "cancel") && len(s.jobs) > 0 {
			s.planner.Cancel(graph.ID(fmt.Sprintf("job-%03d", rapid.IntRange(0, len(s.jobs)-1).Draw(s.t, "job"))), s.now)
		} else {
			s.storeDown = !s.storeDown
		}
	}
}

// heal ends all failures and gives each account a limit that every unit fits.
func (s *lateSite) heal() {
	s.storeDown, s.healed = false, true
	for _, w := range s.workers {
		w.silent = false
	}
	next := testPolicy()
	for i := range next.Accounts {
		next.Accounts[i].Limit = resources.Amounts{Accelerators: 20, CPU: 20000, Memory: 20000}
	}
	s.setPolicy(next)
}

// state describes the units that have not finished and the runs on the workers.
func (s *lateSite) state() string {
	var out strings.Builder
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		s.planner.jobs[id].eachUnit(func(u *unit) {
			if u.phase != finished {
				fmt.Fprintf(&out, "\n%s phase %d run %d", u.task(0), u.phase, u.run)
			}
			for _, m := range u.members {
				if m.state != ended {
					fmt.Fprintf(&out, "\n%s state %d on %s", u.task(m.index), m.state, m.worker.Name)
				}
			}
		})
	}
	for _, w := range s.workers {
		fmt.Fprintf(&out, "\n%s runs %v stopping %v accepts %v", w.Name, w.tasks(), w.endsAt, s.planner.Accepts(w.Name))
	}
	return out.String()
}

// unfinished returns the ID of a job that has not ended, or an empty ID.
func (s *lateSite) unfinished() graph.ID {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		if state, known := s.planner.State(id); !known || !state.Final() {
			return id
		}
	}
	return ""
}

// TestLimitHoldsWhateverWorkersDo runs random events on workers that carry out orders up to 12 s late or never, with
// changes of limits, silent and restarting workers, an unreachable store and new leaders. No run may begin that raises
// what the workers really run for an account above its limit or, after the limit was lowered, above what was ordered
// before. Once failures stop, every job must end: amounts that stay counted would block an account for ever.
func TestLimitHoldsWhateverWorkersDo(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newLateSite(rt)
		for range rapid.IntRange(1, 80).Draw(rt, "events") {
			s.disturb()
			s.updateAllowed()
			s.heartbeat()
			s.decide()
		}
		s.heal()
		for range 300 {
			if s.unfinished() == "" {
				return
			}
			s.sleep(lateStep)
			for range 4 {
				s.endSome(EndDone)
				s.heartbeat()
				s.decide()
			}
		}
		rt.Fatalf("%s has not ended: %+v%s", s.unfinished(), s.planner.AccountUsage(), s.state())
	})
}
