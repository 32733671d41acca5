package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/planner"
	"auburnstack/io/store"
)

const (
	// formerQueuesKey is the key of the last settings of queues that were removed while they had unfinished jobs. It has
	// the prefix of jobs' progress, so that a new leader reads both with one call. It is no key of a job.
	formerQueuesKey = progressPrefix + "former-queues"
	// formerQueuesPause is the least time between two writes under formerQueuesKey.
	formerQueuesPause = time.Second
)

// formerQueues is the state of the writes under formerQueuesKey. It belongs to the control goroutine, except for the
// atomic fields.
type formerQueues struct {
	// stored is the value that the last write contains, and writtenAt the time of that write.
	stored    []byte
	writtenAt time.Time
	// revision is the revision of the key as far as it is known, 0 if the key is absent. While a write is in flight, only
	// the goroutine of the write may access it.
	revision         store.Revision
	inFlight, failed atomic.Bool
}

// formerRecord is the value under formerQueuesKey. An absent one has no queues.
type formerRecord struct {
	FormerQueues []planner.FormerQueue
}

// readFormerQueues returns the settings of removed queues in a record that an earlier leader has stored. If it can't be
// decoded, the jobs go on with the settings of their acceptance.
func (t *term) readFormerQueues(item store.Item) []planner.FormerQueue {
	t.former.stored, t.former.revision = item.Value, item.Revision
	var record formerRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		t.logSkippedRecord(errors.WithMessagef(err, "the record %s can't be read", item.Key))
		return nil
	}
	return record.FormerQueues
}

// storeFormerQueues writes the settings of removed queues if they have changed since the last write, or if that failed.
func (t *term) storeFormerQueues(ctx context.Context, now time.Time) {
	if t.former.inFlight.Load() || now.Sub(t.former.writtenAt) < formerQueuesPause {
		return
	}
	former := t.planner.FormerQueues()
	if len(former) == 0 && t.former.stored == nil {
		return
	}
	value, err := json.Marshal(formerRecord{FormerQueues: former})
	if err != nil {
		t.config.Log.Error("encoding removed queues failed", "error", err.Error())
		return
	}
	if bytes.Equal(value, t.former.stored) && !t.former.failed.Load() {
		return
	}
	t.former.stored, t.former.writtenAt = value, now
	t.former.inFlight.Store(true)
	t.spawn(func() {
		defer t.former.inFlight.Store(false)
		err := t.putFormerQueues(ctx, value)
		t.former.failed.Store(err != nil)
		if err != nil {
			t.config.Log.Warn("storing removed queues failed", "bytes", len(value), "error", err.Error())
		}
	})
}

// putFormerQueues writes a value under formerQueuesKey, unless another write has changed the key since: an earlier one
// without an answer may be carried out late. The next attempt knows of such a write.
func (t *term) putFormerQueues(ctx context.Context, value []byte) error {
	transaction := store.Transaction{
		Conditions: []store.Condition{t.role.Condition(), {Key: formerQueuesKey, Revision: t.former.revision}},
		Puts:       []store.Put{{Key: formerQueuesKey, Value: value}},
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+transaction.TransferTime())
	defer cancel()
	revision, err := t.config.Store.Commit(ctx, transaction)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		t.former.revision = revision
	case errors.As(err, &conflict):
		t.former.revision = conflict.Item(formerQueuesKey).Revision
	}
	return err
}

// maxQueueLines is the largest number of lines about changed queues after one change of the configuration.
const maxQueueLines = 20

// logQueueChanges logs that the settings of queues with unfinished jobs have changed: the first ones, and their number.
func (t *term) logQueueChanges(changes []planner.QueueChange) {
	for i := range changes[:min(len(changes), maxQueueLines)] {
		before, now := &changes[i].Old, &changes[i].New
		t.config.Log.Info("queue changed", "queue", now.Name, "key", now.Key(), "unfinished", changes[i].Unfinished,
			"service", now.Service, "old_service", before.Service, "priority", now.Priority, "old_priority", before.Priority,
			"attempts", now.MaxAttempts, "old_attempts", before.MaxAttempts, "advised", now.Advice != nil,
			"version", t.policy().Version, "changes", len(changes))
	}
}
