package coordinator

import (
	"context"
	"time"

	"auburnstack/core/planner"
	"auburnstack/io/wait"
)

const (
	// tickInterval is the interval of the periodic work of the control goroutine: it makes the planner try all placements
	// again, updates the published counts and removes old jobs.
	tickInterval = 100 * time.Millisecond
	// planRest is the least time between two calls of the planner, as a multiple of the duration of the first call.
	// maxPlanRest is its upper limit.
	planRest    = 2
	maxPlanRest = 50 * time.Millisecond
	// longStep is the least duration of a step of the control goroutine after which it pauses. The pause is as long as the
	// step, but at most maxTrafficPause.
	longStep        = 4 * time.Millisecond
	maxTrafficPause = 50 * time.Millisecond
)

// pacer limits the share of time that the planner takes. On large sites each call examines thousands of workers,
// however few events it handles; events that arrive while the planner rests are planned together.
type pacer struct {
	// next is the time from which the planner may be called again.
	next time.Time
	// timer fires at the time next if a call was postponed.
	timer *time.Timer
}

func newPacer() *pacer {
	timer := time.NewTimer(0)
	timer.Stop()
	return &pacer{timer: timer}
}

// mayPlan reports whether the planner may be called. If not, the timer will fire as soon as it may.
func (p *pacer) mayPlan(now time.Time) bool {
	if now.Before(p.next) {
		p.timer.Reset(p.next.Sub(now))
		return false
	}
	return true
}

// planned records a call of the planner. If there is more to plan, the timer fires when the planner may be called
// again.
func (p *pacer) planned(began, ended time.Time, more bool) {
	rest := min(planRest*ended.Sub(began), maxPlanRest)
	p.next = ended.Add(rest)
	if more {
		p.timer.Reset(rest)
	}
}

// control handles events until the context ends. After each group of events and each tick it calls step.
func (t *term) control(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer t.pacer.timer.Stop()
	t.publishCounts()
	t.step()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-t.events:
			t.handle(e)
			t.handleQueued()
		case <-ticker.C:
			t.planner.Tick()
			t.history.next(time.Now())
			t.publishCounts()
			t.watchAccounts(time.Now())
			t.removeOldJobs(ctx)
			t.storeLearned(ctx, time.Now())
			t.storeFormerQueues(ctx, time.Now())
		case <-t.pacer.timer.C:
		}
		start := time.Now()
		t.step()
		t.pauseForTraffic(ctx, time.Since(start))
	}
}

// pauseForTraffic pauses after a long step for as long as the step took, at most maxTrafficPause. The pause leaves
// processor time to requests and lets events accumulate for the next step.
func (t *term) pauseForTraffic(ctx context.Context, took time.Duration) {
	if took >= longStep {
		wait.For(ctx, min(took, maxTrafficPause))
	}
}

// step carries out the planner's decisions and stores the changes of progress.
func (t *term) step() {
	if !t.role.Valid() {
		return
	}
	actions := t.plan()
	t.reportFindings()
	for _, action := range actions {
		if question, isQuestion := action.(planner.Consult); isQuestion {
			t.consult(question)
			continue
		}
		t.orders.issue(action)
	}
	t.orders.retry(time.Now())
	t.flush()
	t.acknowledgeEnds()
}

// plan returns the planner's actions. While the planner rests, these are only the actions that follow from the events
// alone.
func (t *term) plan() []planner.Action {
	now := time.Now()
	if !t.pacer.mayPlan(now) {
		return t.planner.TakeActions()
	}
	sweeps := t.planner.SweepDue(now)
	if sweeps {
		t.passOnRenewals()
	}
	t.advanceWaves(now)
	actions := t.planner.Plan(now)
	if sweeps {
		t.updatePaced()
	}
	t.pacer.planned(now, time.Now(), t.planner.InRound())
	return actions
}

// passOnRenewals tells the planner when the links have last renewed the workers' leases.
func (t *term) passOnRenewals() {
	for name, l := range t.links {
		if sent := l.lastRenewalSent(); !sent.IsZero() {
			t.planner.LeaseRenewed(name, sent)
		}
	}
}

// updatePaced makes links send holds more often to workers on which filler tasks may slow down tasks that have a tail
// latency target.
func (t *term) updatePaced() {
	for name, l := range t.links {
		l.paced.Store(t.planner.Paced(name))
	}
}

// handleQueued handles the events that are already in the queue.
func (t *term) handleQueued() {
	for {
		select {
		case e := <-t.events:
			t.handle(e)
		default:
			return
		}
	}
}
