package coordinator

import (
	"sync"
	"time"

	"auburnstack/core/roster"
	"auburnstack/io/runner"
)

// leaseState is what a link knows of its worker's lease, clock and acknowledged runs. It is safe for concurrent use.
type leaseState struct {
	mu sync.Mutex
	// acknowledged is the sequence number of the last ended run whose effects on its job's progress are recorded.
	acknowledged int64
	// renewalSent is the time at which the link last sent a message that renews the lease.
	renewalSent time.Time
	// unresponsive is set from a failed hold until a later hold succeeds. The holds in between do not renew the lease:
	// as each of these holds might still arrive late, the leader could otherwise never tell that the lease has ended.
	unresponsive bool
	// clock is the reading of the worker's clock at the time in the field clockReadAt; 0 while the worker's clock is
	// unknown.
	clock       runner.WorkerTime
	clockReadAt time.Time
	// zeroAfter is a time at which the worker's clock had not passed zero yet: the latest one that the replies show.
	zeroAfter time.Time
	// incarnation is the worker's incarnation to which clock, zeroAfter and acknowledged belong.
	incarnation roster.Incarnation
}

// extendLease returns the end, on the worker's clock, of a lease that is renewed now for the time limit, and records
// the time of the renewal. It returns 0 and records nothing while the worker's clock is unknown.
func (l *leaseState) extendLease(now time.Time, limit time.Duration) runner.WorkerTime {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clock == 0 {
		return 0
	}
	l.renewalSent = now
	return l.clock + runner.WorkerTime(now.Sub(l.clockReadAt)+limit)
}

// updateClock records a reading of the worker's clock from a reply to a message that was sent at the given time.
func (l *leaseState) updateClock(clock runner.WorkerTime, incarnation roster.Incarnation, sent, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation != l.incarnation {
		// A new incarnation restarts the numbering of its ended runs.
		l.acknowledged = 0
		l.incarnation = incarnation
		l.zeroAfter = time.Time{}
	}
	l.clock, l.clockReadAt = clock, now
	l.zeroAfter = later(l.zeroAfter, sent.Add(-time.Duration(clock)))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// maxAge returns an upper bound of the time since the worker's clock had the given reading, and false while the clock
// of that incarnation is unknown.
func (l *leaseState) maxAge(now time.Time, clock time.Duration, incarnation roster.Incarnation) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.zeroAfter.Add(clock)), l.clock != 0 && l.incarnation == incarnation
}

// workerClock returns the reading of the worker's clock now, and false while the clock of that incarnation is unknown.
func (l *leaseState) workerClock(now time.Time, incarnation roster.Incarnation) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.clock) + now.Sub(l.clockReadAt), l.clock != 0 && l.incarnation == incarnation
}

// setRegisteredIncarnation records the incarnation in the worker's registration. If this incarnation is newer than the
// one that the link has recorded, the numbering of ended runs restarts, and the worker's clock is unknown until its
// next reply.
func (l *leaseState) setRegisteredIncarnation(incarnation roster.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation > l.incarnation && l.incarnation != 0 {
		l.acknowledged = 0
		l.incarnation = incarnation
		l.clock = 0
		l.zeroAfter = time.Time{}
	}
}

// mayRenewLease reports whether an order may renew the worker's lease. A start must, or the worker rejects it. The
// lease must not be renewed while the worker is unresponsive, and cannot be while the worker's clock is unknown.
func (l *leaseState) mayRenewLease() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.unresponsive && l.clock != 0
}

func (l *leaseState) isUnresponsive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unresponsive
}

func (l *leaseState) setUnresponsive(unresponsive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresponsive = unresponsive
}

func (l *leaseState) lastRenewalSent() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.renewalSent
}

// acknowledgeable returns the sequence number up to which the next hold acknowledges ended runs. After an unanswered
// hold it is 0, because the worker may have restarted: the sequence number of a run of the earlier incarnation would
// make the new one discard ended runs that are not recorded yet.
func (l *leaseState) acknowledgeable() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unresponsive {
		return 0
	}
	return l.acknowledged
}

// setAcknowledged records that the effects of the ended runs up to the given sequence number are recorded. It ignores a
// number that belongs to another incarnation, because each incarnation has its own numbering.
func (l *leaseState) setAcknowledged(incarnation roster.Incarnation, number int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation == l.incarnation {
		l.acknowledged = max(l.acknowledged, number)
	}
}

// hasAcknowledged reports whether the effects of the ended runs up to the given sequence number are recorded.
func (l *leaseState) hasAcknowledged(number int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acknowledged >= number
}

// mayDelayReply reports whether a hold may ask the worker to delay its reply.
func (l *leaseState) mayDelayReply() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock != 0 && !l.unresponsive
}
