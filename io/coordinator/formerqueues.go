package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"sync/atomic"

	"github.com/pkg/errors"

	"auburnstack/core/planner"
	"auburnstack/io/store"
)

// formerQueuesKey is the key of the last settings of queues that were removed while they had unfinished jobs.
const formerQueuesKey = "auburnstack/queues/former"

// formerQueues is the state of the writes under formerQueuesKey. It belongs to the control goroutine, except for the
// atomic fields.
type formerQueues struct {
	// stored is the value that the last write contains.
	stored           []byte
	inFlight, failed atomic.Bool
}

// noFormerQueues is the value while no removed queue has unfinished jobs. An absent key means the same.
var noFormerQueues = []byte("null")

// readFormerQueues returns the settings of removed queues that an earlier leader has stored. If they can't be decoded,
// the jobs go on with the settings of their acceptance.
func (t *term) readFormerQueues(ctx context.Context) ([]planner.FormerQueue, error) {
	t.former.stored = noFormerQueues
	item, err := t.config.Store.Get(ctx, formerQueuesKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var former []planner.FormerQueue
	if err := json.Unmarshal(item.Value, &former); err != nil {
		t.logSkippedRecord(errors.WithMessagef(err, "the record %s can't be read", formerQueuesKey))
		former = nil
	}
	t.former.stored = item.Value
	return former, nil
}

// storeFormerQueues writes the settings of removed queues if they have changed since the last write, or if that failed.
func (t *term) storeFormerQueues(ctx context.Context) {
	if t.former.inFlight.Load() {
		return
	}
	value, err := json.Marshal(t.planner.FormerQueues())
	if err != nil {
		t.config.Log.Error("encoding removed queues failed", "error", err.Error())
		return
	}
	if bytes.Equal(value, t.former.stored) && !t.former.failed.Load() {
		return
	}
	t.former.stored = value
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

// putFormerQueues writes a value under formerQueuesKey. The write depends only on the leader's key.
func (t *term) putFormerQueues(ctx context.Context, value []byte) error {
	transaction := store.Transaction{
		Conditions: []store.Condition{t.role.Condition()}, Puts: []store.Put{{Key: formerQueuesKey, Value: value}},
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+transaction.TransferTime())
	defer cancel()
	_, err := t.config.Store.Commit(ctx, transaction)
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
