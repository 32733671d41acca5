package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/graph"
)

// TestRemovedJobIsNotPlannedAgain guards against a job that was forgotten and is planned as a new one, without the
// record of its progress, because a read of the inbox was on its way while its records were removed.
func TestRemovedJobIsNotPlannedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacityTerm(t)
		defer c.close()
		c.removed["old"] = removedJob{}
		old := jobsAccepted{jobs: []*graph.Job{{ID: "old", Queue: "long", Steps: []graph.Step{{Tasks: 1}}}}}
		c.accept(old, time.Now())
		qt.Check(t, c.planner.Has("old"), qt.IsFalse)
		c.handle(removalEnded{ids: []graph.ID{"old"}, done: true})
		c.accept(old, time.Now())
		qt.Check(t, c.planner.Has("old"), qt.IsFalse, qt.Commentf("a read may have begun before the removal"))
		time.Sleep(2 * loadTimeout)
		c.pruneRemoved(time.Now())
		qt.Check(t, c.removed, qt.HasLen, 0)
	})
}
