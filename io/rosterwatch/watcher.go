// Package rosterwatch follows the workers' registrations in the store.
package rosterwatch

import (
	"sort"
	"time"

	"github.com/hashicorp/go-hclog"

	"auburnstack/core/roster"
	"auburnstack/io/mirror"
	"auburnstack/io/store"
)

const (
	// watchWait is how long one watch waits.
	watchWait = time.Second
	// callTimeout bounds the delivery of a call and its answer.
	callTimeout = time.Second
	// gatherPause lets several heartbeats come with one watch.
	gatherPause = 250 * time.Millisecond
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
	codec   Codec
	log     hclog.Logger
	changed func(workers []roster.Worker)

	items map[string]store.Item
	// missing holds registrations that an outage may have removed, until they have had time to come back.
	missing map[string]absence
	// reported tells which registrations were logged as unusable, by the revision of the entry's creation.
	reported map[string]store.Revision
	mirror   *mirror.Mirror
}

// absence is a registration that was not there after an outage.
type absence struct {
	item  store.Item
	until time.Time
}

// New starts to follow; changed is called with all usable registrations after each change.
func New(s store.Store, codec Codec, log hclog.Logger, changed func(workers []roster.Worker)) *Watcher {
	w := &Watcher{
		codec: codec, log: log, changed: changed, items: map[string]store.Item{}, missing: map[string]absence{},
		reported: map[string]store.Revision{},
	}
	options := mirror.Options{Prefix: codec.Prefix(), Wait: watchWait, BatchDelay: gatherPause, Timeout: callTimeout}
	w.mirror = mirror.New(s, options, log, w)
	return w
}

// Close stops following and waits.
func (w *Watcher) Close() {
	w.mirror.Close()
}

// Replaced implements mirror.Listener.
func (w *Watcher) Replaced(items []store.Item, _ store.Revision) {
	now := time.Now()
	w.replace(items, now)
	w.publish(now)
}

// Changed implements mirror.Listener.
func (w *Watcher) Changed(events []store.Event, _ store.Revision) {
	for _, event := range events {
		delete(w.missing, event.Key)
		if event.Deleted {
			delete(w.items, event.Key)
		} else {
			w.items[event.Key] = event.Item
		}
	}
	w.publish(time.Now())
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
