package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/planner"
	"auburnstack/core/roster"
	"auburnstack/io/runner"
	"auburnstack/io/wait"
)

const (
	// defaultHoldWait is how long a worker may hold back its answer until a run ends.
	defaultHoldWait = time.Second
	// openingSlotTimeout bounds the turn of a link to call its worker first.
	openingSlotTimeout = 60 * time.Millisecond
	// largeSiteWorkers is the number of workers from which they may wait longer, for largeWait, as each answer costs the leader
	// processor time.
	largeSiteWorkers  = 600
	largeSiteHoldWait = 2 * time.Second
	// pacedHoldWait takes its place on workers where tasks that fill work beside tasks that serve.
	pacedHoldWait = 300 * time.Millisecond
	// holdTimeout bounds the delivery of a hold and its answer.
	holdTimeout = 450 * time.Millisecond
	// holdRetryPause is the pause after a hold without an answer.
	holdRetryPause = 150 * time.Millisecond
	// replacedPause is the pause before a worker is asked again after another one has answered in its place.
	replacedPause = time.Second
	// ackWaitLimit is the longest time for which the next hold waits until ends are recorded.
	ackWaitLimit = time.Second
)

// link keeps the leases of one worker and reports what it says.
type link struct {
	term   *term
	info   roster.Worker
	worker runner.Worker
	cancel context.CancelFunc
	closed chan struct{}
	// ackSignal wakes the link after ends were recorded.
	ackSignal chan struct{}
	// probeSignal makes the link ask at once, without waiting for an end.
	probeSignal chan struct{}

	// paced is set while the worker has to be watched closely.
	paced atomic.Bool

	// hasOpeningSlot is set while the link has its turn to call the worker first.
	hasOpeningSlot atomic.Bool
	// openingTimer ends that; only the link's goroutine uses it.
	openingTimer *time.Timer

	// holdProbed is set when a probe has ended the last hold.
	holdProbed atomic.Bool

	mu sync.Mutex
	// acknowledged is the number of the last end that was recorded.
	acknowledged int64
	// renewalSent is when an order that renews the lease was renewalSent last.
	renewalSent time.Time
	// unresponsive is set after a hold without an answer. The lease is not renewed then, as it would never be known to have
	// ended while such holds may still arrive.
	unresponsive bool
	// clock is the worker's clock at a time; 0 until it is known.
	clock       runner.WorkerTime
	clockReadAt time.Time
	// incarnation is the one that clock belongs to.
	incarnation roster.Incarnation
}

// holdWait is how long workers may hold back their answers.
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

// Close ends the link and waits.
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
		held, sent, err := l.hold(ctx)
		l.finishOpening()
		switch {
		case errors.Is(err, runner.ErrFenced):
			l.term.config.Log.Warn("a worker obeys a newer leader", "worker", l.info.Name)
			l.term.role.Resign()
			return
		case errors.Is(err, runner.ErrReplaced):
			l.term.post(workerReplaced{worker: l.info.Name})
			wait.For(ctx, replacedPause)
		case err != nil:
			if ctx.Err() != nil {
				return
			}
			l.term.post(holdUnanswered{worker: l.info.Name})
			wait.For(ctx, holdRetryPause)
		default:
			l.report(held, sent)
			if held.Last > 0 {
				l.awaitAck(ctx, held.Last)
			}
		}
	}
}

// acquireOpeningSlot waits for its turn to call the worker first.
func (l *link) acquireOpeningSlot(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case l.term.openingSlots <- struct{}{}:
		l.hasOpeningSlot.Store(true)
		// A worker that does not answer costs nothing while it is waited for.
		l.openingTimer = time.AfterFunc(openingSlotTimeout, l.releaseOpeningSlot)
		return true
	}
}

// finishOpening ends the turn after the first answer.
func (l *link) finishOpening() {
	l.openingTimer.Stop()
	l.releaseOpeningSlot()
}

// releaseOpeningSlot gives the turn to another link.
func (l *link) releaseOpeningSlot() {
	if l.hasOpeningSlot.CompareAndSwap(true, false) {
		<-l.term.openingSlots
	}
}

