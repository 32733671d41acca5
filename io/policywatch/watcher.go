// Package policywatch follows the operators' configuration in the store, and through other VMs when the store does not
// answer. A configuration that was adopted is never replaced by an older one.
package policywatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"auburnstack/core/policy"
	"auburnstack/io/mirror"
	"auburnstack/io/store"
)

const (
	// watchWait is how long one watch waits; each answer proves that the configuration is current.
	watchWait = 800 * time.Millisecond
	// callTimeout bounds the delivery of a call and its answer.
	callTimeout = 500 * time.Millisecond
)

// Codec reads the configuration.
type Codec interface {
	// Prefix is that of all keys that the operators write.
	Prefix() string
	// Key is that of the configuration itself.
	Key() string
	// Decode reads the configuration from all items under the prefix.
	Decode(items map[string]store.Item) (*policy.Policy, error)
}

// Snapshot is a configuration with its place in the store's history.
type Snapshot struct {
	// Policy is nil until a configuration is known.
	Policy *policy.Policy
	// Revision is that of the key that holds the configuration.
	Revision store.Revision
	// ChangedAt is the revision of the last change of any key of the operators.
	ChangedAt store.Revision
	// ConfirmedAt is when the snapshot was last known to be the newest.
	ConfirmedAt time.Time
}

// Newer tells whether s replaces other.
func (s *Snapshot) Newer(other *Snapshot) bool {
	if s.Revision != other.Revision {
		return s.Revision > other.Revision
	}
	return s.ChangedAt > other.ChangedAt
}

// Watcher follows the configuration.
type Watcher struct {
	codec Codec
	log   hclog.Logger
	// adopted is called after a configuration was adopted; fromStore tells where it came from.
	adopted func(snapshot *Snapshot, fromStore bool)
	current atomic.Pointer[Snapshot]

	// mu orders adoptions.
	mu sync.Mutex
	// items holds the operators' keys. Only the mirror's goroutine uses it.
	items  map[string]store.Item
	mirror *mirror.Mirror
}

// New starts to follow the configuration.
func New(s store.Store, codec Codec, log hclog.Logger, adopted func(snapshot *Snapshot, fromStore bool)) *Watcher {
	w := &Watcher{codec: codec, log: log, adopted: adopted}
	w.current.Store(&Snapshot{})
	options := mirror.Options{Prefix: codec.Prefix(), Wait: watchWait, Timeout: callTimeout}
	w.mirror = mirror.New(s, options, log, w)
	return w
}

// Close stops following and waits.
func (w *Watcher) Close() {
	w.mirror.Close()
}

// Key is that of the configuration.
func (w *Watcher) Key() string {
	return w.codec.Key()
}

// Current returns the newest snapshot that is known.
func (w *Watcher) Current() *Snapshot {
	return w.current.Load()
}

// Replaced implements mirror.Listener.
func (w *Watcher) Replaced(items []store.Item, at store.Revision) {
	w.items = map[string]store.Item{}
	for _, item := range items {
		w.items[item.Key] = item
	}
	w.publish(at)
}

// Changed implements mirror.Listener.
func (w *Watcher) Changed(events []store.Event, at store.Revision) {
	if len(events) == 0 {
		w.prove()
		return
	}
	for _, event := range events {
		if event.Deleted {
			delete(w.items, event.Key)
		} else {
			w.items[event.Key] = event.Item
		}
	}
	w.publish(at)
}

// publish adopts what the mirrored items say as of a revision.
func (w *Watcher) publish(at store.Revision) {
	item, found := w.items[w.codec.Key()]
	if !found {
		return
	}
	decoded, err := w.codec.Decode(w.items)
	if err != nil {
		w.log.Error("configuration not adopted", "revision", item.Revision, "error", err.Error())
		return
	}
	w.adopt(&Snapshot{Policy: decoded, Revision: item.Revision, ChangedAt: at, ConfirmedAt: time.Now()}, true)
}

// AdoptItem adopts a configuration that a call outside the watch has shown. What the other keys say is kept.
func (w *Watcher) AdoptItem(item store.Item) {
	current := w.current.Load()
	if item.Key != w.codec.Key() || item.Revision <= current.Revision {
		return
	}
	decoded, err := w.codec.Decode(map[string]store.Item{item.Key: item})
	if err != nil {
		w.log.Error("configuration not adopted", "revision", item.Revision, "error", err.Error())
		return
	}
	if current.Policy != nil {
		decoded.Out, decoded.Waves = current.Policy.Out, current.Policy.Waves
	}
	w.adopt(&Snapshot{
		Policy: decoded, Revision: item.Revision, ChangedAt: current.ChangedAt, ConfirmedAt: time.Now(),
	}, true)
}

// Offer adopts a snapshot of another VM if it is newer.
func (w *Watcher) Offer(snapshot *Snapshot) {
	w.adopt(snapshot, false)
}

func (w *Watcher) adopt(next *Snapshot, fromStore bool) {
	w.mu.Lock()
	current := w.current.Load()
	newer := next.Policy != nil && next.Newer(current)
	if newer {
		w.current.Store(next)
	}
	w.mu.Unlock()
	if !newer {
		w.ConfirmCurrent(next)
		return
	}
	w.adopted(next, fromStore)
}

// ConfirmCurrent notes that a snapshot was the newest at a time, if it is the one in force.
func (w *Watcher) ConfirmCurrent(other *Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.current.Load()
	if other.Newer(current) || current.Newer(other) || !other.ConfirmedAt.After(current.ConfirmedAt) {
		return
	}
	proven := *current
	proven.ConfirmedAt = other.ConfirmedAt
	w.current.Store(&proven)
}

// prove notes that the mirrored items are the newest now.
func (w *Watcher) prove() {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.current.Load()
	item, found := w.items[w.codec.Key()]
	if !found || item.Revision != current.Revision {
		return
	}
	proven := *current
	proven.ConfirmedAt = time.Now()
	w.current.Store(&proven)
}
