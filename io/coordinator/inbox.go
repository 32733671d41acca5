package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"auburnstack/io/store"
	"auburnstack/io/wait"
)

// inboxWait is how long one watch of the inbox waits.
const inboxWait = 2 * time.Second

// followInbox reports what callers hand in.
func (t *term) followInbox(ctx context.Context, at store.Revision) {
	for ctx.Err() == nil {
		next, err := t.watchInbox(ctx, at)
		at = next
		if errors.Is(err, store.ErrCompacted) {
			at, err = t.rereadInbox(ctx, at)
		}
		if err != nil && ctx.Err() == nil {
			t.config.Log.Debug("inbox not followed", "error", err.Error())
			wait.For(ctx, retryPause)
		}
	}
}

// watchInbox follows changes until a call fails, and returns the revision to continue from.
func (t *term) watchInbox(ctx context.Context, at store.Revision) (store.Revision, error) {
	for {
		changes, err := t.waitInbox(ctx, at)
		if err != nil {
			return at, err
		}
		at = changes.At
		var items []store.Item
		for _, e := range changes.Events {
			if !e.Deleted {
				items = append(items, e.Item)
			}
		}
		t.reportInbox(items)
	}
}

func (t *term) waitInbox(ctx context.Context, at store.Revision) (store.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, inboxWait+storeTimeout)
	defer cancel()
	return t.config.Store.Watch(ctx, InboxPrefix, at, inboxWait)
}

func (t *term) rereadInbox(ctx context.Context, at store.Revision) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := t.config.Store.Range(ctx, InboxPrefix)
	if err != nil {
		return at, err
	}
	t.reportInbox(page.Items)
	return page.At, nil
}

func (t *term) reportInbox(items []store.Item) {
	if len(items) == 0 {
		return
	}
	accepted, err := decodeInbox(items)
	if err != nil {
		t.config.Log.Error("a record of the inbox was skipped", "error", err.Error())
	}
	t.post(accepted)
}
