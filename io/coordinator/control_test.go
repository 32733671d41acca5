package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPacer checks that the planner rests for twice the duration of a call, at most maxPlanRest, and that the timer wakes
// the control goroutine when a postponed call is due.
func TestPacer(t *testing.T) {
	for _, test := range []struct{ took, rest time.Duration }{
		{10 * time.Millisecond, 20 * time.Millisecond},
		{15 * time.Second, maxPlanRest},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newPacer()
			defer p.timer.Stop()
			began := time.Now()
			qt.Check(t, p.mayPlan(began), qt.IsTrue)
			time.Sleep(test.took)
			p.planned(began, time.Now(), false)
			qt.Check(t, p.mayPlan(time.Now()), qt.IsFalse)
			resting := time.Now()
			<-p.timer.C
			qt.Check(t, time.Since(resting), qt.Equals, test.rest)
			qt.Check(t, p.mayPlan(time.Now()), qt.IsTrue)
		})
	}
}

// TestPacerContinues checks that the timer fires without an event when a call has left units for the next one.
func TestPacerContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacer()
		defer p.timer.Stop()
		began := time.Now()
		time.Sleep(5 * time.Millisecond)
		p.planned(began, time.Now(), true)
		<-p.timer.C
		qt.Check(t, time.Since(began), qt.Equals, 15*time.Millisecond)
		qt.Check(t, p.mayPlan(time.Now()), qt.IsTrue)
	})
}
