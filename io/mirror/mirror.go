// Package mirror keeps a listener up to date with the items under a key prefix of the store. It reads all items once
// and then watches for changes. It starts over when a call fails or when the store has compacted the history that the
// watch needs.
package mirror

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"auburnstack/io/boottime"
	"auburnstack/io/store"
	"auburnstack/io/wait"
)

// retryPause is the pause after a failed call.
const retryPause = 150 * time.Millisecond

// Listener receives the items and their changes. All its methods are called by the same goroutine. The parameter seen
// is a reading of Options.Clock at which the store still had the state that the listener now knows. An answer shows the
// state at the time it was asked for; when it arrives, the state may be another.
type Listener interface {
	// Replaced receives all items under the prefix, read at a revision. They replace all items received before.
	Replaced(items []store.Item, at store.Revision, seen time.Duration)
	// Changed receives the changes since the previous call of Replaced or Changed. In the first call these are the
	// changes since Options.From. If events is empty, nothing has changed up to the revision.
	Changed(events []store.Event, at store.Revision, seen time.Duration)
}

// Options configure a Mirror.
type Options struct {
	Prefix string
	// From is the revision up to which the listener already knows all items; 0 if it knows none. If it is not 0, the
	// Mirror skips the initial read.
	From store.Revision
	// Wait is the longest time for which one watch call waits for changes.
	// BatchDelay is the pause after each watch call. It lets several changes arrive with the next call.
	Wait, BatchDelay time.Duration
	// Timeout is the time within which a call to the store must be answered. Wait is added to it for watch calls.
	Timeout time.Duration
	// Transfer is the time that an answer which keeps arriving may take in addition to Timeout, as on a slow link.
	Transfer time.Duration
	// Margin is the longest time after Wait for which a watch call may go unanswered before all items are read again; 0
	// means Timeout. A store can leave watches unanswered for seconds and still answer reads. The time of two reads of
	// all items is added, since the answer to a watch takes as long on a slow link.
	Margin time.Duration
	// Clock dates the answers of the store. If it is nil, it is boottime.Now.
	Clock boottime.Clock
}

// Mirror watches the items under one key prefix of the store.
type Mirror struct {
	store    store.Store
	options  Options
	log      hclog.Logger
	listener Listener
	// lastRead is the time that the last read of all items took. Only the goroutine of run uses it.
	lastRead time.Duration
	// failures is the number of calls that have failed since the last answer, and failedSince the time of the first of
	// them. Only the goroutine of run uses them.
	failures    int
	failedSince time.Duration
	cancel      context.CancelFunc
	done        chan struct{}
}

// New starts a Mirror that reports the items and their changes to the listener.
func New(s store.Store, options Options, log hclog.Logger, listener Listener) *Mirror {
	if options.Clock == nil {
		options.Clock = boottime.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mirror{store: s, options: options, log: log, listener: listener, cancel: cancel, done: make(chan struct{})}
	go m.run(ctx)
	return m
}

// Close stops the Mirror and waits until its goroutine has ended.
func (m *Mirror) Close() {
	m.cancel()
	<-m.done
}

func (m *Mirror) run(ctx context.Context) {
	defer close(m.done)
	for ctx.Err() == nil {
		err := m.follow(ctx)
		if err != nil && ctx.Err() == nil {
			m.recordFailure(err)
			wait.For(ctx, retryPause)
		}
	}
}

// recordFailure counts a failed call, and logs it unless the call before has failed, too.
func (m *Mirror) recordFailure(err error) {
	if m.failures == 0 {
		m.failedSince = m.options.Clock()
		m.log.Warn("watch failed", "prefix", m.options.Prefix, "error", err.Error())
	}
	m.failures++
}

// recordAnswer logs the first answer after failed calls.
func (m *Mirror) recordAnswer() {
	if m.failures > 0 {
		m.log.Info("watch restored", "prefix", m.options.Prefix, "failures", m.failures,
			"after", (m.options.Clock() - m.failedSince).String())
		m.failures = 0
	}
}

// follow reads all items, unless the listener already knows them, and then watches until a call fails or the store no
// longer has the history that the watch needs.
func (m *Mirror) follow(ctx context.Context) error {
	at := m.options.From
	m.options.From = 0
	if at == 0 {
		asked := m.options.Clock()
		page, err := m.read(ctx)
		if err != nil {
			return err
		}
		m.recordAnswer()
		m.listener.Replaced(page.Items, page.Revision, asked)
		at = page.Revision
	}
	for {
		asked := m.options.Clock()
		changes, err := m.watch(ctx, at)
		if store.HistoryLost(err) {
			return nil
		}
		if err != nil {
			return err
		}
		m.recordAnswer()
		seen := m.seenAt(asked, at, &changes)
		at = changes.Revision
		m.listener.Changed(changes.Events, at, seen)
		if m.options.BatchDelay > 0 {
			wait.For(ctx, m.options.BatchDelay)
		}
	}
}

// seenAt returns the reading of the clock at which the store still had the state that an answer to a watch shows. The
// watch was asked for at the reading asked, for the changes after a revision.
func (m *Mirror) seenAt(asked time.Duration, after store.Revision, changes *store.Changes) time.Duration {
	waited := m.options.Clock()-asked >= m.options.Wait
	if len(changes.Events) == 0 && changes.Revision > after && waited {
		// The store has waited for a change that long.
		return asked + m.options.Wait
	}
	return asked
}

func (m *Mirror) read(ctx context.Context) (store.Page, error) {
	ctx, cancel := m.callContext(ctx, m.options.Timeout)
	defer cancel()
	started := time.Now()
	page, err := m.store.Range(ctx, m.options.Prefix)
	m.lastRead = time.Since(started)
	return page, err
}

func (m *Mirror) watch(ctx context.Context, at store.Revision) (store.Changes, error) {
	ctx, cancel := m.callContext(ctx, m.options.Wait+m.margin())
	defer cancel()
	return m.store.Watch(ctx, m.options.Prefix, at, m.options.Wait)
}

// callContext returns the context of a call that must be answered within the given time.
func (m *Mirror) callContext(ctx context.Context, answer time.Duration) (context.Context, context.CancelFunc) {
	if m.options.Transfer > 0 {
		ctx = store.WithStallTimeout(ctx, m.options.Timeout)
	}
	return context.WithTimeout(ctx, answer+m.options.Transfer)
}

// margin returns the time after Options.Wait by which a watch call must be answered.
func (m *Mirror) margin() time.Duration {
	if m.options.Margin == 0 {
		return m.options.Timeout
	}
	return min(m.options.Margin+2*m.lastRead, m.options.Timeout)
}
