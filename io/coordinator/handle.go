package coordinator

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/planner"
	"auburnstack/core/roster"
)

// handle applies an event to the state of the term.
func (t *term) handle(e event) {
	now := time.Now()
	switch e := e.(type) {
	case workersChanged:
		t.rosterReadAt = e.readAt
		t.planner.SetWorkers(e.workers, now)
		t.logCapacityChanges()
		t.handleRemoved(e.removed, e.workers, now)
		t.history.begin(e.workers, now)
		t.updateLinks()
	case jobsAccepted:
		t.accept(e, now)
	case removalEnded:
		t.finishRemoval(e, now)
	case holdAnswered:
		t.observe(e, now)
	case holdUnanswered:
		t.handleUnansweredHold(e.worker, now)
	case historyRead:
		t.history.handleRead(&e, now)
		t.history.next(now)
	case witnessesRead:
		t.history.handleWitnesses(e.witnesses, now)
	case workerReplaced:
		t.config.Log.Info("worker replaced", "worker", e.worker)
		t.planner.WorkerExited(e.worker, now)
	case startAnswered:
		t.planner.StartAnswered(e.start, e.outcome, now)
		t.orders.startAnswered(e)
	case stopAnswered:
		if e.accepted {
			t.planner.StopAnswered(e.stop, now)
		}
		t.orders.stopAnswered(e)
	case flushDone:
		t.finishFlush(e, now)
	case policyChanged:
		t.logQueueChanges(t.planner.SetPolicy(t.policy()))
		t.waves.SetWaves(t.policy().Waves, now)
	default:
		t.handleOtherEvent(e, now)
	}
}

// handleOtherEvent handles the events that handle does not: replies to pace orders, results of calls to the adviser and
// the inventory, the storage of reports on upkeep waves, and queries of the state of a job.
func (t *term) handleOtherEvent(e event, now time.Time) {
	switch e := e.(type) {
	case paceAnswered:
		t.orders.paceAnswered(e)
	case consultAnswered:
		t.planner.ConsultAnswered(e.question, e.advice.Tickets, e.advice.Validity, e.answered, now)
	case machinesListed:
		t.waves.SetMachines(e.machines)
	case waveRecorded:
		t.reportInFlight = false
		t.waves.Recorded(e.record)
	case upkeepAnswered:
		t.waves.Answered(e.begin, e.outcome, now)
	case stateQuery:
		state, known := t.planner.State(e.id)
		e.reply <- JobStatus{Origin: t.planner.Origin(e.id), State: state, Known: known}
	}
}

// maxRemovedLines is the largest number of lines about the runs of removed workers after one read of the registrations,
// and of lines about expired leases after one call of the planner. An outage of the store may affect all workers at
// once.
const maxRemovedLines = 40

// handleRemoved tells the planner which registrations were removed, and how old their last writes were. The parameter
// list holds all other registrations. The watch shows a removal soon after it was made, so the age of the last write at
// this time stands for its age at the removal.
func (t *term) handleRemoved(removed, list []roster.Worker, now time.Time) {
	presumed := 0
	for i := range removed {
		removal := planner.Removal{Last: removed[i]}
		removal.Silence, removal.SilenceKnown = t.silenceOf(&removal.Last, list, now)
		absence := t.planner.Absence(removal.Last.Name)
		departure := t.depart(&removal, "watch", now)
		switch {
		case departure == planner.Left || absence.Runs == 0:
		case departure == planner.ClockUnknown && t.history.mayDate():
			t.history.undated = append(t.history.undated, removedRegistration{last: removal.Last, seenAt: now})
		default:
			presumed++
			if presumed <= maxRemovedLines {
				t.logPresumed(&removal, absence, departure, now)
			}
		}
	}
	if presumed > maxRemovedLines {
		t.config.Log.Info("runs presumed on more removed workers", "workers", presumed-maxRemovedLines)
	}
}

// depart tells the planner about the removal of a registration, which was seen by the watch or in the history, as the
// parameter seen says.
func (t *term) depart(removal *planner.Removal, seen string, now time.Time) planner.Departure {
	absence := t.planner.Absence(removal.Last.Name)
	departure := t.planner.Departed(*removal, now)
	t.config.Metrics.registrationRemoved(departure)
	if departure == planner.Left {
		t.config.Log.Info("worker left", "worker", removal.Last.Name, "silence", removal.Silence.AtMost.String(),
			"announced", removal.Last.Remaining.String(), "runs", absence.Runs, "seen", seen)
	}
	return departure
}

// logPresumed logs why the runs of a worker whose registration was removed may go on.
func (t *term) logPresumed(r *planner.Removal, a planner.Absence, departure planner.Departure, now time.Time) {
	silence, atLeast := "unknown", "unknown"
	if r.SilenceKnown {
		silence, atLeast = r.Silence.AtMost.String(), r.Silence.AtLeast.String()
	}
	t.config.Log.Info("runs presumed on a removed worker", "worker", r.Last.Name, "reason", departure.String(),
		"silence", silence, "silence_at_least", atLeast, "announced", r.Last.Remaining.String(), "runs", a.Runs,
		"at_most", a.Until.Sub(now).String())
}

// handleUnansweredHold tells the planner that a worker does not reply. It also probes the other workers of the same
// failure domain, as they may be unreachable too, at most once per probeInterval.
func (t *term) handleUnansweredHold(name endpoint.Name, now time.Time) {
	t.planner.Unanswered(name, now)
	l, linked := t.links[name]
	if !linked {
		return
	}
	failureDomain := l.info.FailureDomain
	if now.Sub(t.lastProbe[failureDomain]) < probeInterval {
		return
	}
	t.lastProbe[failureDomain] = now
	for _, other := range t.links {
		if other != l && other.info.FailureDomain == failureDomain {
			other.Probe()
		}
	}
}

func (t *term) accept(e jobsAccepted, now time.Time) {
	for _, job := range e.jobs {
		if t.wasRemoved(job) {
			continue
		}
		if !t.planner.Has(job.ID) {
			t.config.Memory.Read(job)
			t.config.Log.Info("job queued", "job", job.ID, "queue", job.Queue, "account", job.ClientAccount,
				"steps", len(job.Steps), "age", now.Sub(job.Accepted).String())
		}
		t.planner.Submit(job, now)
	}
	for _, id := range e.canceled {
		if t.planner.Cancel(id, now) {
			t.config.Log.Info("job canceled", "job", id)
		}
	}
}

func (t *term) observe(e holdAnswered, now time.Time) {
	t.planner.SetResponsive(e.observation.Worker, true)
	t.planner.Observe(e.observation, now)
	for i := range e.observation.Ended {
		end := &e.observation.Ended[i]
		t.config.Metrics.runEnded(end.Kind)
		t.config.Log.Info("run ended", "job", end.Task.Job, "task", end.Task.String(), "run", end.Run,
			"how", end.Kind.String(), "worker", e.observation.Worker)
	}
	if e.lastEnd > 0 {
		t.acks = append(t.acks, ack{
			worker: e.observation.Worker, incarnation: e.observation.Incarnation, number: e.lastEnd,
			change: t.planner.LastChange(),
		})
	}
}
