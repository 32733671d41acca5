// Package mirror follows the items under a prefix of the store: it reads them all once, then watches, and begins anew
// when a call fails or the store has discarded its history.
package mirror

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"auburnstack/io/store"
	"auburnstack/io/wait"
)

// retryPause is the pause after a call that failed.
const retryPause = 150 * time.Millisecond

// Listener takes in what is read. Its methods are called by one goroutine.
type Listener interface {
	// Replaced takes in all items.
	Replaced(items []store.Item, at store.Revision)
	// Changed takes in what has changed since; no events prove that nothing has.
	Changed(events []store.Event, at store.Revision)
}

// Options tell what is followed and how.
type Options struct {
	Prefix string
	// From is a revision up to which everything is known, so that the first reading is left out; 0 for none.
	From store.Revision
	// Wait is how long one watch waits, BatchDelay the pause after each, so that several changes come with the next.
	Wait, BatchDelay time.Duration
	// Timeout bounds the delivery of a call and its answer.
	Timeout time.Duration
}

// Mirror follows one prefix.
type Mirror struct {
	store    store.Store
	options  Options
	log      hclog.Logger
	listener Listener
	cancel   context.CancelFunc
	done     chan struct{}
}

// New starts to follow a prefix.
func New(s store.Store, options Options, log hclog.Logger, listener Listener) *Mirror {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mirror{store: s, options: options, log: log, listener: listener, cancel: cancel, done: make(chan struct{})}
	go m.run(ctx)
	return m
}

// Close stops following and waits.
func (m *Mirror) Close() {
	m.cancel()
	<-m.done
}

func (m *Mirror) run(ctx context.Context) {
	defer close(m.done)
	for ctx.Err() == nil {
		err := m.follow(ctx)
		if err != nil && ctx.Err() == nil {
			m.log.Debug("prefix not followed", "prefix", m.options.Prefix, "error", err.Error())
			wait.For(ctx, retryPause)
		}
	}
}

// follow reads everything once and then watches until a call fails or the history is gone.
func (m *Mirror) follow(ctx context.Context) error {
	at := m.options.From
	m.options.From = 0
	if at == 0 {
		page, err := m.read(ctx)
		if err != nil {
			return err
		}
		m.listener.Replaced(page.Items, page.Revision)
		at = page.Revision
	}
	for {
		changes, err := m.watch(ctx, at)
		if errors.Is(err, store.ErrCompacted) {
			return nil
		}
		if err != nil {
			return err
		}
		at = changes.Revision
		m.listener.Changed(changes.Events, at)
		if m.options.BatchDelay > 0 {
			wait.For(ctx, m.options.BatchDelay)
		}
	}
}

func (m *Mirror) read(ctx context.Context) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Timeout)
	defer cancel()
	return m.store.Range(ctx, m.options.Prefix)
}

func (m *Mirror) watch(ctx context.Context, at store.Revision) (store.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Wait+m.options.Timeout)
	defer cancel()
	return m.store.Watch(ctx, m.options.Prefix, at, m.options.Wait)
}
