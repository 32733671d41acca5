package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/graph"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

// TestDeparted removes the registration of a worker with a running task. Only if the worker has announced to leave by
// now on its own clock, however late that was read, and has written until shortly before the removal has it left, and the
// task starts elsewhere at once. In all other cases the worker may be silent, and its task may run until the lease
// expires.
func TestDeparted(t *testing.T) {
	for _, test := range []struct {
		name  string
		state roster.State
		// readAt is how long before its removal the registration was last read. silence is how long before that it was
		// written, by the worker's clock, and remaining is the time that it announced.
		readAt, silence, remaining time.Duration
		departure                  Departure
		restarted                  bool
		// missing is set if the registration is missing in a full read, so that the worker stays listed for a while.
		missing bool
	}{
		{"left", roster.Draining, 1600 * time.Millisecond, 1700 * time.Millisecond, time.Second, Left, true, false},
		{"left, read late", roster.Draining, 100 * time.Millisecond, 1700 * time.Millisecond, time.Second, Left, true, false},
		{"left, clock read late", roster.Draining, time.Second, 700 * time.Millisecond, 1100 * time.Millisecond, Left, true, false},
		{"left in a gap of the history", roster.Draining, 1600 * time.Millisecond, 1700 * time.Millisecond, 0, Left, true, true},
		{"silent in a gap of the history", roster.Draining, 4 * time.Second, 4500 * time.Millisecond, 0, Silent, false, true},
		{"silent while it drained", roster.Draining, 4 * time.Second, 4500 * time.Millisecond, 0, Silent, false, false},
		{"before the announced time", roster.Draining, time.Second, time.Second, 1600 * time.Millisecond, TooEarly, false, false},
		{"not draining", roster.Ready, time.Second, time.Second, 0, NotDraining, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := New(testSettings(), testPolicy())
			capacity := resources.Amounts{CPU: 8000, Memory: 8000, Accelerators: 8}
			leaving := roster.Worker{Name: "a", Service: "assay", Incarnation: 1, Rack: "r", Capacity: capacity}
			p.SetWorkers([]roster.Worker{leaving}, now)
			p.SetResponsive("a", true)
			p.Submit(&graph.Job{ID: "j", Queue: "batch", Accepted: now, Steps: []graph.Step{{
				Tasks: 1, Estimate: 4 * time.Second, Needs: resources.Amounts{Accelerators: 1},
			}}}, now)
			p.StartAnswered(onlyStart(t, p, now), Accepted, now)
			other := roster.Worker{Name: "b", Service: "assay", Incarnation: 1, Rack: "r", Capacity: capacity}
			clock := time.Minute
			leaving.State, leaving.Remaining, leaving.Clock = test.state, test.remaining, clock-test.silence
			p.SetWorkers([]roster.Worker{leaving, other}, now)
			p.SetResponsive("b", true)
			now = now.Add(test.readAt)
			if test.missing {
				p.SetWorkers([]roster.Worker{leaving, other}, now)
			} else {
				p.SetWorkers([]roster.Worker{other}, now)
			}
			removal := Removal{Last: leaving, Silence: Silence{AtLeast: test.silence, AtMost: test.silence}, SilenceKnown: true}
			qt.Check(t, p.Departed(removal, now), qt.Equals, test.departure)
			starts := 0
			for _, action := range settle(p, now) {
				if _, isStart := action.(Start); isStart {
					starts++
				}
			}
			qt.Check(t, starts == 1, qt.Equals, test.restarted)
		})
	}
}

