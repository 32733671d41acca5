// Package policywatch watches the operators' configuration in the store, and takes the configuration from other VMs
// when the store does not answer. It never replaces an adopted configuration with an older one. When the newest
// configuration is invalid, the earlier policy stays in force under the revision of the invalid one. A VM that may have
// missed a valid configuration in between gives its snapshot a ChangedAt below the revision of the invalid one, so that
// the snapshots of VMs that have missed none are newer.
package policywatch

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"auburnstack/core/policy"
	"auburnstack/io/boottime"
	"auburnstack/io/mirror"
	"auburnstack/io/store"
)

const (
	// watchWait is the maximum time that one watch call waits for changes. Each reply shows which configuration is the
	// newest when the store sends the reply.
	watchWait = 800 * time.Millisecond
	// callTimeout is the timeout of a call to the store, in addition to the time that a watch waits.
	callTimeout = 500 * time.Millisecond
	// transferTime is the time that the store's answer may take after it has begun. A configuration of a megabyte takes a
	// second on an idle link of 10 Mbit/s.
	transferTime = 4 * time.Second
	// loggedGap is the time without a proof that the configuration is the newest from which on the next one is logged.
	loggedGap = 2 * time.Second
)

// Never is the value of Snapshot.CurrentAt as long as nothing proves that the snapshot is the newest.
const Never time.Duration = math.MinInt64 / 2

// maxAgeShare is the share of the time within which a change must be in force that MaxAge returns. The rest is left for
// clocks that run slower.
const maxAgeShare = 0.95

// MaxAge returns the largest age of a proof that a configuration is the newest with which a VM may answer by it, if a
// change must be in force within the time applyLimit after it was acknowledged.
func MaxAge(applyLimit time.Duration) time.Duration {
	return time.Duration(float64(applyLimit) * maxAgeShare)
}

// sameContent reports whether two snapshots hold the same configuration, evacuations and waves.
func (s *Snapshot) sameContent(other *Snapshot) bool {
	return other.Policy != nil && s.Revision == other.Revision && !s.Uncertain() && !other.Uncertain() &&
		s.Policy.SameOperations(other.Policy)
}

// Source tells from where a VM has a configuration.
type Source string

// The sources.
const (
	// Read is a read of all operators' keys in the store.
	Read Source = "read"
	// Watch is a watch of these keys.
	Watch Source = "watch"
	// Conflict is the store's answer to a transaction that required an older configuration.
	Conflict Source = "conflict"
	// Peer is another VM.
	Peer Source = "peer"
)

// Codec decodes the configuration.
type Codec interface {
	// Prefix returns the prefix of all store keys that the operators write.
	Prefix() string
	// Key returns the store key of the configuration itself.
	Key() string
	// Decode decodes the configuration from all items under the prefix.
	Decode(items map[string]store.Item) (*policy.Policy, error)
}

// Version identifies a configuration by its position in the store's history.
type Version struct {
	// Revision is the revision of the key that holds the configuration.
	Revision store.Revision
	// ChangedAt is the store revision up to which the configuration contains all changes of the keys under the operators'
	// prefix. It is the revision of the last of them, the same on all VMs, unless all keys were read again since.
	ChangedAt store.Revision
}

// Newer reports whether v has a higher Revision than other or, if the two are equal, a higher ChangedAt.
func (v Version) Newer(other Version) bool {
	if v.Revision != other.Revision {
		return v.Revision > other.Revision
	}
	return v.ChangedAt > other.ChangedAt
}

// Uncertain reports whether the policy of a snapshot with this version may be older than its revision.
func (v Version) Uncertain() bool {
	return v.ChangedAt < v.Revision
}

// Snapshot is a configuration, which is the operators' policy, with its position in the store's history.
type Snapshot struct {
	// Policy is nil until a configuration is known.
	Policy *policy.Policy
	Version
	// CurrentAt is the latest reading of the VM's clock at which the snapshot is proven to have been the newest in the
	// store, or Never. It is when the proof was asked for, not when it arrived.
	CurrentAt time.Duration
	// OperationsAt is the same for Out and Waves alone, which the operators write under other keys than the configuration.
	OperationsAt time.Duration
}

// Watcher holds the newest known configuration and keeps it up to date.
type Watcher struct {
	codec Codec
	clock boottime.Clock
	log   hclog.Logger
	// onAdopted is called after a configuration was adopted.
	onAdopted func(snapshot *Snapshot, source Source)
	current   atomic.Pointer[Snapshot]

	// mu serializes the updates of current.
	mu sync.Mutex
	// items holds the operators' keys with their values. Only the goroutine of the mirror, which watches the store,
	// uses items.
	items  map[string]store.Item
	mirror *mirror.Mirror
	// valid is the last item with a configuration that could be decoded. Only the goroutine of the mirror uses valid.
	valid store.Item
	// gap is set if there may have been a valid configuration between valid and the mirrored one. Only the goroutine of
	// the mirror uses gap.
	gap bool
}

