// Package tables keeps a VM's copy of the operators' tables and writes edits to the platform's key-value service.
package tables

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/table"
	"auburnstack/io/platform"
)

// HeadKey is the key of the head, the record in the platform's key-value service that names the accepted revision of
// the tables.
const HeadKey = "tables/head"

// Errors of reading and editing the tables.
var (
	// ErrDamaged reports stored tables that cannot be decoded, or that cannot be rebuilt from the stored edits and
	// snapshot, for example because a digest does not match.
	ErrDamaged = errors.New("the stored tables do not match their head")
	// ErrUnknownEffect reports an edit that may or may not have been accepted.
	ErrUnknownEffect = errors.New("the store did not confirm the edit, which may have been accepted")
)

// Follower holds the tables of the newest accepted revision that this VM has adopted, called the held revision. A lower
// revision never replaces a higher revision.
type Follower struct {
	store   platform.Store
	current atomic.Pointer[table.Tables]

	mu sync.Mutex
	// confirmedAt is the latest time at which the held revision was confirmed to be the accepted revision.
	confirmedAt time.Time
	// highestKnown is the highest revision of the tables that a peer has announced.
	highestKnown table.Revision
	// recentEdits holds successive edits, oldest first. The last of these edits results in the held revision.
	recentEdits []table.Edit
	// onAdopt is called with each newly adopted revision, without holding mu.
	onAdopt func(*table.Tables)
	// watchedRevision is the revision of the store, not of the tables, up to which Watch has read the changes of the
	// store key HeadKey. The value of this key, the head, describes the accepted revision of the tables.
	// Only the goroutine that calls Watch uses it.
	watchedRevision platform.Revision
}

// New returns a follower with empty tables. The follower calls onAdopt with the tables of each revision that it adopts.
func New(store platform.Store, onAdopt func(*table.Tables)) *Follower {
	f := &Follower{store: store, onAdopt: onAdopt}
	f.current.Store(table.Empty())
	return f
}

// Current returns the tables of the newest adopted revision.
func (f *Follower) Current() *table.Tables {
	return f.current.Load()
}

// Adopt replaces the held tables if the given tables have a higher revision, and reports whether it replaced them.
func (f *Follower) Adopt(tables *table.Tables) bool {
	for {
		current := f.current.Load()
		if tables.Revision <= current.Revision {
			return false
		}
		if f.current.CompareAndSwap(current, tables) {
			f.recordEdit(current, tables)
			f.onAdopt(tables)
			return true
		}
	}
}

// recordEdit appends the edit between two successive revisions to recentEdits, for peers that lack only the latest
// edits. It discards the older edits if a revision between the older edits and this edit is missing.
func (f *Follower) recordEdit(before, after *table.Tables) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if after.Revision != before.Revision+1 ||
		len(f.recentEdits) > 0 && f.recentEdits[len(f.recentEdits)-1].Base+1 != before.Revision {
		f.recentEdits = nil
	}
	if after.Revision != before.Revision+1 {
		return
	}
	f.recentEdits = append(f.recentEdits, table.Diff("", before, after))
	if len(f.recentEdits) > table.RecentEdits {
		f.recentEdits = f.recentEdits[1:]
	}
}

// EditsSince returns the edits from a revision to the held revision. It returns false if recentEdits does not hold all
// of these edits.
func (f *Follower) EditsSince(since table.Revision) ([]table.Edit, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, edit := range f.recentEdits {
		if edit.Base == since {
			return append([]table.Edit{}, f.recentEdits[i:]...), true
		}
	}
	return nil, false
}

// Age returns the time since the held revision was last confirmed to be the accepted one. It returns the maximum
// duration if the held revision was never confirmed.
func (f *Follower) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedAt.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(f.confirmedAt)
}

// NoteRevision records that a revision was accepted. This VM need not have the tables of that revision yet.
func (f *Follower) NoteRevision(revision table.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.highestKnown = max(f.highestKnown, revision)
}

