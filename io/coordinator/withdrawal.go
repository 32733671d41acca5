package coordinator

import (
	"time"

	"auburnstack/core/planner"
)

// withdrawalReason is the reason why a start is withdrawn before it was sent to its worker.
type withdrawalReason string

// The reasons for which a start is withdrawn.
const (
	// notAccepting means that the worker leaves or has been taken out of service since the placement.
	notAccepting withdrawalReason = "NotAccepting"
	// noCapacity means that the worker's capacity has shrunk since the placement.
	noCapacity withdrawalReason = "NoCapacity"
	// aboveLimit means that the limit of the task's account was lowered since the placement, or that a run of the account
	// was reported that should not exist.
	aboveLimit withdrawalReason = "AboveLimit"
	// otherKind means that the worker has started again, without the task's label or in another service.
	otherKind withdrawalReason = "OtherKind"
	// queueChanged means that the settings of the task's queue have changed since the placement and do not allow it.
	queueChanged withdrawalReason = "QueueChanged"
)

// withdrawalReason returns the reason to withdraw a start that was not sent, or an empty reason. It does not look at
// the worker's capacity and at the limit of the account, which concern several starts: see withdrawExcess.
func (t *term) withdrawalReason(a planner.Start) withdrawalReason {
	switch {
	case !t.planner.Accepts(a.Worker):
		return notAccepting
	case !t.planner.Suits(a):
		return otherKind
	case t.planner.Outdated(a):
		return queueChanged
	default:
		return ""
	}
}

// withdrawExcess withdraws starts that were not sent to a worker over its capacity or of an account over its limit, the
// least urgent first, until the others fit.
func (o *orders) withdrawExcess() {
	var excess []planner.Start
	for _, entry := range o.pending {
		a, isStart := entry.action.(planner.Start)
		if isStart && !entry.sent && o.excessReason(a) != "" && o.term.planner.StillNeeded(a) {
			excess = append(excess, a)
		}
	}
	o.term.planner.SortLeastUrgentFirst(excess)
	for _, a := range excess {
		if reason := o.excessReason(a); reason != "" && o.term.planner.StillNeeded(a) {
			o.withdraw(keyOf(a), a, reason)
		}
	}
}

// excessReason returns the reason to withdraw a start because of all starts on its worker or of its account together,
// or an empty reason.
func (o *orders) excessReason(a planner.Start) withdrawalReason {
	switch {
	case o.term.planner.OverCapacity(a.Worker):
		return noCapacity
	case o.term.planner.OverLimit(a):
		return aboveLimit
	default:
		return ""
	}
}

// withdraw drops a start that was not sent. The run does not exist, and the planner places the task again.
func (o *orders) withdraw(key orderKey, a planner.Start, reason withdrawalReason) {
	delete(o.pending, key)
	o.term.config.Metrics.startWithdrawn(reason)
	o.term.config.Log.Info("start withdrawn", "job", a.Task.Job, "task", a.Task.String(), "run", a.Run,
		"worker", a.Worker, "reason", reason)
	o.term.planner.StartAnswered(a, planner.Withdrawn, time.Now())
}

// logCapacityChanges logs and counts the changes of capacity that workers have registered. Of many changes at a time it
// logs the first ones and their number.
func (t *term) logCapacityChanges() {
	changes, total := t.planner.TakeCapacityChanges()
	if total == 0 {
		return
	}
	t.config.Metrics.capacitiesChanged(total)
	for i := range changes {
		c := &changes[i]
		t.config.Log.Info("capacity changed", "worker", c.Worker, "cpu", c.New.CPU, "memory", c.New.Memory,
			"accelerators", c.New.Accelerators, "old", c.Old, "used", c.Used, "over", !c.Used.Fits(c.New), "changes", total)
	}
}
