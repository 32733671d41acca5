package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/graph"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

// TestSettledStart checks that a task does not run twice when its first start order is carried out without an answer.
// The worker rejects the repeated order because the run has ended meanwhile. The end that the worker reports afterwards
// must count.
func TestSettledStart(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(testSettings(), testPolicy())
	p.SetWorkers([]roster.Worker{{
		Name: "w", Service: "assay", Incarnation: 1, Rack: "r", Capacity: resources.Amounts{Accelerators: 8},
	}}, now)
	p.SetResponsive("w", true)
	p.Observe(Observation{Worker: "w", Incarnation: 1, Sent: now}, now)
	p.Submit(&graph.Job{ID: "a", Queue: "urgent", Accepted: now, Steps: []graph.Step{{
		Tasks: 1, Estimate: time.Second, Needs: resources.Amounts{Accelerators: 1},
	}}}, now)
	start := onlyStart(t, p, now)
	p.StartAnswered(start, Unanswered, now)
	now = now.Add(2 * time.Second)
	p.StartAnswered(start, RejectedAfterRetry, now)
	settle(p, now)
	now = now.Add(100 * time.Millisecond)
	p.Observe(Observation{
		Worker: "w", Incarnation: 1, Sent: now, Ended: []EndedRun{{Task: start.Task, Run: start.Run, Kind: EndDone}},
	}, now)
	qt.Check(t, settle(p, now), qt.HasLen, 0)
	state, _ := p.State("a")
	qt.Check(t, state, qt.Equals, graph.Complete)
}

// onlyStart lets the planner decide, checks that the only action is a start order, and returns it.
func onlyStart(t *testing.T, p *Planner, now time.Time) Start {
	t.Helper()
	actions := settle(p, now)
	qt.Assert(t, actions, qt.HasLen, 1)
	start, isStart := actions[0].(Start)
	qt.Assert(t, isStart, qt.IsTrue)
	return start
}
