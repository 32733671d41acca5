package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/io/election"
	"auburnstack/io/store"
	"auburnstack/io/wait"
)

const (
	// maxFlush is the largest number of records in one transaction. Each needs one condition and one put, and the check
	// of the leader key needs one more condition.
	maxFlush = (store.MaxEntries - 1) / 2
	// maxFlushBytes is the size from which on a transaction gets no further record. It takes a quarter of a second on the
	// slowest links.
	maxFlushBytes = 192 << 10
)

// record is a part of a job's progress, encoded for the store.
type record struct {
	change   planner.Change
	key      string
	value    []byte
	expected store.Revision
}

// flush starts a transaction that stores changes of jobs' progress. Only one such transaction is in flight at a time.
func (t *term) flush() {
	if t.flushInFlight || !t.planner.HasChanges() {
		return
	}
	var records []record
	bytes := 0
	for _, change := range t.planner.TakeChanges(maxFlush) {
		if bytes >= maxFlushBytes {
			t.planner.NotStored(change)
			continue
		}
		value, err := encodeProgress(change.Progress, t.config.ValueLimit)
		if err != nil {
			t.config.Log.Error("encoding progress failed", "job", change.Progress.ID, "error", err.Error())
			t.role.Resign()
			return
		}
		key := partKey(change.Progress.ID, change.Progress.Part)
		records = append(records, record{change: change, key: key, value: value, expected: t.revisions[key]})
		bytes += len(value)
	}
	t.flushInFlight = true
	t.spawn(func() { t.storeProgress(records) })
}

// encodeProgress encodes a record for a store with the given largest size of a value, 0 for no limit. If the record
// takes more than half of that, encodeProgress leaves out the longest checkpoints: tasks may start from an older
// state after a change of leader.
func encodeProgress(progress graph.Progress, limit int) ([]byte, error) {
	value, err := json.Marshal(progress)
	if err != nil || limit == 0 || len(value) <= limit/2 {
		return value, errors.WithStack(err)
	}
	for longest := limit / 2 / max(len(progress.Units), 1); longest > 0 && len(value) > limit/2; longest /= 2 {
		shortened := progress
		shortened.Units = slices.Clone(progress.Units)
		for i := range shortened.Units {
			if len(shortened.Units[i].Checkpoint) > longest {
				shortened.Units[i].Checkpoint = ""
			}
		}
		if value, err = json.Marshal(shortened); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	return value, nil
}

// storeProgress stores the given records, and retries until the outcome is known or the term ends. If another VM has
// changed the records or the leader key, storeProgress ends the term.
func (t *term) storeProgress(records []record) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := context.AfterFunc(t.role.Context(), cancel)
	defer stop()
	done := flushDone{revisions: map[string]store.Revision{}}
	t.storeRecords(ctx, records, &done)
	t.post(done)
}

// storeRecords adds the outcome of each record to done. If the store rejects the transaction for good, the records are
// stored in smaller transactions, so that the record at fault holds up no other.
func (t *term) storeRecords(ctx context.Context, records []record, done *flushDone) {
	revisions, err := t.commitUntilKnown(ctx, records)
	switch {
	case err == nil:
		for _, r := range records {
			done.stored = append(done.stored, r.change)
			done.revisions[r.key] = revisions[r.key]
		}
	case errors.Is(err, store.ErrInvalid) && len(records) > 1:
		half := len(records) / 2
		t.storeRecords(ctx, records[:half], done)
		t.storeRecords(ctx, records[half:], done)
	case errors.Is(err, store.ErrInvalid):
		t.config.Log.Error("the store rejects a record", "key", records[0].key, "bytes", len(records[0].value),
			"error", err.Error())
		t.config.Metrics.recordRejected()
		done.rejected = append(done.rejected, records[0].change)
	default:
		for _, r := range records {
			done.open = append(done.open, r.change)
		}
	}
}

