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
	// holdWait is how long a worker may hold back its answer until a run ends.
	holdWait = time.Second
	// openingTime bounds the turn of a link to call its worker first.
	openingTime = 60 * time.Millisecond
	// largeSite is the number of workers from which they may wait longer, for largeWait, as each answer costs the leader
	// processor time.
	largeSite = 600
	largeWait = 2 * time.Second
	// pacedWait takes its place on workers where tasks that fill work beside tasks that serve.
	pacedWait = 300 * time.Millisecond
	// holdTimeout bounds the delivery of a hold and its answer.
	holdTimeout = 450 * time.Millisecond
	// holdPause is the pause after a hold without an answer.
	holdPause = 150 * time.Millisecond
	// gonePause is the pause before a worker is asked again after another one has answered in its place.
	gonePause = time.Second
	// ackPause is the longest time for which the next hold waits until ends are recorded.
	ackPause = time.Second
)

// link keeps the leases of one worker and reports what it says.
type link struct {
	term   *term
	info   roster.Worker
	worker runner.Worker
	cancel context.CancelFunc
	done   chan struct{}
	// acked wakes the link after ends were recorded.
	acked chan struct{}
	// probes makes the link ask at once, without waiting for an end.
	probes chan struct{}

	// paced is set while the worker has to be watched closely.
	paced atomic.Bool

	// opening is set while the link has its turn to call the worker first.
	opening atomic.Bool
	// turn ends that; only the link's goroutine uses it.
	turn *time.Timer

	// probed is set when a probe has ended the last hold.
	probed atomic.Bool

	mu sync.Mutex
	// seen is the number of the last end that was recorded.
	seen int64
	// sent is when an order that renews the lease was sent last.
	sent time.Time
	// silent is set after a hold without an answer. The lease is not renewed then, as it would never be known to have
	// ended while such holds may still arrive.
	silent bool
	// clock is the worker's clock at a time; 0 until it is known.
	clock   runner.WorkerTime
	clockAt time.Time
	// incarnation is the one that clock belongs to.
	incarnation roster.Incarnation
}

// holdWait is how long workers may hold back their answers.
func (t *term) holdWait() time.Duration {
	if t.workers.Load() >= largeSite {
		return largeWait
	}
	return holdWait
}

func newLink(t *term, info roster.Worker) *link {
	ctx, cancel := context.WithCancel(t.role.Context())
	l := &link{
		term: t, info: info, worker: t.config.Dialer.Worker(info), cancel: cancel,
		done: make(chan struct{}), acked: make(chan struct{}, 1), probes: make(chan struct{}, 1),
	}
	go l.run(ctx)
	return l
}

// Close ends the link and waits.
func (l *link) Close() {
	l.cancel()
	<-l.done
}

func (l *link) run(ctx context.Context) {
	defer close(l.done)
	if !l.open(ctx) {
		return
	}
	for ctx.Err() == nil && l.term.role.Valid() {
		held, sent, err := l.hold(ctx)
		l.opened()
		switch {
		case errors.Is(err, runner.ErrFenced):
			l.term.config.Log.Warn("a worker obeys a newer leader", "worker", l.info.Name)
			l.term.role.Resign()
			return
		case errors.Is(err, runner.ErrReplaced):
			l.term.post(workerGone{worker: l.info.Name})
			wait.For(ctx, gonePause)
		case err != nil:
			if ctx.Err() != nil {
				return
			}
			l.term.post(workerSilent{worker: l.info.Name})
			wait.For(ctx, holdPause)
		default:
			l.report(held, sent)
			if held.Last > 0 {
				l.awaitAck(ctx, held.Last)
			}
		}
	}
}

// open waits for its turn to call the worker first.
func (l *link) open(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case l.term.opening <- struct{}{}:
		l.opening.Store(true)
		// A worker that does not answer costs nothing while it is waited for.
		l.turn = time.AfterFunc(openingTime, l.endTurn)
		return true
	}
}

// opened ends the turn after the first answer.
func (l *link) opened() {
	l.turn.Stop()
	l.endTurn()
}

// endTurn gives the turn to another link.
func (l *link) endTurn() {
	if l.opening.CompareAndSwap(true, false) {
		<-l.term.opening
	}
}

