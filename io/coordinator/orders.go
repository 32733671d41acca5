package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/io/runner"
)

const (
	// orderTimeout bounds one order to a worker.
	orderTimeout = 600 * time.Millisecond
	// orderRetry is the time between two tries of an order.
	orderRetry = 200 * time.Millisecond
)

// orderKey identifies an order.
type orderKey struct {
	worker endpoint.Name
	task   graph.TaskID
	run    graph.Run
	kind   orderKind
}

// orderKind tells apart the orders about one run.
type orderKind int

// The kinds of orders.
const (
	startOrder orderKind = iota
	stopOrder
	paceOrder
)

// order is one that has not been answered yet.
type order struct {
	action   planner.Action
	inFlight bool
	// unanswered is set after a try without an answer, which may have been carried out, or may be later.
	unanswered bool
	// next is when it is sent again.
	next time.Time
}

// orders sends starts and stops to workers until they are answered. Only the control goroutine uses it.
type orders struct {
	ctx  context.Context
	term *term
	open map[orderKey]*order
}

func newOrders(ctx context.Context, t *term) *orders {
	return &orders{ctx: ctx, term: t, open: map[orderKey]*order{}}
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

// give sends an order unless it is under way already.
func (o *orders) give(action planner.Action) {
	key := keyOf(action)
	if earlier, open := o.open[key]; open {
		// A newer pace replaces the one that waits for its answer.
		earlier.action = action
		return
	}
	o.log(action)
	entry := &order{action: action}
	o.open[key] = entry
	o.send(key, entry)
}

func (o *orders) log(action planner.Action) {
	switch a := action.(type) {
	case planner.Start:
		o.term.config.Metrics.started()
		o.term.config.Log.Info("starting", "job", a.Task.Job, "task", a.Task.String(), "run", a.Run,
			"worker", a.Worker, "resumes", a.Checkpoint != "")
	case planner.Stop:
		o.term.config.Metrics.stopped(a.Reason)
		o.term.config.Log.Info("stopping", "job", a.Task.Job, "task", a.Task.String(), "run", a.Run,
			"worker", a.Worker, "reason", a.Reason)
	case planner.Pace:
		o.term.config.Metrics.paced()
		o.term.config.Log.Debug("pacing", "job", a.Task.Job, "task", a.Task.String(), "run", a.Run,
			"worker", a.Worker, "percent", a.Percent)
	}
}

// retry sends the orders again that were not answered and still make sense.
func (o *orders) retry(now time.Time) {
	for key, entry := range o.open {
		if entry.inFlight || now.Before(entry.next) {
			continue
		}
		if !o.term.planner.StillNeeded(entry.action) {
			delete(o.open, key)
			continue
		}
		o.send(key, entry)
	}
}

func (o *orders) send(key orderKey, entry *order) {
	l, linked := o.term.links[key.worker]
	// A start would renew the lease of a worker that does not answer.
	if !linked || !o.term.role.Valid() || l.isSilent() && key.kind == startOrder {
		entry.next = time.Now().Add(orderRetry)
		return
	}
	entry.inFlight = true
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

func (o *orders) start(l *link, a planner.Start, repeated bool) {
	ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
	defer cancel()
	_, err := l.worker.Start(ctx, runner.Start{
		Task: a.Task, Run: a.Run, Fence: runner.Fence(o.term.role.Fence), Spec: a.Spec,
		Until: l.until(time.Now()), Checkpoint: a.Checkpoint, Ticket: a.Ticket,
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

// startOutcome tells what an error of a start means. After a try without an answer, only a rejection for good says that
// nothing can begin any more: a worker that lacks room now may have it when the earlier try arrives.
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
	case isRefusal(err):
		return planner.Rejected
	default:
		return planner.Unanswered
	}
}

// isRefusal tells whether an order had no effect and will have none.
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
	if entry, open := o.open[key]; open && entry.action != planner.Action(e.pace) {
		// Another pace was decided meanwhile.
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
}

func (o *orders) answered(key orderKey, settled bool) {
	entry, open := o.open[key]
	if !open {
		return
	}
	if settled {
		delete(o.open, key)
		return
	}
	entry.inFlight, entry.unanswered = false, true
	entry.next = time.Now().Add(orderRetry)
}
