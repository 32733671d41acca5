package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/graph"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

// TestMoreEnded guards against tasks that run again after they have ended as done: a report that does not list all ended
// runs says nothing about a run that it does not list.
func TestMoreEnded(t *testing.T) {
	now := time.Unix(1000, 0)
	p := plannerWithJob(now)
	start := onlyStart(t, p, now)
	p.StartAnswered(start, Accepted, now)
	report := func(more bool, ended ...EndedRun) []Action {
		now = now.Add(100 * time.Millisecond)
		p.Observe(Observation{Worker: "w", Incarnation: 1, Sent: now, Ended: ended, MoreEnded: more}, now)
		return settle(p, now)
	}
	other := EndedRun{Task: graph.TaskID{Job: "b"}, Run: 1, Kind: EndDone}
	qt.Check(t, report(true, other), qt.HasLen, 0)
	qt.Check(t, report(true, other), qt.HasLen, 0)
	qt.Check(t, report(false, EndedRun{Task: start.Task, Run: start.Run, Kind: EndDone}), qt.HasLen, 0)
	state, _ := p.State("a")
	qt.Check(t, state, qt.Equals, graph.Complete)
}

// TestMissingInCompleteReport checks that a run that no complete report lists starts again, however many incomplete ones
// came before.
func TestMissingInCompleteReport(t *testing.T) {
	now := time.Unix(1000, 0)
	p := plannerWithJob(now)
	p.StartAnswered(onlyStart(t, p, now), Accepted, now)
	for _, more := range []bool{true, true, false} {
		now = now.Add(100 * time.Millisecond)
		p.Observe(Observation{Worker: "w", Incarnation: 1, Sent: now, MoreEnded: more}, now)
	}
	qt.Check(t, settle(p, now), qt.HasLen, 1, qt.Commentf("starts again"))
}

// TestEndInNewIncarnation guards against a task that runs again although its run has ended as done: its worker restarted
// before the start, and the first report of the new incarnation lists the end, or not yet.
func TestEndInNewIncarnation(t *testing.T) {
	for _, more := range []bool{false, true} {
		now := time.Unix(1000, 0)
		p := plannerWithJob(now)
		start := onlyStart(t, p, now)
		p.StartAnswered(start, Accepted, now)
		end := EndedRun{Task: start.Task, Run: start.Run, Kind: EndDone}
		reports := []Observation{{Ended: []EndedRun{end}}}
		if more {
			reports = []Observation{{MoreEnded: true}, {Ended: []EndedRun{end}}}
		}
		for _, o := range reports {
			now = now.Add(time.Second)
			o.Worker, o.Incarnation, o.Sent = "w", 2, now
			p.Observe(o, now)
			qt.Check(t, settle(p, now), qt.HasLen, 0)
		}
		state, _ := p.State("a")
		qt.Check(t, state, qt.Equals, graph.Complete)
	}
}

// TestLateEnd checks that a run that counts as lost, as its worker was silent for longer than its lease, counts as done
// once its worker reports that. The task does not run again, and a newer run is stopped.
func TestLateEnd(t *testing.T) {
	for _, test := range []struct {
		name string
		// others is the number of other workers, on which the task may start again.
		others  int
		kind    EndKind
		state   graph.State
		actions int
	}{
		{"waiting", 0, EndDone, graph.Complete, 0},
		{"runs again", 1, EndDone, graph.Complete, 1},
		{"failed, waiting", 0, EndFailed, graph.Queued, 1},
		{"failed, runs again", 1, EndFailed, graph.Running, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := plannerWithJob(now)
			start := onlyStart(t, p, now)
			p.StartAnswered(start, Accepted, now)
			workers := []roster.Worker{p.workers["w"].Worker}
			if test.others > 0 {
				workers = append(workers, roster.Worker{
					Name: "x", Service: "assay", Incarnation: 1, Rack: "r", Capacity: resources.Amounts{Accelerators: 8},
				})
			}
			p.SetWorkers(workers, now)
			p.SetResponsive("x", true)
			p.SetResponsive("w", false)
			p.Unanswered("w", now)
			now = p.leaseEnd(now).Add(time.Second)
			if again := settle(p, now); test.others > 0 {
				qt.Assert(t, again, qt.HasLen, 1)
				p.StartAnswered(again[0].(Start), Accepted, now)
			}
			now = now.Add(time.Second)
			p.SetResponsive("w", true)
			p.Observe(Observation{
				Worker: "w", Incarnation: 1, Sent: now, Ended: []EndedRun{{Task: start.Task, Run: start.Run, Kind: test.kind}},
			}, now)
			qt.Check(t, settle(p, now), qt.HasLen, test.actions)
			state, _ := p.State("a")
			if test.kind == EndDone {
				qt.Check(t, state, qt.Equals, test.state)
			}
		})
	}
}
