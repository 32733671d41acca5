package planner

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/roster"
)

// crashSite is a planner with one worker and one task that has been started there.
type crashSite struct {
	planner *Planner
	now     time.Time
	worker  roster.Worker
	start   Start
}

func newCrashSite(t *testing.T) *crashSite {
	s := &crashSite{planner: New(testSettings(), testPolicy()), now: time.Unix(1000, 0)}
	s.worker = roster.Worker{
		Name: "w", Service: "assay", Incarnation: 1, Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
	s.planner.SetWorkers([]roster.Worker{s.worker}, s.now)
	s.planner.SetResponsive("w", true)
	s.planner.Submit(&graph.Job{ID: "job", Queue: "long", Accepted: s.now, Steps: []graph.Step{{Tasks: 1}}}, s.now)
	s.start = onlyStart(t, s.planner, s.now)
	return s
}

// after lets time pass, in which the planner sweeps.
func (s *crashSite) after(d time.Duration) {
	s.now = s.now.Add(d)
	settle(s.planner, s.now)
}

// report passes on a report of the worker's given incarnation, which lists the runs.
func (s *crashSite) report(incarnation roster.Incarnation, runs ...RunningTask) {
	s.planner.Observe(Observation{Worker: "w", Incarnation: incarnation, Sent: s.now, Runs: runs}, s.now)
}

func (s *crashSite) unit() *unit {
	return s.planner.jobs["job"].units[0][0][0]
}

// TestAnswerForgetsExpiredRuns lets a worker that was cut off answer again and crash later.
// Guards against LOST: that crash counted against the run that had expired before.
func TestAnswerForgetsExpiredRuns(t *testing.T) {
	s := newCrashSite(t)
	s.planner.Unanswered("w", s.now.Add(10*time.Millisecond))
	s.after(11 * time.Second)
	s.report(1)
	s.report(2)
	qt.Check(t, countedCrashes(s.unit()).Crashes, qt.Equals, 0)
}

// TestCrashUnderAnotherName lets a worker come back under another name, at its address, after its lease has expired.
// Guards against BUDGET: the crash was not counted.
func TestCrashUnderAnotherName(t *testing.T) {
	s := newCrashSite(t)
	s.planner.Unanswered("w", s.now.Add(10*time.Millisecond))
	s.after(11 * time.Second)
	back := s.worker
	back.Name, back.Incarnation = "back", 2
	s.planner.SetWorkers([]roster.Worker{back}, s.now)
	qt.Check(t, countedCrashes(s.unit()).Crashes, qt.Equals, 1)
}

// TestStartAfterSilenceIsNoCrash stores a placement only after its worker has fallen silent.
// Guards against LOST: the crash counted against a task that was not started before it.
func TestStartAfterSilenceIsNoCrash(t *testing.T) {
	s := newCrashSite(t)
	s.planner.Unanswered("w", s.now.Add(-time.Millisecond))
	s.report(2)
	qt.Check(t, countedCrashes(s.unit()).Crashes, qt.Equals, 0)
}

// TestReportOfYoungRunConfirmsNothing has a report that lists a run and was sent just before the run crashed its worker.
// Guards against BUDGET: the start counted as survived.
func TestReportOfYoungRunConfirmsNothing(t *testing.T) {
	s := newCrashSite(t)
	s.planner.StartAnswered(s.start, Accepted, s.now)
	s.after(5 * time.Millisecond)
	s.report(1, RunningTask{Task: s.start.Task, Run: s.start.Run})
	s.planner.Unanswered("w", s.now.Add(5*time.Millisecond))
	s.after(3 * time.Second)
	s.report(2)
	qt.Check(t, countedCrashes(s.unit()).UnambiguousCrashes, qt.Equals, 1)
}

// TestChanceDoesNotDependOnGang has three of 40 other workers crash during a run of a task, which is no chance yet.
// Guards against BUDGET: a task of a gang that crashes its workers was excused more easily than one outside a gang.
func TestChanceDoesNotDependOnGang(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprint("gang ", gang), func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := New(testSettings(), testPolicy())
			var workers []roster.Worker
			for i := range 40 {
				workers = append(workers, roster.Worker{
					Name: endpoint.Name(fmt.Sprint("w", i)), Service: "assay", Incarnation: 1,
				})
			}
			p.SetWorkers(workers, now)
			steps := []graph.Step{{Tasks: 8, Gang: gang}}
			p.Submit(&graph.Job{ID: "job", Queue: "long", Accepted: now, Steps: steps}, now)
			run := lostRun{unit: p.jobs["job"].units[0][0][0], LostRun: LostRun{Age: 4 * time.Second, Confirmed: true}}
			for len(p.unexplained) < 3 {
				p.unexplained = append(p.unexplained, crash{at: now})
			}
			qt.Check(t, p.isChance(run, now, nil), qt.IsFalse)
			p.unexplained = append(p.unexplained, crash{at: now})
			qt.Check(t, p.isChance(run, now, nil), qt.IsTrue)
		})
	}
}