// hold renews the lease and asks what runs.
func (l *link) hold(ctx context.Context) (runner.HoldReply, time.Time, error) {
	hold := runner.Hold{Fence: runner.Fence(l.term.role.Fence)}
	l.mu.Lock()
	if !l.unresponsive {
		// After a hold without an answer the worker may have started anew. It would forget ends of its own by a number of
		// its earlier incarnation.
		hold.Acknowledged = l.acknowledged
	}
	if l.clock != 0 && !l.unresponsive {
		hold.Wait = l.term.holdWait()
		if l.paced.Load() {
			hold.Wait = pacedHoldWait
		}
	}
	l.mu.Unlock()
	sent := time.Now()
	if !l.isUnresponsive() {
		hold.Until = l.extendLease(sent)
	}
	held, err := l.sendHold(ctx, hold)
	if err != nil && hold.Wait > 0 && l.wasHoldProbed() && ctx.Err() == nil {
		hold.Wait = 0
		sent = time.Now()
		held, err = l.sendHold(ctx, hold)
	}
	l.setUnresponsive(err != nil)
	if err == nil {
		l.updateClock(held.Clock, held.Incarnation, time.Now())
	}
	return held, sent, err
}

// sendHold sends a hold; a probe ends one that waits.
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

// wasHoldProbed tells whether a probe has ended the last hold.
func (l *link) wasHoldProbed() bool {
	return l.holdProbed.Load()
}

// Probe makes the link ask at once whether the worker answers.
func (l *link) Probe() {
	select {
	case l.probeSignal <- struct{}{}:
	default:
	}
}

// extendLease returns when a lease that is renewed now ends on the worker's clock, and notes the renewal. It returns 0 extendLease
// the worker's clock is known.
func (l *link) extendLease(now time.Time) runner.WorkerTime {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clock == 0 {
		return 0
	}
	l.renewalSent = now
	return l.clock + runner.WorkerTime(now.Sub(l.clockReadAt)+l.term.config.Settings.LeaseLimit)
}

func (l *link) updateClock(clock runner.WorkerTime, incarnation roster.Incarnation, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation != l.incarnation {
		// A new incarnation numbers its ends anew.
		l.acknowledged = 0
		l.incarnation = incarnation
	}
	l.clock, l.clockReadAt = clock, now
}

// setRegisteredIncarnation takes in the incarnation of a worker's registration. A new one numbers its ends anew.
func (l *link) setRegisteredIncarnation(incarnation roster.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation > l.incarnation && l.incarnation != 0 {
		l.acknowledged = 0
		l.incarnation = incarnation
		l.clock = 0
	}
}

func (l *link) isUnresponsive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unresponsive
}

func (l *link) setUnresponsive(unresponsive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresponsive = unresponsive
}

func (l *link) lastRenewalSent() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.renewalSent
}

func (l *link) report(held runner.HoldReply, sent time.Time) {
	l.term.post(holdAnswered{
		observation: planner.Observation{
			Worker: l.info.Name, Incarnation: held.Incarnation, Sent: sent, Runs: held.Runs, Ended: held.Ended,
		},
		lastEnd: held.Last,
	})
}

// acknowledge lets an incarnation of the worker acknowledge its ends up to a number. Another one has numbers of its own.
func (l *link) acknowledge(incarnation roster.Incarnation, number int64) {
	l.mu.Lock()
	if incarnation == l.incarnation {
		l.acknowledged = max(l.acknowledged, number)
	}
	l.mu.Unlock()
	select {
	case l.ackSignal <- struct{}{}:
	default:
	}
}

// awaitAck waits until the ends up to a number are recorded, as the worker would list them again at once.
func (l *link) awaitAck(ctx context.Context, number int64) {
	timer := time.NewTimer(ackWaitLimit)
	defer timer.Stop()
	for {
		l.mu.Lock()
		recorded := l.acknowledged >= number
		l.mu.Unlock()
		if recorded {
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
