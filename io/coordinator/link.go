package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/planner"
	"auburnstack/core/roster"
	"auburnstack/io/runner"
	"auburnstack/io/wait"
)

const (
	// defaultHoldWait is the longest time for which a worker may delay its reply to a hold until a run ends.
	defaultHoldWait = time.Second
	// openingSlotTimeout is the longest time for which a link occupies its opening slot (see acquireOpeningSlot).
	openingSlotTimeout = 60 * time.Millisecond
	// largeSiteWorkers is the number of workers from which on largeSiteHoldWait applies instead of defaultHoldWait:
	// each reply costs the leader processor time, so workers on large sites may delay their replies longer.
	largeSiteWorkers  = 600
	largeSiteHoldWait = 2 * time.Second
	// pacedHoldWait applies, instead of defaultHoldWait and largeSiteHoldWait, to workers that run filler tasks
	// together with tasks that have a tail latency target. Filler tasks use spare processor time.
	pacedHoldWait = 300 * time.Millisecond
	// holdTimeout is added to the time for which the worker may delay its reply; the sum is the timeout of a hold.
	holdTimeout = 450 * time.Millisecond
	// holdRetryPause is the pause between an unanswered hold and the next hold.
	holdRetryPause = 150 * time.Millisecond
	// replacedPause is the pause between a hold to which another worker replied and the next hold.
	replacedPause = time.Second
	// ackWaitLimit is the longest time for which a link delays its next hold until the ended runs of the last reply are
	// recorded.
	ackWaitLimit = time.Second
)

// link sends holds (runner.Hold) to one worker, and reports the replies to the term. A hold is a heartbeat that renews
// the worker's lease and asks for the state of its runs.
type link struct {
	term   *term
	info   roster.Worker
	worker runner.Worker
	cancel context.CancelFunc
	closed chan struct{}
	// ackSignal wakes the link's goroutine after a call of the method acknowledge.
	ackSignal chan struct{}
	// probeSignal makes the link cancel a hold whose reply may be delayed, and send a new hold that asks for an
	// immediate reply.
	probeSignal chan struct{}

	// paced is set while pacedHoldWait applies to the worker.
	paced atomic.Bool

	// hasOpeningSlot is set while the link occupies one of term.openingSlots.
	hasOpeningSlot atomic.Bool
	// openingTimer releases the opening slot after openingSlotTimeout. Only the link's goroutine uses this field.
	openingTimer *time.Timer

	// holdProbed is set if a call of Probe canceled the last hold.
	holdProbed atomic.Bool

	leaseState
}

// holdWait returns the longest time for which a worker may delay its reply to a hold, except on workers to which
// pacedHoldWait applies.
func (t *term) holdWait() time.Duration {
	if t.workers.Load() >= largeSiteWorkers {
		return largeSiteHoldWait
	}
	return defaultHoldWait
}

func newLink(t *term, info roster.Worker) *link {
	ctx, cancel := context.WithCancel(t.role.Context())
	l := &link{
		term: t, info: info, worker: t.config.Dialer.Worker(info), cancel: cancel,
		closed: make(chan struct{}), ackSignal: make(chan struct{}, 1), probeSignal: make(chan struct{}, 1),
	}
	go l.run(ctx)
	return l
}

// Close stops the link and waits until its goroutine has ended.
func (l *link) Close() {
	l.cancel()
	<-l.closed
}

func (l *link) run(ctx context.Context) {
	defer close(l.closed)
	if !l.acquireOpeningSlot(ctx) {
		return
	}
	for ctx.Err() == nil && l.term.role.Valid() {
		reply, sent, err := l.poll(ctx)
		l.finishOpening()
		switch {
		case errors.Is(err, runner.ErrFenced):
			l.term.config.Log.Warn("resigning, a worker follows a newer leader", "worker", l.info.Name)
			l.term.role.Resign()
			return
		case errors.Is(err, runner.ErrReplaced):
			l.post(ctx, workerReplaced{worker: l.info.Name})
			wait.For(ctx, replacedPause)
		case err != nil:
			if ctx.Err() != nil {
				return
			}
			l.post(ctx, holdUnanswered{worker: l.info.Name})
			wait.For(ctx, holdRetryPause)
		default:
			l.report(ctx, reply, sent)
			if reply.Last > 0 {
				l.awaitAck(ctx, reply.Last)
			}
		}
	}
}

