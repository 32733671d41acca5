package coordinator

import (
	"context"
	"math"
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/planner"
	"auburnstack/core/roster"
	"auburnstack/io/store"
)

// maxHistoryWorkers is the largest number of workers whose history is read in one term.
const maxHistoryWorkers = 40

// Revisions dates the store's revisions (store.RevisionLog).
type Revisions interface {
	// At returns a revision that the store had the given time ago or earlier, or the oldest known one. It returns false
	// if none is known.
	At(age time.Duration) (store.Revision, bool)
	// Age returns bounds of the time since the change with a revision. The upper one is math.MaxInt64 if not known.
	Age(revision store.Revision) (atLeast, atMost time.Duration)
}

// removedRegistration is a registration that was removed.
type removedRegistration struct {
	// last is the registration as it was last written.
	last roster.Worker
	// removedAt is the revision of its removal. If the watch showed the removal, it is not known, and seenAt is the time
	// at which the watch showed it.
	removedAt store.Revision
	seenAt    time.Time
}

// historyRead reports how the registration of a worker was removed, or why that is not known.
type historyRead struct {
	worker       endpoint.Name
	registration removedRegistration
	err          error
}

func (historyRead) isEvent() {}

// history reads from the store's history how registrations were removed before the first read of all registrations, one
// call after the other. All its fields belong to the control goroutine.
type history struct {
	term   *term
	reader *historyReader
	// unread holds the workers whose history is still to be read.
	unread []endpoint.Name
	// begunAt is the time at which all registrations were read; zero before. reads counts the workers whose history was
	// read or is being read. reading is set while a read is in flight.
	begunAt time.Time
	reads   int
	reading bool
	// undated holds the removed registrations for which it is not known well enough how old their last write was.
	undated []removedRegistration
	// witnesses holds writes of other workers, once they were read.
	witnesses     []witness
	witnessesRead bool
}

func newHistory(t *term) *history {
	return &history{term: t}
}

// begin starts to read how the registrations of those workers were removed on which runs are presumed, those with the
// fewest runs first, as little runs on workers that leave. It has an effect only after the first read of all
// registrations: the watch shows later removals.
func (h *history) begin(list []roster.Worker, now time.Time) {
	if !h.begunAt.IsZero() || h.term.config.Revisions == nil {
		return
	}
	h.begunAt = now
	h.reader = newHistoryReader(h.term, list)
	for _, absence := range h.term.planner.Absences() {
		h.unread = append(h.unread, absence.Worker)
	}
	h.next(now)
}

// next starts the next read, unless one is in flight: of the history of a worker that has not registered again, or of
// the witnesses.
func (h *history) next(now time.Time) {
	if h.reading {
		return
	}
	if worker, found := h.nextWorker(); found {
		h.reads++
		h.read(func(ctx context.Context) event {
			registration, err := h.reader.readRemoval(ctx, worker)
			return historyRead{worker: worker, registration: registration, err: err}
		})
		return
	}
	if len(h.undated) == 0 || h.witnessesRead {
		return
	}
	if chosen := h.chooseWitnesses(now); len(chosen) > 0 {
		h.witnessesRead = true
		h.read(func(ctx context.Context) event {
			return witnessesRead{witnesses: h.reader.readWitnesses(ctx, chosen)}
		})
	}
}

// read carries out a read in a goroutine of its own, and posts its result.
func (h *history) read(work func(ctx context.Context) event) {
	h.reading = true
	h.term.spawn(func() { h.term.post(work(h.term.role.Context())) })
}

// nextWorker returns the next worker whose history has to be read.
func (h *history) nextWorker() (endpoint.Name, bool) {
	for len(h.unread) > 0 && h.reads < maxHistoryWorkers {
		worker := h.unread[0]
		h.unread = h.unread[1:]
		if !h.term.planner.Registered(worker) && h.term.planner.Absence(worker).Runs > 0 {
			return worker, true
		}
	}
	return "", false
}

// handleRead tells the planner how a registration was removed, unless the worker has registered again.
func (h *history) handleRead(e *historyRead, now time.Time) {
	h.reading = false
	t := h.term
	if t.planner.Registered(e.worker) {
		return
	}
	absence := t.planner.Absence(e.worker)
	if absence.Runs == 0 {
		return
	}
	if e.err != nil {
		t.config.Log.Info("runs presumed on an unregistered worker", "worker", e.worker, "runs", absence.Runs,
			"at_most", absence.Until.Sub(now).String(), "error", e.err.Error())
		return
	}
	removal := h.removal(&e.registration, now)
	departure := t.depart(&removal, "history", now)
	undated := departure == planner.Silent || departure == planner.ClockUnknown
	switch {
	case departure == planner.Left:
	case undated && h.mayDate():
		h.undated = append(h.undated, e.registration)
	default:
		t.logPresumed(&removal, absence, departure, now)
	}
}

// handleWitnesses tells the planner about the removals again that could not be dated well enough before.
func (h *history) handleWitnesses(witnesses []witness, now time.Time) {
	h.reading = false
	h.witnesses = witnesses
	undated := h.undated
	h.undated = nil
	for _, registration := range undated {
		h.handleRead(&historyRead{worker: registration.last.Name, registration: registration}, now)
	}
}

// mayDate reports whether witnesses may still date a last write.
func (h *history) mayDate() bool {
	return h.term.config.Revisions != nil && !h.witnessesRead
}

// removal returns a removal with the time from the last write to it, as far as the answers to this VM's calls and the
// witnesses show it.
func (h *history) removal(r *removedRegistration, now time.Time) planner.Removal {
	removedAtLeast, removedAtMost := now.Sub(r.seenAt), time.Duration(math.MaxInt64)
	if r.removedAt > 0 {
		removedAtLeast, removedAtMost = h.term.config.Revisions.Age(r.removedAt)
	}
	writtenAtLeast, writtenAtMost := h.term.config.Revisions.Age(store.Revision(r.last.Revision))
	writtenAtMost = min(writtenAtMost, h.witnessedAge(r.last.Revision, now))
	return planner.Removal{
		Last: r.last, SilenceKnown: writtenAtMost < math.MaxInt64,
		Silence: planner.Silence{
			AtLeast: max(writtenAtLeast-removedAtMost, 0), AtMost: writtenAtMost - removedAtLeast,
		},
	}
}