// New starts to watch the configuration. onAdopted is called after each adoption of a newer configuration. The clock
// must include the time for which the machine was suspended.
func New(
	s store.Store, codec Codec, clock boottime.Clock, log hclog.Logger, onAdopted func(snapshot *Snapshot, source Source),
) *Watcher {
	w := &Watcher{codec: codec, clock: clock, log: log, onAdopted: onAdopted}
	w.current.Store(&Snapshot{CurrentAt: Never, OperationsAt: Never})
	options := mirror.Options{
		Prefix: codec.Prefix(), Wait: watchWait, Timeout: callTimeout, Transfer: transferTime, Clock: clock,
	}
	w.mirror = mirror.New(s, options, log, w)
	return w
}

// Close stops the watch, and waits until its goroutine has ended.
func (w *Watcher) Close() {
	w.mirror.Close()
}

// Key returns the store key of the configuration.
func (w *Watcher) Key() string {
	return w.codec.Key()
}

// Current returns the newest known snapshot. Its Policy is nil until a configuration is known.
func (w *Watcher) Current() *Snapshot {
	return w.current.Load()
}

// Now returns a reading of the watcher's clock.
func (w *Watcher) Now() time.Duration {
	return w.clock()
}

// Age returns the time since a snapshot of this watcher was last proven to be the newest.
func (w *Watcher) Age(snapshot *Snapshot) time.Duration {
	return w.clock() - snapshot.CurrentAt
}

// Replaced implements mirror.Listener. It replaces all items and adopts their configuration if it is newer.
func (w *Watcher) Replaced(items []store.Item, at store.Revision, seen time.Duration) {
	before := w.items[w.codec.Key()]
	w.items = map[string]store.Item{}
	for _, item := range items {
		w.items[item.Key] = item
	}
	w.gap = w.gap || w.items[w.codec.Key()].Revision != before.Revision
	w.publish(at, seen, Read)
}

// Changed implements mirror.Listener. It applies the events to the items and adopts the resulting configuration if it
// is newer. Without events, it confirms the current configuration.
func (w *Watcher) Changed(events []store.Event, _ store.Revision, seen time.Duration) {
	if len(events) == 0 {
		w.confirm(seen)
		return
	}
	var changedAt store.Revision
	for _, event := range events {
		changedAt = max(changedAt, event.Revision)
		if event.Deleted {
			delete(w.items, event.Key)
		} else {
			w.items[event.Key] = event.Item
			w.keepValid(event.Item)
		}
	}
	// The store's revision in the answer also counts other keys, and differs from one VM to the next.
	w.publish(changedAt, seen, Watch)
}

// keepValid keeps a changed item if it is a valid configuration. A later event of the same call may replace the item.
func (w *Watcher) keepValid(item store.Item) {
	if item.Key != w.codec.Key() {
		return
	}
	if _, err := w.codec.Decode(w.items); err == nil {
		w.valid, w.gap = item, false
	}
}

// publish decodes the mirrored items, which hold the operators' keys as of the store revision at, and adopts the
// resulting configuration if it is newer. The store had these items at the reading seen of the clock.
func (w *Watcher) publish(at store.Revision, seen time.Duration, source Source) {
	item, found := w.items[w.codec.Key()]
	if !found {
		return
	}
	decoded := w.decodeItems(item)
	if decoded == nil {
		return
	}
	next := &Snapshot{
		Policy: decoded, Version: Version{Revision: item.Revision, ChangedAt: at}, CurrentAt: seen, OperationsAt: seen,
	}
	if w.gap {
		w.publishAfterGap(next, source)
		return
	}
	w.adopt(next, source)
}

// publishAfterGap adopts a snapshot whose configuration is invalid and whose policy may not be the last valid one. If
// another VM has sent the policy that is in force, only the parts from the operators' other keys are taken over.
func (w *Watcher) publishAfterGap(next *Snapshot, source Source) {
	current := w.current.Load()
	if current.Revision == next.Revision && current.Policy != nil {
		merged := *current.Policy
		merged.Out, merged.Waves = next.Policy.Out, next.Policy.Waves
		next.Policy = &merged
		if !current.Uncertain() {
			w.adopt(next, source)
			return
		}
	}
	next.ChangedAt = min(next.ChangedAt, next.Revision-1)
	w.replace(next, source)
}