// Behind reports whether a peer has announced an accepted revision that is higher than the held revision.
func (f *Follower) Behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highestKnown > f.Current().Revision
}

// ConfirmRevision records that a revision was the accepted revision at the given time. If the confirmed revision is
// lower than the held revision, the confirmation counts for the held revision; if it is higher, the confirmation is
// ignored.
func (f *Follower) ConfirmRevision(revision table.Revision, at time.Time) {
	if f.Current().Revision < revision {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// Refresh reads the head, the record of the accepted revision, from the store and adopts the tables of that revision if
// they are newer than the held tables.
func (f *Follower) Refresh(ctx context.Context) error {
	asked := time.Now()
	head, _, err := f.readHead(ctx)
	if err != nil {
		return err
	}
	return f.adoptHead(ctx, head, asked)
}

// Watch waits at most for the duration wait until the head, the store record of the accepted revision, changes, and
// adopts the tables of the new head. If Watch returns no error, the held revision was the accepted revision when Watch
// called the store.
func (f *Follower) Watch(ctx context.Context, wait time.Duration) error {
	asked := time.Now()
	changes, err := f.store.Changes(ctx, HeadKey, f.watchedRevision, wait)
	if err != nil {
		return err
	}
	if len(changes.Entries) == 0 {
		// The store reported no change during the whole wait, so the held revision was the accepted revision when the
		// call began.
		f.ConfirmRevision(f.Current().Revision, asked)
		return nil
	}
	head, err := decodeHead(changes.Entries[0])
	if err != nil {
		return err
	}
	if err := f.adoptHead(ctx, head, asked); err != nil {
		return err
	}
	f.watchedRevision = changes.Entries[0].Revision
	return nil
}

// adoptHead loads the tables that a head describes, adopts them if they are newer than the held tables, and confirms
// that the head's revision was the accepted revision at the time readAt.
func (f *Follower) adoptHead(ctx context.Context, head table.Head, readAt time.Time) error {
	if head.Revision > f.Current().Revision {
		tables, err := f.load(ctx, head)
		if err != nil {
			return err
		}
		f.Adopt(tables)
	}
	f.ConfirmRevision(head.Revision, readAt)
	return nil
}

// load returns the tables that a head describes. It applies the recent edits in the head to the held tables or, if the
// held tables are too old for that, to the snapshot that the head refers to.
func (f *Follower) load(ctx context.Context, head table.Head) (*table.Tables, error) {
	if tables, err := applyEdits(f.Current(), head); err == nil {
		return tables, nil
	}
	snapshot, err := f.readSnapshot(ctx, head.Snapshot)
	if err != nil {
		return nil, err
	}
	return applyEdits(snapshot, head)
}

// applyEdits applies the edits in the head that come after the revision of the given tables. It fails with ErrDamaged
// if the head lacks some of these edits.
func applyEdits(tables *table.Tables, head table.Head) (*table.Tables, error) {
	edits, complete := head.Since(tables.Revision)
	if !complete {
		return nil, ErrDamaged
	}
	return ApplyAll(tables, edits)
}

// ApplyAll applies successive edits to the given tables and returns the resulting tables.
func ApplyAll(tables *table.Tables, edits []table.Edit) (*table.Tables, error) {
	for _, edit := range edits {
		next, err := tables.Apply(edit)
		if err != nil {
			return nil, errors.WithMessage(ErrDamaged, err.Error())
		}
		tables = next
	}
	return tables, nil
}

func (f *Follower) readHead(ctx context.Context) (table.Head, platform.Revision, error) {
	entry, err := f.store.Get(ctx, HeadKey)
	if err != nil {
		return table.Head{}, 0, err
	}
	head, err := decodeHead(entry)
	return head, entry.Revision, err
}

func decodeHead(entry platform.Entry) (table.Head, error) {
	var head table.Head
	if len(entry.Value) == 0 {
		return head, nil
	}
	return head, errors.WithStack(json.Unmarshal(entry.Value, &head))
}
