package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLateStopAnswerOfEarlierRun guards against a second run of a task: the answer to a repeated stop of an earlier run
// arrived while the unit awaited capacity on the same worker. It counted as an answer about the next run, so that a
// report without this run ended it, although its start was still on its way.
func TestLateStopAnswerOfEarlierRun(t *testing.T) {
	p, list, now := newLimitedPlanner(testPolicy(), 1)
	p.Submit(simpleJob("urgent", "urgent", "gold", 1, 8, now), now)
	settle(p, now)
	u := p.jobs["urgent"].units[0][0][0]
	p.stopUnit(u, StartUnanswered)
	var stop Stop
	for _, a := range p.Plan(now) {
		stop, _ = a.(Stop)
	}
	endUnit(p, "urgent", EndStopped, now)

	// The unit awaits the end of a run on the same worker.
	delete(p.waiting, u)
	p.Submit(simpleJob("batch", "batch", "silver", 1, 8, now), now)
	settle(p, now)
	answerAll(p)
	p.enqueue(u, now)
	settle(p, now)
	qt.Assert(t, u.phase, qt.Equals, awaitingCapacity)
	qt.Check(t, p.StillNeeded(stop), qt.IsFalse)
	p.StopAnswered(stop, now)
	endUnit(p, "batch", EndStopped, now)
	settle(p, now)
	qt.Assert(t, u.phase, qt.Equals, running)
	report(p, &list[0], now.Add(time.Second))
	qt.Check(t, u.phase, qt.Equals, running)
}