// decodeItems decodes the mirrored items. If the configuration, which the parameter item holds, is invalid, decodeItems
// uses the last valid one instead, so that changes of the other keys still apply. It returns nil if there is none.
func (w *Watcher) decodeItems(item store.Item) *policy.Policy {
	decoded, err := w.codec.Decode(w.items)
	if err == nil {
		w.valid, w.gap = item, false
		return decoded
	}
	w.logRejected(item, err)
	if w.valid.Revision == 0 {
		return w.current.Load().Policy
	}
	items := maps.Clone(w.items)
	items[item.Key] = w.valid
	if decoded, err = w.codec.Decode(items); err != nil {
		return w.current.Load().Policy
	}
	return decoded
}

// logRejected logs an invalid configuration, unless it was logged before: the policy in force then has its revision.
func (w *Watcher) logRejected(item store.Item, err error) {
	if current := w.current.Load(); current.Policy == nil || item.Revision > current.Revision {
		w.log.Error("configuration rejected", "revision", item.Revision, "error", err.Error())
	}
}

// AdoptItem adopts a configuration that a call other than the watch has returned, if it is newer. The store had the
// item at the reading seen of the clock. The parts that the operators write under other keys, Out and Waves, are kept
// from the current configuration.
func (w *Watcher) AdoptItem(item store.Item, seen time.Duration) {
	current := w.current.Load()
	if item.Key != w.codec.Key() || item.Revision <= current.Revision {
		return
	}
	changedAt := current.ChangedAt
	decoded, err := w.codec.Decode(map[string]store.Item{item.Key: item})
	switch {
	case err != nil:
		w.logRejected(item, err)
		decoded, changedAt = current.Policy, min(changedAt, item.Revision-1)
	case current.Policy != nil:
		decoded.Out, decoded.Waves = current.Policy.Out, current.Policy.Waves
	}
	w.adopt(&Snapshot{
		Policy: decoded, Version: Version{Revision: item.Revision, ChangedAt: changedAt}, CurrentAt: seen,
		OperationsAt: current.OperationsAt,
	}, Conflict)
}

// Offer adopts a snapshot that another VM has sent, if that snapshot is newer than the current one.
func (w *Watcher) Offer(snapshot *Snapshot) {
	w.adopt(snapshot, Peer)
}

// adopt replaces the current snapshot if next is newer. If both identify the same configuration, adopt takes over the
// proof of next if it is later. A snapshot that is newer only because all keys were read again, and holds the
// same, is adopted silently: otherwise all VMs would announce what each of them has read.
func (w *Watcher) adopt(next *Snapshot, source Source) {
	w.mu.Lock()
	current := w.current.Load()
	newer := next.Policy != nil && next.Newer(current.Version)
	if newer {
		w.current.Store(next)
	}
	w.mu.Unlock()
	switch {
	case !newer:
		w.takeProof(next)
	case !next.sameContent(current):
		w.onAdopted(next, source)
	}
}

// replace replaces the current snapshot unless that one is newer.
func (w *Watcher) replace(next *Snapshot, source Source) {
	w.mu.Lock()
	older := w.current.Load().Newer(next.Version)
	if !older {
		w.current.Store(next)
	}
	w.mu.Unlock()
	if !older {
		w.onAdopted(next, source)
	}
}

// takeProof takes over the proof of another snapshot if that snapshot identifies the current configuration and its
// proof is later.
func (w *Watcher) takeProof(other *Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.current.Load()
	if other.Version != current.Version || other.CurrentAt <= current.CurrentAt {
		return
	}
	proven := *current
	proven.CurrentAt = other.CurrentAt
	proven.OperationsAt = max(proven.OperationsAt, other.OperationsAt)
	w.current.Store(&proven)
}

// confirm records that the current configuration was the newest at the reading seen of the clock, if the mirrored items
// hold that configuration.
func (w *Watcher) confirm(seen time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.current.Load()
	item, found := w.items[w.codec.Key()]
	if !found || item.Revision != current.Revision {
		return
	}
	if gap := seen - current.CurrentAt; gap > loggedGap && current.CurrentAt != Never {
		w.log.Info("configuration proven again", "revision", current.Revision, "after", gap.String(),
			"answerTook", (w.clock() - seen).String())
	}
	proven := *current
	proven.CurrentAt = max(proven.CurrentAt, seen)
	proven.OperationsAt = max(proven.OperationsAt, seen)
	w.current.Store(&proven)
}
