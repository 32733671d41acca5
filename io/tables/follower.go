// Package tables keeps a VM's copy of the operators' tables and puts edits into the platform's service.
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

// HeadKey is the key of the head in the platform's service.
const HeadKey = "tables/head"

// Errors of the tables.
var (
	// ErrDamaged reports tables in the store that do not match their digest.
	ErrDamaged = errors.New("the stored tables do not match their head")
	// ErrUnknownEffect reports an edit that may have been accepted.
	ErrUnknownEffect = errors.New("the store did not confirm the edit, which may have been accepted")
)

// Follower holds the newest accepted revision that this VM knows. A lower revision never replaces a higher one.
type Follower struct {
	store   platform.Store
	current atomic.Pointer[table.Tables]

	mu sync.Mutex
	// confirmedAt is the newest time at which the held revision was known to be the accepted one.
	confirmedAt time.Time
	// highestKnown is the highest revision that any source named.
	highestKnown table.Revision
	// recentEdits holds the last edits without gaps, oldest first; the last one leads to the held revision.
	recentEdits []table.Edit
	// onAdopt is called with each new revision, without the lock.
	onAdopt func(*table.Tables)
	// watchedRevision is the store's revision up to which the head was followed; used by the watching goroutine only.
	watchedRevision platform.Revision
}

// New returns a follower of empty tables. adopted is called for each newer revision.
func New(store platform.Store, onAdopt func(*table.Tables)) *Follower {
	f := &Follower{store: store, onAdopt: onAdopt}
	f.current.Store(table.Empty())
	return f
}

// Current returns the newest revision known.
func (f *Follower) Current() *table.Tables {
	return f.current.Load()
}

// Adopt takes a revision from any source if it is newer, and tells whether it was.
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

// recordEdit keeps the difference to the last revision for peers that lack only this one.
func (f *Follower) recordEdit(before, after *table.Tables) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if after.Revision != before.Revision+1 || len(f.recentEdits) > 0 && f.recentEdits[len(f.recentEdits)-1].Base+1 != before.Revision {
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

// EditsSince returns the edits that lead from a revision to the held one, if they are all remembered.
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

// Age returns how long ago the held revision was proven to be the accepted one.
func (f *Follower) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedAt.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(f.confirmedAt)
}

// NoteRevision notes that a revision was accepted, whether or not it can be had yet.
func (f *Follower) NoteRevision(revision table.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.highestKnown = max(f.highestKnown, revision)
}

// Behind tells whether a higher revision than the held one is known to be accepted.
func (f *Follower) Behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highestKnown > f.Current().Revision
}

// ConfirmRevision notes that a revision was the accepted one at a time. It counts only while no newer revision is held
// and this one is not missing.
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

// Refresh reads the head and adopts what it leads to.
func (f *Follower) Refresh(ctx context.Context) error {
	asked := time.Now()
	head, _, err := f.readHead(ctx)
	if err != nil {
		return err
	}
	return f.adoptHead(ctx, head, asked)
}

// Watch waits for the head to change, at most the given time, and adopts what it leads to.
// Its return without an error proves the held revision as of its last call to the store.
func (f *Follower) Watch(ctx context.Context, wait time.Duration) error {
	asked := time.Now()
	changes, err := f.store.Changes(ctx, HeadKey, f.watchedRevision, wait)
	if err != nil {
		return err
	}
	if len(changes.Entries) == 0 {
		// The service kept the call open, so nothing changed before it answered.
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

// load builds the head's tables from the held ones and recent edits, or from the snapshot.
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

func applyEdits(tables *table.Tables, head table.Head) (*table.Tables, error) {
	edits, complete := head.Since(tables.Revision)
	if !complete {
		return nil, ErrDamaged
	}
	return ApplyAll(tables, edits)
}

// ApplyAll applies successive edits.
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
