package coordinator

import (
	"context"
	"time"

	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/core/policy"
	"auburnstack/io/store"
	"auburnstack/io/wait"
)

const (
	// loadTimeout is the timeout of one attempt to load all records, which may take seconds on a slow network link. It
	// is also the timeout of the store calls that watch the inbox, the keys of accepted jobs and cancellations.
	loadTimeout = 10 * time.Second
	// policyPause is the pause between two checks for the first configuration, on a VM that has just started.
	policyPause = 10 * time.Millisecond
)

// load loads all records from the store, and retries until it succeeds. It returns the revision from which the inbox
// has to be watched, or false if the context ends first.
func (t *term) load(ctx context.Context) (store.Revision, bool) {
	for ctx.Err() == nil && t.config.Policy().Policy == nil {
		// Without a configuration the planner knows no queue.
		wait.For(ctx, policyPause)
	}
	for ctx.Err() == nil {
		revision, err := t.loadRecords(ctx)
		if err == nil {
			return revision, true
		}
		t.config.Log.Warn("loading records failed", "error", err.Error())
		wait.For(ctx, retryPause)
	}
	return 0, false
}

func (t *term) loadRecords(ctx context.Context) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	inbox, err := t.config.Store.Range(ctx, InboxPrefix)
	if err != nil {
		return 0, err
	}
	records, err := t.config.Store.Range(ctx, progressPrefix)
	if err != nil {
		return 0, err
	}
	progress := map[graph.ID]graph.Progress{}
	t.revisions = map[string]store.Revision{}
	t.former.stored, t.former.revision = nil, 0
	var former []planner.FormerQueue
	for _, item := range records.Items {
		if item.Key == formerQueuesKey {
			former = t.readFormerQueues(item)
			continue
		}
		// The job of a record that can't be decoded is planned anew, and its new record replaces the old one.
		t.revisions[item.Key] = item.Revision
		record, err := DecodeProgress(item)
		if err != nil {
			t.logSkippedRecord(err)
			continue
		}
		whole := progress[record.ID]
		whole.Add(record)
		progress[record.ID] = whole
	}
	t.restore(decodeInbox(inbox.Items, t.logSkippedRecord), progress, former)
	t.readLearned(ctx)
	if err := t.readWaves(ctx); err != nil {
		return 0, err
	}
	return inbox.Revision, nil
}

// logSkippedRecord logs that a record was skipped because it can't be decoded.
func (t *term) logSkippedRecord(err error) {
	t.config.Log.Error("record skipped", "error", err.Error())
}

func (t *term) restore(
	accepted jobsAccepted, progress map[graph.ID]graph.Progress, former []planner.FormerQueue,
) {
	now := time.Now()
	t.planner = planner.New(t.config.Settings, t.policy())
	t.planner.RestoreQueues(former)
	unplaced, ended := 0, 0
	for _, job := range accepted.jobs {
		record, found := progress[job.ID]
		switch {
		case !found:
			unplaced++
			t.planner.Submit(job, now)
			continue
		case record.State.Final():
			ended++
		}
		t.planner.Restore(job, record, now)
	}
	for _, id := range accepted.canceled {
		t.planner.Cancel(id, now)
	}
	t.config.Log.Info("jobs restored", "jobs", len(accepted.jobs), "without_progress", unplaced, "ended", ended,
		"cancellations", len(accepted.canceled))
}

func (t *term) policy() *policy.Policy {
	if p := t.config.Policy().Policy; p != nil {
		return p
	}
	return &policy.Policy{}
}
