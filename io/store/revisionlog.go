package store

import (
	"context"
	"math"
	"sync"
	"time"

	"auburnstack/io/boottime"
)

const (
	// maxSamples is the number of samples that a RevisionLog keeps. With sampleInterval they reach back 12.6 s at least.
	maxSamples = 128
	// sampleInterval is the shortest time between the newest sample but one and the one before it.
	sampleInterval = 100 * time.Millisecond
)

// RevisionLog wraps a Store and dates the store's recent revisions by the answers to the calls that pass through it. It
// is safe for concurrent use.
type RevisionLog struct {
	Store
	clock boottime.Clock

	mu sync.Mutex
	// samples is sorted by the field latest. It has at most maxSamples elements. The last one is that of the last answer.
	samples []sample
}

// sample says that the store had a revision at some time between earliest and latest, both inclusive.
type sample struct {
	revision         Revision
	earliest, latest time.Duration
}

// NewRevisionLog returns a RevisionLog without samples. The clock must include the time for which the machine was
// suspended.
func NewRevisionLog(s Store, clock boottime.Clock) *RevisionLog {
	return &RevisionLog{Store: s, clock: clock}
}

// Range implements Store.
func (l *RevisionLog) Range(ctx context.Context, prefix string) (Page, error) {
	sent := l.clock()
	page, err := l.Store.Range(ctx, prefix)
	if err == nil {
		l.record(page.Revision, sent)
	}
	return page, err
}

// Watch implements Store.
func (l *RevisionLog) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error) {
	sent := l.clock()
	changes, err := l.Store.Watch(ctx, prefix, after, wait)
	// With events, or if it has not changed at all, the revision may be that of an earlier time.
	if err == nil && len(changes.Events) == 0 && changes.Revision > after {
		if l.clock() >= sent+wait {
			// The store waited for an event until then.
			sent += wait
		}
		l.record(changes.Revision, sent)
	}
	return changes, err
}

// Commit implements Store.
func (l *RevisionLog) Commit(ctx context.Context, transaction Transaction) (Revision, error) {
	sent := l.clock()
	revision, err := l.Store.Commit(ctx, transaction)
	if err == nil {
		l.record(revision, sent)
	}
	return revision, err
}

// record adds a sample of a revision that the store had at some time between earliest and now.
func (l *RevisionLog) record(revision Revision, earliest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.samples {
		if l.samples[i].revision > revision && l.samples[i].latest < earliest {
			// The answer is older than the call.
			return
		}
	}
	count := len(l.samples)
	switch {
	case count > 1 && l.samples[count-1].latest < l.samples[count-2].latest+sampleInterval:
		l.samples = l.samples[:count-1]
	case count == maxSamples:
		l.samples = append(l.samples[:0], l.samples[1:]...)
	}
	l.samples = append(l.samples, sample{revision: revision, earliest: earliest, latest: l.clock()})
}

// At returns a revision that the store had the given time ago or earlier: the newest one in the log or, if the log does
// not reach back so far, the oldest one. It returns false if the log is empty.
func (l *RevisionLog) At(age time.Duration) (Revision, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.samples) == 0 {
		return 0, false
	}
	until := l.clock() - age
	revision := l.samples[0].revision
	for _, s := range l.samples {
		if s.latest <= until {
			revision = s.revision
		}
	}
	return revision, true
}

// Age returns bounds of the time since the change with the given revision. The upper one is math.MaxInt64 if no answer
// in the log is older than the change.
func (l *RevisionLog) Age(revision Revision) (atLeast, atMost time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	atMost = math.MaxInt64
	for _, s := range l.samples {
		if s.revision < revision {
			atMost = min(atMost, now-s.earliest)
		} else {
			atLeast = max(atLeast, now-s.latest)
		}
	}
	return atLeast, atMost
}
