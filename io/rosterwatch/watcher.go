// Package rosterwatch watches the workers' registrations in the store.
package rosterwatch

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/hashicorp/go-hclog"

	"auburnstack/core/roster"
	"auburnstack/io/boottime"
	"auburnstack/io/mirror"
	"auburnstack/io/store"
)

const (
	// watchWait is the maximum time that one watch call waits for changes.
	watchWait = 700 * time.Millisecond
	// watchMargin is the time after watchWait for which a watch call may go unanswered before all registrations are read.
	// Registrations that were read more than 1.8 s before start nothing, so an unanswered watch must not take as long.
	watchMargin = 300 * time.Millisecond
	// callTimeout is the timeout of a call to the store, in addition to the time that a watch waits.
	callTimeout = time.Second
	// batchDelay is the pause after each watch call, so that the next call returns the registration updates (heartbeats)
	// of several workers together.
	batchDelay = 250 * time.Millisecond
	// missingGracePeriod is the time that workers have to register again after their registrations expired during an
	// outage of the store.
	missingGracePeriod = 2200 * time.Millisecond
)

// Codec decodes registrations.
type Codec interface {
	// Prefix returns the prefix of the store keys of all registrations.
	Prefix() string
	// Decode decodes one registration.
	Decode(item store.Item) (roster.Worker, error)
}

// Watcher watches the registrations while its VM leads.
type Watcher struct {
	codec    Codec
	clock    boottime.Clock
	log      hclog.Logger
	onChange func(workers, removed []roster.Worker, age time.Duration)

	items map[string]store.Item
	// missing holds the registrations that an outage of the store may have removed, until their grace period ends. The
	// workers count as registered until then.
	missing map[string]missingRegistration
	// loggedInvalid holds the creation revisions of the registrations that were logged as invalid, so that each invalid
	// registration is logged only once.
	loggedInvalid map[string]store.Revision
	mirror        *mirror.Mirror
}

// missingRegistration is a registration that was missing when all registrations were read again.
type missingRegistration struct {
	item    store.Item
	expires time.Time
}

// New starts to watch the registrations. onChange is called after each read of the store, whether or not anything has
// changed: with all valid registrations, and with the last valid state of those that were removed. A registration that
// is missing when all are read again counts as removed after its grace period; that of a draining worker at once, but
// it stays listed for the grace period, too. The parameter age is the time since the store still had these
// registrations, by a clock that must include the time for which the machine was suspended.
func New(
	s store.Store, codec Codec, clock boottime.Clock, log hclog.Logger,
	onChange func(workers, removed []roster.Worker, age time.Duration),
) *Watcher {
	w := &Watcher{
		codec: codec, clock: clock, log: log, onChange: onChange, items: map[string]store.Item{},
		missing: map[string]missingRegistration{}, loggedInvalid: map[string]store.Revision{},
	}
	options := mirror.Options{
		Prefix: codec.Prefix(), Wait: watchWait, BatchDelay: batchDelay, Margin: watchMargin, Timeout: callTimeout,
		Clock: clock,
	}
	w.mirror = mirror.New(s, options, log, w)
	return w
}

// Close stops the watch, and waits until its goroutine has ended.
func (w *Watcher) Close() {
	w.mirror.Close()
}

// Replaced implements mirror.Listener. It replaces all registrations and passes the valid ones to onChange.
func (w *Watcher) Replaced(items []store.Item, _ store.Revision, seen time.Duration) {
	now := time.Now()
	w.publish(now, w.replace(items, now), seen)
}

// Changed implements mirror.Listener. It applies the events to the registrations and passes all valid ones to onChange.
func (w *Watcher) Changed(events []store.Event, _ store.Revision, seen time.Duration) {
	deleted := map[string]store.Item{}
	for _, event := range events {
		delete(w.missing, event.Key)
		if event.Deleted {
			if last, known := w.items[event.Key]; known {
				deleted[event.Key] = last
			}
			delete(w.items, event.Key)
		} else {
			w.items[event.Key] = event.Item
			delete(deleted, event.Key)
		}
	}
	var removed []roster.Worker
	for _, key := range slices.Sorted(maps.Keys(deleted)) {
		removed = w.decode(removed, deleted[key])
	}
	w.publish(time.Now(), removed, seen)
}

// replace replaces all registrations with the given items. Registrations that are not among the items are added to
// missing. It returns the draining workers among them.
func (w *Watcher) replace(items []store.Item, now time.Time) []roster.Worker {
	before := w.items
	w.items = map[string]store.Item{}
	for _, item := range items {
		w.items[item.Key] = item
		delete(w.missing, item.Key)
	}
	missing := w.missingSince(before, now)
	if len(missing) > 0 {
		w.log.Info("registrations missing after a new start of the watch", "count", len(missing), "read", len(items))
	}
	return slices.DeleteFunc(missing, func(worker roster.Worker) bool { return worker.State != roster.Draining })
}

// missingSince adds the registrations that are no longer among the items to missing, and returns their workers.
func (w *Watcher) missingSince(before map[string]store.Item, now time.Time) []roster.Worker {
	var missing []roster.Worker
	for _, key := range slices.Sorted(maps.Keys(before)) {
		if _, present := w.items[key]; !present {
			w.missing[key] = missingRegistration{item: before[key], expires: now.Add(missingGracePeriod)}
			missing = w.decode(missing, before[key])
		}
	}
	return missing
}

// publish passes all valid registrations to onChange, those in their grace period included, sorted by name, and the
// removed ones. The store had these registrations at the reading seen of the clock.
func (w *Watcher) publish(now time.Time, removed []roster.Worker, seen time.Duration) {
	workers := make([]roster.Worker, 0, len(w.items))
	for _, item := range w.items {
		workers = w.decode(workers, item)
	}
	for _, key := range slices.Sorted(maps.Keys(w.missing)) {
		registration := w.missing[key]
		if now.After(registration.expires) {
			delete(w.missing, key)
			removed = w.expired(removed, registration)
			continue
		}
		workers = w.decode(workers, registration.item)
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].Name < workers[j].Name })
	w.onChange(workers, removed, w.clock()-seen)
}

// expired appends the worker of a registration whose grace period has ended, unless it was reported as removed before.
func (w *Watcher) expired(removed []roster.Worker, registration missingRegistration) []roster.Worker {
	ready := w.decode(nil, registration.item)
	if len(ready) == 0 || ready[0].State == roster.Draining {
		return removed
	}
	return append(removed, ready[0])
}

// decode appends the worker of a registration, unless the registration is invalid.
func (w *Watcher) decode(workers []roster.Worker, item store.Item) []roster.Worker {
	worker, err := w.codec.Decode(item)
	if err != nil {
		if w.loggedInvalid[item.Key] != item.Created {
			w.loggedInvalid[item.Key] = item.Created
			w.log.Warn("invalid worker registration ignored", "key", item.Key, "error", err.Error())
		}
		return workers
	}
	worker.Revision = int64(item.Revision)
	return append(workers, worker)
}