// commitUntilKnown repeats a transaction until its outcome is known or the term ends. It returns the new revisions of
// the records, store.ErrInvalid, or another error if the term ends.
func (t *term) commitUntilKnown(ctx context.Context, records []record) (map[string]store.Revision, error) {
	err := ctx.Err()
	for t.role.Valid() {
		start := time.Now()
		var revisions map[string]store.Revision
		revisions, err = t.commit(ctx, records)
		t.config.Metrics.flushed(time.Since(start))
		if err == nil || errors.Is(err, store.ErrInvalid) {
			return revisions, err
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			t.config.Log.Warn("resigning after a conflict while storing progress", "fence", t.role.Fence)
			t.role.Resign()
			return nil, err
		}
		t.config.Log.Warn("storing progress failed", "records", len(records), "error", err.Error())
		wait.For(ctx, retryPause)
	}
	if err == nil {
		err = context.Canceled
	}
	return nil, err
}

func (t *term) commit(ctx context.Context, records []record) (map[string]store.Revision, error) {
	transaction := store.Transaction{Conditions: []store.Condition{t.role.Condition()}}
	for _, r := range records {
		transaction.Conditions = append(transaction.Conditions, store.Condition{Key: r.key, Revision: r.expected})
		transaction.Puts = append(transaction.Puts, store.Put{Key: r.key, Value: r.value})
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+transaction.TransferTime())
	defer cancel()
	revision, err := t.config.Store.Commit(ctx, transaction)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return resolveConflict(conflict, t.role.Fence, records, err)
	}
	if err != nil {
		return nil, err
	}
	revisions := map[string]store.Revision{}
	for _, r := range records {
		revisions[r.key] = revision
	}
	return revisions, nil
}

// resolveConflict checks whether the conflict comes from an earlier attempt of the same transaction that took effect
// although its response was lost. If so, it returns the revisions of the stored records, otherwise it returns err.
// While the leader key is unchanged, no other VM writes the progress records.
func resolveConflict(
	conflict *store.ConflictError, fence store.Revision, records []record, err error,
) (map[string]store.Revision, error) {
	if conflict.Item(election.Key).Revision != fence {
		return nil, err
	}
	revisions := map[string]store.Revision{}
	for _, r := range records {
		item := conflict.Item(r.key)
		if !bytes.Equal(item.Value, r.value) {
			return nil, err
		}
		revisions[r.key] = item.Revision
	}
	return revisions, nil
}

func (t *term) finishFlush(e flushDone, now time.Time) {
	t.flushInFlight = false
	for key, revision := range e.revisions {
		t.revisions[key] = revision
	}
	for _, change := range e.open {
		t.planner.NotStored(change)
	}
	for _, change := range e.rejected {
		if !t.planner.Rejected(change, now) {
			t.config.Log.Error("record given up", "job", change.Progress.ID, "part", change.Progress.Part)
		}
	}
	for _, change := range e.stored {
		if ended := t.planner.Stored(change, now); ended {
			t.config.Metrics.jobEnded(change.Progress.State)
			t.logEnd(change.Progress)
		}
	}
}

// logEnd logs the final state of a job with a summary.
func (t *term) logEnd(progress graph.Progress) {
	s := t.planner.Summary(progress.ID)
	t.config.Log.Info("job ended", "job", progress.ID, "state", progress.State, "reason", progress.Reason,
		"took", s.Took.String(), "waited", s.Waited.String(), "objective", s.Objective.String(),
		"failures", s.Failures, "stops", s.Stops)
}

// acknowledgeEnds acknowledges the ended runs whose effects on their jobs' progress are stored, so that the workers
// discard these runs.
func (t *term) acknowledgeEnds() {
	if len(t.acks) == 0 {
		return
	}
	stored := t.planner.StoredUpTo()
	remaining := t.acks[:0]
	for _, a := range t.acks {
		if a.change > stored {
			remaining = append(remaining, a)
			continue
		}
		if l, open := t.links[a.worker]; open {
			l.acknowledge(a.incarnation, a.number)
		}
	}
	t.acks = remaining
}
