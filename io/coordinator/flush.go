package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/io/election"
	"auburnstack/io/store"
	"auburnstack/io/wait"
)

// maxFlush is the largest number of changes of jobs' progress in one transaction. Each change needs one condition and
// one put, and the check of the leader key needs one more condition.
const maxFlush = (store.MaxEntries - 1) / 2

// record is a change of a job's progress, encoded for the store.
type record struct {
	id       graph.ID
	key      string
	value    []byte
	expected store.Revision
}

// flush starts a transaction that stores changes of jobs' progress. Only one such transaction is in flight at a time.
func (t *term) flush() {
	if t.flushInFlight || !t.planner.HasChanges() {
		return
	}
	changes := t.planner.TakeChanges(maxFlush)
	if !t.planner.HasChanges() {
		t.flushedObservations = t.observations
	}
	records := make([]record, 0, len(changes))
	for _, change := range changes {
		value, err := json.Marshal(change.Progress)
		if err != nil {
			t.config.Log.Error("encoding progress failed", "job", change.Progress.ID, "error", err.Error())
			t.role.Resign()
			return
		}
		id := change.Progress.ID
		records = append(records, record{id: id, key: ProgressKey(id), value: value, expected: t.revisions[id]})
	}
	t.flushInFlight = true
	t.spawn(func() { t.storeProgress(changes, records) })
}

// storeProgress stores the given progress records, and retries until the outcome is known or the term ends. If another
// VM has changed the records or the leader key, storeProgress ends the term.
func (t *term) storeProgress(changes []planner.Change, records []record) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := context.AfterFunc(t.role.Context(), cancel)
	defer stop()
	for t.role.Valid() {
		start := time.Now()
		revisions, err := t.commit(ctx, records)
		t.config.Metrics.flushed(time.Since(start))
		if err == nil {
			t.post(flushDone{changes: changes, revisions: revisions, stored: true})
			return
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			t.config.Log.Warn("resigning after a conflict while storing progress", "fence", t.role.Fence)
			t.role.Resign()
			return
		}
		t.config.Log.Warn("storing progress failed", "jobs", len(records), "error", err.Error())
		wait.For(ctx, retryPause)
	}
	t.post(flushDone{changes: changes})
}

func (t *term) commit(ctx context.Context, records []record) (map[graph.ID]store.Revision, error) {
	transaction := store.Transaction{Conditions: []store.Condition{t.role.Condition()}}
	for _, r := range records {
		transaction.Conditions = append(transaction.Conditions, store.Condition{Key: r.key, Revision: r.expected})
		transaction.Puts = append(transaction.Puts, store.Put{Key: r.key, Value: r.value})
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := t.config.Store.Commit(ctx, transaction)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return resolveConflict(conflict, t.role.Fence, records, err)
	}
	if err != nil {
		return nil, err
	}
	revisions := map[graph.ID]store.Revision{}
	for _, r := range records {
		revisions[r.id] = revision
	}
	return revisions, nil
}

// resolveConflict checks whether the conflict comes from an earlier attempt of the same transaction that took effect
// although its response was lost. If so, it returns the revisions of the stored records, otherwise it returns err.
// While the leader key is unchanged, no other VM writes the progress records.
func resolveConflict(
	conflict *store.ConflictError, fence store.Revision, records []record, err error,
) (map[graph.ID]store.Revision, error) {
	if conflict.Item(election.Key).Revision != fence {
		return nil, err
	}
	revisions := map[graph.ID]store.Revision{}
	for _, r := range records {
		item := conflict.Item(r.key)
		if !bytes.Equal(item.Value, r.value) {
			return nil, err
		}
		revisions[r.id] = item.Revision
	}
	return revisions, nil
}

func (t *term) finishFlush(e flushDone, now time.Time) {
	t.flushInFlight = false
	if !e.stored {
		t.planner.NotStored(e.changes)
		return
	}
	for id, revision := range e.revisions {
		t.revisions[id] = revision
	}
	for _, change := range e.changes {
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
	stored := t.flushedObservations
	if t.flushInFlight {
		stored = 0
	}
	if !t.flushInFlight && !t.planner.HasChanges() {
		stored = t.observations
	}
	remaining := t.acks[:0]
	for _, a := range t.acks {
		if a.observation > stored {
			remaining = append(remaining, a)
			continue
		}
		if l, open := t.links[a.worker]; open {
			l.acknowledge(a.incarnation, a.number)
		}
	}
	t.acks = remaining
}

// removeOldJobs removes from the store the records of jobs whose retention time has passed.
func (t *term) removeOldJobs(ctx context.Context) {
	now := time.Now()
	if now.Sub(t.lastRemoval) < removalInterval {
		return
	}
	t.lastRemoval = now
	const keysOfJob = 3
	var removes []string
	for _, id := range t.planner.Forget(now) {
		delete(t.revisions, id)
		removes = append(removes, JobKey(id), CancelKey(id), ProgressKey(id))
	}
	for len(removes) > 0 {
		n := min(len(removes), (store.MaxEntries-1)/keysOfJob*keysOfJob)
		batch := removes[:n]
		removes = removes[n:]
		t.spawn(func() { t.removeKeys(ctx, batch) })
	}
}

func (t *term) removeKeys(ctx context.Context, keys []string) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := t.config.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{t.role.Condition()}, Removes: keys,
	})
	if err != nil {
		// The next leader loads these jobs again and repeats the removal.
		t.config.Log.Warn("removing old jobs failed", "keys", len(keys), "error", err.Error())
	}
}
