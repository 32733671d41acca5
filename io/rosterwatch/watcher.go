// Package rosterwatch follows the workers' registrations in the store.
package rosterwatch

import (
	"context"
	"sort"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"auburnstack/core/roster"
	"auburnstack/io/store"
	"auburnstack/io/wait"
)

const (
	// watchWait is how long one watch waits.
	watchWait = time.Second
	// callTimeout bounds the delivery of a call and its answer.
	callTimeout = time.Second
	// gatherPause lets several heartbeats come with one watch.
	gatherPause = 250 * time.Millisecond
	// retryPause is the pause after a call that failed.
	retryPause = 150 * time.Millisecond
	// returnTime is how long registrations that lapsed during an outage may take to come back.
	returnTime = 2200 * time.Millisecond
)

// Codec reads registrations.
type Codec interface {
	// Prefix is that of all registrations.
	Prefix() string
	// Decode reads one registration.
	Decode(item store.Item) (roster.Worker, error)
}

// Watcher follows the registrations while its VM leads.
type Watcher struct {
	store   store.Store
	codec   Codec
	log     hclog.Logger
	changed func(workers []roster.Worker)

	items map[string]store.Item
	// missing holds registrations that an outage may have removed, until they have had time to come back.
	missing map[string]absence
	// reported tells which registrations were logged as unusable, by the revision of the entry's creation.
	reported map[string]store.Revision
	cancel   context.CancelFunc
	done     chan struct{}
}

// absence is a registration that was not there after an outage.
type absence struct {
	item  store.Item
	until time.Time
}

// New starts to follow; changed is called with all usable registrations after each change.
func New(s store.Store, codec Codec, log hclog.Logger, changed func(workers []roster.Worker)) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{
		store: s, codec: codec, log: log, changed: changed, items: map[string]store.Item{},
		missing: map[string]absence{}, reported: map[string]store.Revision{}, cancel: cancel, done: make(chan struct{}),
	}
	go w.run(ctx)
	return w
}

// Close stops following and waits.
func (w *Watcher) Close() {
	w.cancel()
	<-w.done
}

func (w *Watcher) run(ctx context.Context) {
	defer close(w.done)
	for ctx.Err() == nil {
		if err := w.follow(ctx); err != nil && ctx.Err() == nil {
			w.log.Debug("registrations not followed", "error", err.Error())
			wait.For(ctx, retryPause)
		}
	}
}

func (w *Watcher) follow(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := w.store.Range(call, w.codec.Prefix())
	if err != nil {
		return err
	}
	w.replace(page.Items, time.Now())
	w.publish(time.Now())
	at := page.At
	for {
		changes, err := w.watch(ctx, at)
		if errors.Is(err, store.ErrCompacted) {
			return nil
		}
		if err != nil {
			return err
		}
		at = changes.At
		for _, event := range changes.Events {
			delete(w.missing, event.Key)
			if event.Deleted {
				delete(w.items, event.Key)
			} else {
				w.items[event.Key] = event.Item
			}
		}
		w.publish(time.Now())
		wait.For(ctx, gatherPause)
	}
}

func (w *Watcher) watch(ctx context.Context, at store.Revision) (store.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	return w.store.Watch(ctx, w.codec.Prefix(), at, watchWait)
}

// replace takes over a complete reading; what it lacks is kept for a while.
func (w *Watcher) replace(items []store.Item, now time.Time) {
	before := w.items
	w.items = map[string]store.Item{}
	for _, item := range items {
		w.items[item.Key] = item
		delete(w.missing, item.Key)
	}
	for key, item := range before {
		if _, present := w.items[key]; !present {
			w.missing[key] = absence{item: item, until: now.Add(returnTime)}
		}
	}
}

func (w *Watcher) publish(now time.Time) {
	workers := make([]roster.Worker, 0, len(w.items))
	for _, item := range w.items {
		workers = w.decode(workers, item)
	}
	for key, a := range w.missing {
		if now.After(a.until) {
			delete(w.missing, key)
			continue
		}
		workers = w.decode(workers, a.item)
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].Name < workers[j].Name })
	w.changed(workers)
}

func (w *Watcher) decode(workers []roster.Worker, item store.Item) []roster.Worker {
	worker, err := w.codec.Decode(item)
	if err != nil {
		if w.reported[item.Key] != item.Created {
			w.reported[item.Key] = item.Created
			w.log.Warn("registration ignored", "key", item.Key, "error", err.Error())
		}
		return workers
	}
	return append(workers, worker)
}