// acquireOpeningSlot waits for one of the maxOpeningLinks slots that limit how many links wait for the first reply of
// their worker at the same time. A link needs a slot to send its first hold. acquireOpeningSlot returns false if the
// context ends first.
func (l *link) acquireOpeningSlot(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case l.term.openingSlots <- struct{}{}:
		l.hasOpeningSlot.Store(true)
		// The link releases its slot after this timeout even without a reply, because waiting for a worker that does not
		// reply costs no processor time.
		l.openingTimer = time.AfterFunc(openingSlotTimeout, l.releaseOpeningSlot)
		return true
	}
}

// finishOpening is called after each hold. After the first hold it releases the opening slot if the link still occupies
// the slot; after later holds it has no effect.
func (l *link) finishOpening() {
	l.openingTimer.Stop()
	l.releaseOpeningSlot()
}

// releaseOpeningSlot makes the opening slot available to another link.
func (l *link) releaseOpeningSlot() {
	if l.hasOpeningSlot.CompareAndSwap(true, false) {
		<-l.term.openingSlots
	}
}

// poll sends a hold, which also renews the lease unless the worker is unresponsive. It returns the reply and the time
// at which the hold was sent.
func (l *link) poll(ctx context.Context) (runner.HoldReply, time.Time, error) {
	hold := runner.Hold{Fence: runner.Fence(l.term.role.Fence), Acknowledged: l.acknowledgeable()}
	if l.mayDelayReply() {
		hold.Wait = l.term.holdWait()
		if l.paced.Load() {
			hold.Wait = pacedHoldWait
		}
	}
	sent := time.Now()
	if !l.isUnresponsive() {
		hold.Until = l.extendLease(sent, l.term.config.Settings.LeaseLimit)
	}
	reply, err := l.sendHold(ctx, hold)
	if err != nil && hold.Wait > 0 && l.wasHoldProbed() && ctx.Err() == nil {
		hold.Wait = 0
		sent = time.Now()
		reply, err = l.sendHold(ctx, hold)
	}
	l.setUnresponsive(err != nil)
	if err == nil {
		l.updateClock(reply.Clock, reply.Incarnation, sent, time.Now())
	}
	return reply, sent, err
}

// sendHold sends a hold and waits for the reply. A call of Probe cancels the hold if the hold allows a delayed reply.
func (l *link) sendHold(ctx context.Context, hold runner.Hold) (runner.HoldReply, error) {
	call, cancel := context.WithTimeout(ctx, hold.Wait+holdTimeout)
	defer cancel()
	if hold.Wait == 0 {
		return l.worker.Hold(call, hold)
	}
	l.holdProbed.Store(false)
	select {
	case <-l.probeSignal:
	default:
	}
	finished := make(chan struct{})
	defer close(finished)
	go func() {
		select {
		case <-finished:
		case <-l.probeSignal:
			l.holdProbed.Store(true)
			cancel()
		}
	}()
	return l.worker.Hold(call, hold)
}

// wasHoldProbed reports whether a call of Probe canceled the last hold.
func (l *link) wasHoldProbed() bool {
	return l.holdProbed.Load()
}

// Probe makes the link check at once whether the worker replies.
func (l *link) Probe() {
	select {
	case l.probeSignal <- struct{}{}:
	default:
	}
}

func (l *link) report(ctx context.Context, reply runner.HoldReply, sent time.Time) {
	l.post(ctx, holdAnswered{
		observation: planner.Observation{
			Worker: l.info.Name, Incarnation: reply.Incarnation, Sent: sent, Clock: time.Duration(reply.Clock),
			Runs: reply.Runs, Ended: reply.Ended, MoreEnded: reply.MoreEnded,
		},
		lastEnd: reply.Last,
	})
}

// post sends an event to the control goroutine. It drops the event if the link is closed while the event queue is full:
// the control goroutine may be waiting for the link to end.
func (l *link) post(ctx context.Context, e event) {
	select {
	case l.term.events <- e:
		return
	default:
	}
	select {
	case l.term.events <- e:
	case <-ctx.Done():
	}
}

// acknowledge makes later holds acknowledge the ended runs up to the given sequence number of an incarnation.
func (l *link) acknowledge(incarnation roster.Incarnation, number int64) {
	l.setAcknowledged(incarnation, number)
	select {
	case l.ackSignal <- struct{}{}:
	default:
	}
}

// awaitAck waits until the ended runs up to the given sequence number are recorded, at most for ackWaitLimit. A hold
// that is sent earlier would get an immediate reply that lists the same runs again.
func (l *link) awaitAck(ctx context.Context, number int64) {
	timer := time.NewTimer(ackWaitLimit)
	defer timer.Stop()
	for {
		if l.hasAcknowledged(number) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-l.ackSignal:
		}
	}
}