// TestDepartedWithinBounds removes the registration of a draining worker at a time that is known within bounds. It
// guards against tasks that run twice: the worker has left only if it surely wrote shortly before the removal, and if it
// may have stayed as long as it announced.
func TestDepartedWithinBounds(t *testing.T) {
	const ms = time.Millisecond
	interval := testSettings().RegistrationInterval
	for _, test := range []struct {
		name      string
		silence   Silence
		known     bool
		remaining time.Duration
		departure Departure
	}{
		{"left", Silence{AtLeast: 200 * ms, AtMost: 1700 * ms}, true, 1400 * ms, Left},
		{"too early in any case", Silence{AtLeast: 200 * ms, AtMost: 800 * ms}, true, 1400 * ms, TooEarly},
		{"perhaps silent", Silence{AtLeast: 200 * ms, AtMost: 2 * interval}, true, 0, Silent},
		{"unknown", Silence{}, false, 0, ClockUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := New(testSettings(), testPolicy())
			last := roster.Worker{Name: "a", Incarnation: 1, State: roster.Draining, Remaining: test.remaining}
			p.SetWorkers([]roster.Worker{last}, now)
			removal := Removal{Last: last, Silence: test.silence, SilenceKnown: test.known}
			qt.Check(t, p.Departed(removal, now), qt.Equals, test.departure)
		})
	}
}

// TestDepartedBeforeTerm guards against BUDGET: a task whose worker left as planned before this leader's term counted as
// one that had crashed it.
func TestDepartedBeforeTerm(t *testing.T) {
	now := time.Unix(1000, 0)
	leaving := roster.Worker{Name: "a", Service: "assay", Incarnation: 1}
	job := &graph.Job{ID: "j", Queue: "long", Accepted: now, Steps: []graph.Step{{Tasks: 1}}}
	first := New(testSettings(), testPolicy())
	first.SetWorkers([]roster.Worker{leaving}, now)
	first.SetResponsive("a", true)
	first.Submit(job, now)
	onlyStart(t, first, now)

	second := New(testSettings(), testPolicy())
	second.Restore(job, first.jobs["j"].wholeProgress(), now)
	second.SetWorkers(nil, now)
	absences := second.Absences()
	qt.Assert(t, absences, qt.HasLen, 1)
	qt.Check(t, absences[0].Runs, qt.Equals, 1)
	leaving.State = roster.Draining
	qt.Check(t, second.Departed(Removal{Last: leaving, SilenceKnown: true}, now), qt.Equals, Left)
	u := second.jobs["j"].units[0][0][0]
	qt.Check(t, u.phase, qt.Equals, waiting)
	qt.Check(t, countedCrashes(u).Crashes, qt.Equals, 0)
	qt.Check(t, second.TakeFindings(), qt.HasLen, 0)
}

// TestDepartureBounds checks the conclusions just inside and outside the bounds of a departure.
// Guards against TWICE: a worker that was only silent, or whose clock is not known, counted as left.
func TestDepartureBounds(t *testing.T) {
	const interval = 1500 * time.Millisecond
	p := New(testSettings(), testPolicy())
	leaving := roster.Worker{Name: "a", Service: "assay", Incarnation: 1, State: roster.Draining, Remaining: time.Second}
	p.SetWorkers([]roster.Worker{leaving}, time.Unix(1000, 0))
	for _, test := range []struct {
		name      string
		silence   Silence
		known     bool
		departure Departure
	}{
		{"almost two intervals", Silence{2*interval - 1, 2*interval - 1}, true, Left},
		{"two intervals", Silence{2 * interval, 2 * interval}, true, Silent},
		{"perhaps two intervals", Silence{time.Second, 2 * interval}, true, Silent},
		{"too early", Silence{0, time.Second - leaveTolerance - 1}, true, TooEarly},
		{"perhaps too early", Silence{0, time.Second - leaveTolerance}, true, Left},
		{"not known", Silence{interval, interval}, false, ClockUnknown},
	} {
		removal := Removal{Last: leaving, Silence: test.silence, SilenceKnown: test.known}
		qt.Check(t, p.departure(&removal), qt.Equals, test.departure, qt.Commentf(test.name))
	}
	leaving.Incarnation = 2
	p.SetWorkers([]roster.Worker{leaving}, time.Unix(1000, 0))
	leaving.Incarnation = 1
	removal := Removal{Last: leaving, Silence: Silence{interval, interval}, SilenceKnown: true}
	qt.Check(t, p.departure(&removal), qt.Equals, Returned)
}
