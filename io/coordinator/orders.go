package coordinator

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/io/policywatch"
	"auburnstack/io/runner"
)

const (
	// orderTimeout is the timeout of one attempt to send an order to a worker.
	orderTimeout = 600 * time.Millisecond
	// orderRetryPause is the time between two attempts to send an order.
	orderRetryPause = 200 * time.Millisecond
	// maxRosterAge is the age of the workers' registrations from which on no start is sent: a worker may have announced
	// since then that it leaves. It is shorter than the time for which such a worker still accepts work.
	maxRosterAge = 1800 * time.Millisecond
	// maxPolicyAge is the time since the configuration was confirmed to be the newest from which on no start is sent for
	// an account with a limit: the limit may have been lowered since. A limit may be exceeded for the first 3 s after it
	// was lowered, and an attempt to send a start takes up to orderTimeout. While the store answers, the configuration is
	// confirmed every 0.8 s, and within 2 s if one watch call gets no answer.
	maxPolicyAge = 2400 * time.Millisecond
)

// orderKey identifies an order. For each run, a worker has at most one pending order of each kind.
type orderKey struct {
	worker endpoint.Name
	task   graph.TaskID
	run    graph.Run
	kind   orderKind
}

// orderKind distinguishes the orders that concern the same run.
type orderKind int

// The kinds of orders.
const (
	startOrder orderKind = iota
	stopOrder
	paceOrder
)

// order is a start, stop or pace instruction to a worker whose outcome is not known yet.
type order struct {
	action   planner.Action
	inFlight bool
	// sent is set once an attempt to send the order has begun.
	sent bool
	// unanswered is set once an attempt to send the order has ended with an unknown outcome. The worker may have
	// carried out the order already or may still do so.
	unanswered bool
	// nextTry is the time from which the order may be sent again.
	nextTry time.Time
}

// orders sends start, stop and pace orders to workers, and retries each order until its outcome is known. Only the
// control goroutine may access the field pending.
type orders struct {
	ctx     context.Context
	term    *term
	pending map[orderKey]*order
}

func newOrders(ctx context.Context, t *term) *orders {
	return &orders{ctx: ctx, term: t, pending: map[orderKey]*order{}}
}

func keyOf(action planner.Action) orderKey {
	switch a := action.(type) {
	case planner.Start:
		return orderKey{worker: a.Worker, task: a.Task, run: a.Run}
	case planner.Stop:
		return orderKey{worker: a.Worker, task: a.Task, run: a.Run, kind: stopOrder}
	case planner.Pace:
		return orderKey{worker: a.Worker, task: a.Task, run: a.Run, kind: paceOrder}
	default:
		return orderKey{}
	}
}

// issue sends an order unless the same order is already pending. It drops a start whose run was given up after the
// planner decided on it, because of an event that was handled in between.
func (o *orders) issue(action planner.Action) {
	if _, isStart := action.(planner.Start); isStart && !o.term.planner.StillNeeded(action) {
		return
	}
	key := keyOf(action)
	if earlier, open := o.pending[key]; open {
		// A newer pace order replaces the pending one.
		earlier.action = action
		return
	}
	o.log(action)
	entry := &order{action: action}
	o.pending[key] = entry
	o.send(key, entry)
}

func (o *orders) log(action planner.Action) {
	switch a := action.(type) {
	case planner.Start:
		o.term.config.Metrics.startOrdered()
		fields := []any{"job", a.Task.Job, "task", a.Task.String(), "run", a.Run, "worker", a.Worker,
			"resumes", a.Checkpoint != ""}
		if a.Speeds.Slowest > 0 {
			fields = append(fields, "slowest", fmt.Sprintf("%.2f", a.Speeds.Slowest),
				"chance", fmt.Sprintf("%.2f", a.Speeds.Chance))
		}
		o.term.config.Log.Info("starting", fields...)
	case planner.Stop:
		o.term.config.Metrics.stopOrdered(a.Reason)
		o.term.config.Log.Info("stopping", "job", a.Task.Job, "task", a.Task.String(), "run", a.Run,
			"worker", a.Worker, "reason", a.Reason)
	case planner.Pace:
		o.term.config.Metrics.paceOrdered()
		o.term.config.Log.Debug("pacing", "job", a.Task.Job, "task", a.Task.String(), "run", a.Run,
			"worker", a.Worker, "percent", a.Percent)
	}
}

// retry sends pending orders again, and drops the orders that the planner no longer wants.
func (o *orders) retry(now time.Time) {
	o.withdrawExcess()
	for key, entry := range o.pending {
		if entry.inFlight || now.Before(entry.nextTry) {
			continue
		}
		if !o.term.planner.StillNeeded(entry.action) {
			delete(o.pending, key)
			continue
		}
		o.send(key, entry)
	}
}

func (o *orders) send(key orderKey, entry *order) {
	if a, isStart := entry.action.(planner.Start); isStart && !entry.sent {
		if reason := o.term.withdrawalReason(a); reason != "" {
			o.withdraw(key, a, reason)
			return
		}
	}
	l, linked := o.term.links[key.worker]
	if !linked || !o.term.role.Valid() || key.kind == startOrder && !o.mayStart(l, entry) {
		entry.nextTry = time.Now().Add(orderRetryPause)
		return
	}
	if a, isStart := entry.action.(planner.Start); isStart && !entry.sent {
		o.term.planner.StartSent(a)
	}
	entry.inFlight, entry.sent = true, true
	action, repeated := entry.action, entry.unanswered
	o.term.spawn(func() {
		switch a := action.(type) {
		case planner.Start:
			o.start(l, a, repeated)
		case planner.Stop:
			o.stop(l, a)
		case planner.Pace:
			o.pace(l, a)
		}
	})
}

