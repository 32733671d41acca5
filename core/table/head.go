package table

// Limits of the edits in a Head, the store record that defines the current revision of the tables.
const (
	// RecentEdits is the maximum length of each of the lists Recent and RecentIDs of a Head.
	RecentEdits = 64
	// RecentBytes is the maximum total size in bytes of the changed rows of all edits in a Head.
	RecentBytes = 128 << 10
)

// SnapshotReference identifies a complete copy of the tables in the platform's store.
type SnapshotReference struct {
	Revision Revision
	// ID is the ID of the edit that created the revision.
	ID EditID
	// Chunks is the number of parts in which the copy is stored.
	Chunks int
}

// Head is the store record that defines the current revision of the tables. Writers replace it by compare-and-swap, so
// that only one of several concurrent edits is accepted.
type Head struct {
	Revision Revision
	Digest   string
	// Recent holds the last edits, oldest first, without gaps. The copy of the tables that Snapshot identifies contains
	// the effect of all earlier edits.
	Recent []Edit
	// RecentIDs lists the last accepted edits, including some that Recent no longer holds.
	RecentIDs []EditReference
	Snapshot  SnapshotReference
}

// EditReference maps an accepted edit to the revision that it created.
type EditReference struct {
	ID       EditID
	Revision Revision
}

// Accepted returns the revision that an edit created, and whether RecentIDs lists the edit.
func (h Head) Accepted(id EditID) (Revision, bool) {
	for _, reference := range h.RecentIDs {
		if reference.ID == id {
			return reference.Revision, true
		}
	}
	return 0, false
}

// Since returns the edits made after the given revision, and whether the head still holds all of them.
func (h Head) Since(revision Revision) ([]Edit, bool) {
	if revision >= h.Revision {
		return nil, true
	}
	missing := int(h.Revision - revision)
	if missing > len(h.Recent) {
		return nil, false
	}
	return h.Recent[len(h.Recent)-missing:], true
}

// Next returns the head after an edit. If the recent edits would then exceed RecentEdits or RecentBytes, Next drops all
// of them and sets needsSnapshot: the caller must write a snapshot (a complete copy of the tables) of the new revision
// before it replaces the head, as the old snapshot does not contain the dropped edits.
func (h Head) Next(edit Edit) (next Head, needsSnapshot bool) {
	next = Head{Revision: h.Revision + 1, Digest: edit.Digest, Snapshot: h.Snapshot}
	next.RecentIDs = append(next.RecentIDs, h.RecentIDs...)
	next.RecentIDs = append(next.RecentIDs, EditReference{ID: edit.ID, Revision: next.Revision})
	if len(next.RecentIDs) > RecentEdits {
		next.RecentIDs = next.RecentIDs[len(next.RecentIDs)-RecentEdits:]
	}
	recent := append(append([]Edit{}, h.Recent...), edit)
	if len(recent) <= RecentEdits && totalBytes(recent) <= RecentBytes {
		next.Recent = recent
		return next, false
	}
	return next, true
}

// totalBytes returns the total size in bytes of the changed rows of the edits.
func totalBytes(edits []Edit) int {
	total := 0
	for _, edit := range edits {
		for _, change := range edit.Changes {
			total += len(change.Section) + len(change.Text)
		}
	}
	return total
}
