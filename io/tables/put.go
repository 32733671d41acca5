package tables

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"auburnstack/core/table"
	"auburnstack/io/platform"
)

// ConflictError reports an edit that was rejected because another operator's edit was accepted first. Nothing was
// changed.
type ConflictError struct {
	// Revision is the accepted revision.
	Revision table.Revision
	// Changes lists the rows that differ between the edit's base and the accepted revision.
	Changes []string
}

// Error returns a message with the reason of the rejection and the rows that the other edits changed.
func (e *ConflictError) Error() string {
	return "another edit was accepted first: " + strings.Join(e.Changes, ", ")
}

// Put makes the given texts of the route table and the pool table the accepted tables if base is still the accepted
// revision, and returns the new revision. Put is idempotent: a repeated call with the same edit ID returns the revision
// that the first call created. It fails with document.Mistakes, *ConflictError, ErrUnknownEffect or an error of the
// platform package.
func (f *Follower) Put(
	ctx context.Context, base table.Revision, id table.EditID, routes, pools string,
) (table.Revision, error) {
	after, err := table.Parse(base+1, routes, pools)
	if err != nil {
		return 0, err
	}
	mayBeWritten := false
	attempt := func() (table.Revision, error) {
		revision, err := f.tryPut(ctx, id, after)
		if err != nil && errors.Is(err, platform.ErrUnavailable) {
			mayBeWritten = true
		}
		return revision, permanentUnlessRetryable(err)
	}
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 10 * time.Millisecond
	revision, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(b))
	if err != nil && mayBeWritten && isRetryable(err) {
		return 0, errors.WithMessage(ErrUnknownEffect, err.Error())
	}
	return revision, err
}

// isRetryable reports whether an error comes from the store or from a passed deadline, so that a later attempt may
// succeed.
func isRetryable(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrConflict) ||
		errors.Is(err, platform.ErrBudget) || errors.Is(err, context.DeadlineExceeded)
}

// permanentUnlessRetryable marks an error as permanent, which ends the retries, unless isRetryable holds for it.
func permanentUnlessRetryable(err error) error {
	if err == nil || isRetryable(err) {
		return err
	}
	return backoff.Permanent(err)
}

// tryPut makes one attempt to write the tables, and returns their revision. If an earlier attempt was already accepted,
// it returns the revision of that attempt.
func (f *Follower) tryPut(ctx context.Context, id table.EditID, after *table.Tables) (table.Revision, error) {
	head, stored, err := f.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if revision, accepted := head.Accepted(id); accepted {
		return revision, f.Refresh(ctx)
	}
	before, err := f.load(ctx, head)
	if err != nil {
		return 0, err
	}
	f.Adopt(before)
	if head.Revision+1 != after.Revision {
		return 0, f.newConflictError(head, after.Revision-1)
	}
	next, err := f.nextHead(ctx, head, table.Diff(id, before, after), after)
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	if _, err := f.store.CompareAndSwap(ctx, HeadKey, stored, value, 0); err != nil {
		return 0, err
	}
	f.Adopt(after)
	f.dropSnapshot(ctx, head.Snapshot, next.Snapshot)
	return after.Revision, nil
}

// nextHead returns the head, the record of the accepted revision, after an edit. If the recent edits in the head would
// exceed table.RecentEdits or table.RecentBytes, the returned head holds no recent edits. In this case nextHead writes
// a snapshot of the tables in after, and the returned head refers to this snapshot.
func (f *Follower) nextHead(
	ctx context.Context, head table.Head, edit table.Edit, after *table.Tables,
) (table.Head, error) {
	next, needsSnapshot := head.Next(edit)
	if !needsSnapshot {
		return next, nil
	}
	reference, err := f.writeSnapshot(ctx, edit.ID, after)
	next.Snapshot = reference
	return next, err
}

// newConflictError returns an error with the rows that changed between a base revision and the accepted revision, which
// the head names.
func (f *Follower) newConflictError(head table.Head, base table.Revision) error {
	conflict := &ConflictError{Revision: head.Revision}
	edits, _ := head.Since(base)
	for _, edit := range edits {
		conflict.Changes = append(conflict.Changes, edit.RowChanges()...)
	}
	return conflict
}

// History returns the recent edits of the tables, oldest first, as the stored head holds them.
func (f *Follower) History(ctx context.Context) ([]table.Edit, error) {
	head, _, err := f.readHead(ctx)
	return head.Recent, err
}