// mayStart reports whether a start may be sent to a worker. A repeated start may not if it could bring the worker over
// its capacity or the account over its limit, because the run may not exist yet: the worker's next report settles that.
func (o *orders) mayStart(l *link, entry *order) bool {
	a, isStart := entry.action.(planner.Start)
	t := o.term
	return isStart && l.mayRenewLease() && time.Since(t.rosterReadAt) < maxRosterAge && t.registeredRecently(l) &&
		t.evacuationsProven() && !t.planner.MayOverfill(l.info.Name) && !t.planner.OverLimit(a) &&
		(!t.planner.Limited(a) || t.policyConfirmed())
}

// evacuationsProven reports whether the failure domains that are out were proven to be known lately enough, so that an
// attempt to send a start that takes as long as it may still arrives within Config.EvacuateLimit of a newer one.
func (t *term) evacuationsProven() bool {
	limit := t.config.EvacuateLimit
	return limit == 0 || t.config.Clock()-t.config.Policy().OperationsAt < policywatch.MaxAge(limit)-orderTimeout
}

// policyConfirmed reports whether the configuration was confirmed to be the newest within maxPolicyAge.
func (t *term) policyConfirmed() bool {
	return t.config.Clock()-t.config.Policy().CurrentAt < maxPolicyAge
}

func (o *orders) start(l *link, a planner.Start, repeated bool) {
	ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
	defer cancel()
	_, err := l.worker.Start(ctx, runner.Start{
		Task: a.Task, Run: a.Run, Fence: runner.Fence(o.term.role.Fence), Spec: a.Spec,
		Until: l.extendLease(time.Now(), o.term.config.Settings.LeaseLimit), Checkpoint: a.Checkpoint, Ticket: a.Ticket,
	})
	answer := startAnswered{start: a, outcome: planner.Accepted}
	if err != nil {
		answer.outcome = startOutcome(err, repeated)
		o.term.config.Metrics.orderFailed(err)
		o.term.config.Log.Warn("start not confirmed", "job", a.Task.Job, "task", a.Task.String(), "run", a.Run,
			"worker", a.Worker, "error", err.Error())
	}
	o.term.post(answer)
}

// startOutcome returns the outcome of a start order that ended with an error. The parameter repeated is set if the
// outcome of an earlier attempt is unknown. Then only runner.ErrRejected and runner.ErrReplaced rule out that the run
// begins later: a worker that has too few free resources now may have enough when the earlier attempt arrives.
func startOutcome(err error, repeated bool) planner.Outcome {
	switch {
	case errors.Is(err, runner.ErrReplaced):
		return planner.Rejected
	case repeated && errors.Is(err, runner.ErrRejected):
		return planner.RejectedAfterRetry
	case repeated:
		return planner.Unanswered
	case errors.Is(err, runner.ErrTicket):
		return planner.NotPermitted
	case isRefusal(err) || errors.Is(err, runner.ErrUnreachable):
		return planner.Rejected
	default:
		return planner.Unanswered
	}
}

// isRefusal reports whether an error of an order means that the order had no effect and never will.
func isRefusal(err error) bool {
	for _, refusal := range []error{runner.ErrRejected, runner.ErrNoCapacity, runner.ErrUnhealthy, runner.ErrReplaced} {
		if errors.Is(err, refusal) {
			return true
		}
	}
	return false
}

func (o *orders) stop(l *link, a planner.Stop) {
	ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
	defer cancel()
	err := l.worker.Stop(ctx, runner.Stop{Task: a.Task, Run: a.Run, Fence: runner.Fence(o.term.role.Fence)})
	accepted := err == nil || errors.Is(err, runner.ErrRejected) || errors.Is(err, runner.ErrReplaced)
	if err != nil {
		o.term.config.Metrics.orderFailed(err)
		o.term.config.Log.Warn("stop not confirmed", "job", a.Task.Job, "task", a.Task.String(), "run", a.Run,
			"worker", a.Worker, "error", err.Error())
	}
	o.term.post(stopAnswered{stop: a, accepted: accepted})
}

func (o *orders) pace(l *link, a planner.Pace) {
	ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
	defer cancel()
	err := l.worker.Pace(ctx, runner.Pace{
		Task: a.Task, Run: a.Run, Percent: a.Percent, Fence: runner.Fence(o.term.role.Fence),
	})
	if err != nil {
		o.term.config.Metrics.orderFailed(err)
		o.term.config.Log.Warn("pace not confirmed", "job", a.Task.Job, "task", a.Task.String(), "run", a.Run,
			"worker", a.Worker, "percent", a.Percent, "error", err.Error())
	}
	o.term.post(paceAnswered{pace: a, settled: err == nil || isRefusal(err)})
}

func (o *orders) paceAnswered(e paceAnswered) {
	key := keyOf(e.pace)
	if entry, open := o.pending[key]; open && entry.action != planner.Action(e.pace) {
		// The planner has decided on another pace in the meantime.
		entry.inFlight = false
		o.send(key, entry)
		return
	}
	o.answered(key, e.settled)
}

func (o *orders) startAnswered(e startAnswered) {
	o.answered(keyOf(e.start), e.outcome != planner.Unanswered)
}

func (o *orders) stopAnswered(e stopAnswered) {
	o.answered(keyOf(e.stop), e.accepted)
	if l, linked := o.term.links[e.stop.Worker]; linked && e.accepted && e.stop.Reason.MayPrecedeStart() {
		// No end of a run would make the worker report at once.
		l.Probe()
	}
}

func (o *orders) answered(key orderKey, settled bool) {
	entry, open := o.pending[key]
	if !open {
		return
	}
	if settled {
		delete(o.pending, key)
		return
	}
	entry.inFlight, entry.unanswered = false, true
	entry.nextTry = time.Now().Add(orderRetryPause)
}