// hold renews the lease and asks what runs.
func (l *link) hold(ctx context.Context) (runner.HoldReply, time.Time, error) {
	hold := runner.Hold{Fence: runner.Fence(l.term.role.Fence)}
	l.mu.Lock()
	if !l.silent {
		// After a hold without an answer the worker may have started anew. It would forget ends of its own by a number of
		// its earlier incarnation.
		hold.Acknowledged = l.seen
	}
	if l.clock != 0 && !l.silent {
		hold.Wait = l.term.holdWait()
		if l.paced.Load() {
			hold.Wait = pacedWait
		}
	}
	l.mu.Unlock()
	sent := time.Now()
	if !l.isSilent() {
		hold.Until = l.until(sent)
	}
	held, err := l.ask(ctx, hold)
	if err != nil && hold.Wait > 0 && l.wasProbed() && ctx.Err() == nil {
		hold.Wait = 0
		sent = time.Now()
		held, err = l.ask(ctx, hold)
	}
	l.setSilent(err != nil)
	if err == nil {
		l.readClock(held.Clock, held.Incarnation, time.Now())
	}
	return held, sent, err
}

// ask sends a hold; a probe ends one that waits.
func (l *link) ask(ctx context.Context, hold runner.Hold) (runner.HoldReply, error) {
	call, cancel := context.WithTimeout(ctx, hold.Wait+holdTimeout)
	defer cancel()
	if hold.Wait == 0 {
		return l.worker.Hold(call, hold)
	}
	l.probed.Store(false)
	select {
	case <-l.probes:
	default:
	}
	finished := make(chan struct{})
	defer close(finished)
	go func() {
		select {
		case <-finished:
		case <-l.probes:
			l.probed.Store(true)
			cancel()
		}
	}()
	return l.worker.Hold(call, hold)
}

// wasProbed tells whether a probe has ended the last hold.
func (l *link) wasProbed() bool {
	return l.probed.Load()
}

// Probe makes the link ask at once whether the worker answers.
func (l *link) Probe() {
	select {
	case l.probes <- struct{}{}:
	default:
	}
}

// until returns when a lease that is renewed now ends on the worker's clock, and notes the renewal. It returns 0 until
// the worker's clock is known.
func (l *link) until(now time.Time) runner.WorkerTime {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clock == 0 {
		return 0
	}
	l.sent = now
	return l.clock + runner.WorkerTime(now.Sub(l.clockAt)+l.term.config.Settings.LeaseLimit)
}

func (l *link) readClock(clock runner.WorkerTime, incarnation roster.Incarnation, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation != l.incarnation {
		// A new incarnation numbers its ends anew.
		l.seen = 0
		l.incarnation = incarnation
	}
	l.clock, l.clockAt = clock, now
}

// registered takes in the incarnation of a worker's registration. A new one numbers its ends anew.
func (l *link) registered(incarnation roster.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation > l.incarnation && l.incarnation != 0 {
		l.seen = 0
		l.incarnation = incarnation
		l.clock = 0
	}
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

func (l *link) setSilent(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
}

func (l *link) lastSent() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

func (l *link) report(held runner.HoldReply, sent time.Time) {
	l.term.post(workerHeld{
		observation: planner.Observation{
			Worker: l.info.Name, Incarnation: held.Incarnation, Sent: sent, Runs: held.Runs, Ended: held.Ended,
		},
		last: held.Last,
	})
}

// forget lets an incarnation of the worker forget its ends up to a number. Another one has numbers of its own.
func (l *link) forget(incarnation roster.Incarnation, number int64) {
	l.mu.Lock()
	if incarnation == l.incarnation {
		l.seen = max(l.seen, number)
	}
	l.mu.Unlock()
	select {
	case l.acked <- struct{}{}:
	default:
	}
}

// awaitAck waits until the ends up to a number are recorded, as the worker would list them again at once.
func (l *link) awaitAck(ctx context.Context, number int64) {
	timer := time.NewTimer(ackPause)
	defer timer.Stop()
	for {
		l.mu.Lock()
		recorded := l.seen >= number
		l.mu.Unlock()
		if recorded {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-l.acked:
		}
	}
}
