package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/io/election"
	"auburnstack/io/store"
	"auburnstack/io/wait"
)

// A removal of old jobs takes several transactions, and the leader may be replaced between any two of them. The next
// leader must not take a job that has ended for one that was just accepted. One transaction therefore removes an
// accepted job together with its cancellation and the first part of its progress, which holds the final state. The
// other parts are removed before.

// maxRemovalEntries is the largest number of conditions and removed keys in one transaction, beside the check of the
// leader key.
const maxRemovalEntries = store.MaxEntries - 1

// removedJob is a job that the planner has forgotten. A read of the inbox may still return it.
type removedJob struct {
	// accepted distinguishes the job from a later one with the same ID.
	accepted time.Time
	// at is the time by which its records were removed; zero until then.
	at time.Time
}

// removal is a set of records of one job that are removed together.
type removal struct {
	// first is the condition that the first part of the job's progress is as the leader stored or read it. A transaction
	// that arrives late can then not remove records of a later job with the same ID.
	first store.Condition
	keys  []string
	// last is set if the keys include that of the first part. The condition no longer holds after the removal.
	last bool
}

// removeOldJobs removes from the store the records of jobs whose retention time has passed. Only one removal is in
// progress at a time.
func (t *term) removeOldJobs(ctx context.Context) {
	now := time.Now()
	if t.removalInFlight || now.Sub(t.lastRemoval) < removalInterval {
		return
	}
	t.lastRemoval = now
	t.pruneRemoved(now)
	var ids []graph.ID
	var parts, jobs []removal
	for _, job := range t.planner.Forget(now) {
		ids = append(ids, job.ID)
		t.removed[job.ID] = removedJob{accepted: job.Accepted}
		key := ProgressKey(job.ID)
		first := store.Condition{Key: key, Revision: t.revisions[key]}
		parts = append(parts, t.removePartsOf(job, first)...)
		jobs = append(jobs, removal{first: first, keys: []string{CancelKey(job.ID), key, JobKey(job.ID)}, last: true})
		delete(t.revisions, key)
	}
	if len(ids) == 0 {
		return
	}
	t.removalInFlight = true
	t.spawn(func() {
		done := t.removeAll(ctx, parts) && t.removeAll(ctx, jobs)
		t.post(removalEnded{ids: ids, done: done})
	})
}

// removePartsOf returns the removals of all parts of a job's progress but the first.
func (t *term) removePartsOf(job planner.Forgotten, first store.Condition) []removal {
	var list []removal
	current := removal{first: first}
	for part := 1; part < job.Parts; part++ {
		key := partKey(job.ID, part)
		delete(t.revisions, key)
		current.keys = append(current.keys, key)
		if current.entries() == maxRemovalEntries || part == job.Parts-1 {
			list = append(list, current)
			current = removal{first: first}
		}
	}
	return list
}

// entries returns the number of entries that the removal takes in a transaction.
func (r *removal) entries() int {
	return 1 + len(r.keys)
}

// removeAll carries out removals in the given order, as many at a time as fit into a transaction. It reports whether
// it carried out all.
func (t *term) removeAll(ctx context.Context, list []removal) bool {
	for len(list) > 0 {
		batch := leadingBatch(list)
		if err := t.removeUntilKnown(ctx, batch); err != nil {
			// The next leader loads the remaining jobs again and removes them.
			t.config.Log.Warn("removing old jobs failed", "removals", len(list), "error", err.Error())
			return false
		}
		list = list[len(batch):]
	}
	return true
}

// leadingBatch returns the first removals of a list that fit into one transaction, at least one.
func leadingBatch(list []removal) []removal {
	entries := 0
	for i := range list {
		entries += list[i].entries()
		if entries > maxRemovalEntries {
			return list[:i]
		}
	}
	return list
}

// removeUntilKnown repeats a transaction until its outcome is known or the term ends. It returns an error if the
// records may still be there.
func (t *term) removeUntilKnown(ctx context.Context, batch []removal) error {
	conditions := []store.Condition{t.role.Condition()}
	var keys []string
	for i := range batch {
		conditions = append(conditions, batch[i].first)
		keys = append(keys, batch[i].keys...)
	}
	for attempt := 1; ; attempt++ {
		err := t.remove(ctx, conditions, keys)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict):
			return t.resolveRemovalConflict(conflict, batch, err)
		case errors.Is(err, store.ErrInvalid):
			return err
		case ctx.Err() != nil || !t.role.Valid():
			return err
		}
		t.config.Log.Warn("removing old jobs not confirmed", "keys", len(keys), "attempt", attempt, "error", err.Error())
		wait.For(ctx, retryPause)
	}
}

// resolveRemovalConflict checks whether a conflict comes from an earlier attempt of the same transaction that took
// effect although its response was lost. If so, it returns nil. Otherwise another VM has changed the records or the
// leader key, and the term ends.
func (t *term) resolveRemovalConflict(conflict *store.ConflictError, batch []removal, err error) error {
	removed := conflict.Item(election.Key).Revision == t.role.Fence
	for i := range batch {
		removed = removed && batch[i].last && conflict.Item(batch[i].first.Key).Revision == 0
	}
	if removed {
		return nil
	}
	t.config.Log.Warn("resigning after a conflict while removing old jobs", "fence", t.role.Fence)
	t.role.Resign()
	return err
}

// remove removes keys under the given conditions.
func (t *term) remove(ctx context.Context, conditions []store.Condition, keys []string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := t.config.Store.Commit(ctx, store.Transaction{Conditions: conditions, Removes: keys})
	return err
}

// finishRemoval handles the end of a removal.
func (t *term) finishRemoval(e removalEnded, now time.Time) {
	t.removalInFlight = false
	if !e.done {
		return
	}
	for _, id := range e.ids {
		t.removed[id] = removedJob{accepted: t.removed[id].accepted, at: now}
	}
}

// wasRemoved reports whether a job that was read from the inbox is one that the planner has forgotten.
func (t *term) wasRemoved(job *graph.Job) bool {
	r, known := t.removed[job.ID]
	return known && r.accepted.Equal(job.Accepted)
}

// pruneRemoved forgets the removed jobs that no read of the inbox returns any more.
func (t *term) pruneRemoved(now time.Time) {
	for id, r := range t.removed {
		if !r.at.IsZero() && now.Sub(r.at) > loadTimeout {
			delete(t.removed, id)
		}
	}
}
