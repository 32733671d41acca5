package coordinator

import (
	"context"
	"slices"
	"time"

	"auburnstack/io/store"
	"auburnstack/io/wait"
)

const (
	// withdrawnInterval is the time between two readings of all withdrawn jobs.
	withdrawnInterval = 30 * time.Second
	// maxWithdrawnRemoved is the largest number of keys that one transaction removes. Each needs a condition and a
	// removal, and the check of the leader key needs one more condition.
	maxWithdrawnRemoved = (store.MaxEntries - 1) / 2
)

// withdrawnKey is a WithdrawnKey as it was first read.
type withdrawnKey struct {
	revision store.Revision
	readAt   time.Time
}

// removeWithdrawn removes the keys of withdrawn jobs once no submission that was sent before can be on its way any
// more: after the retention time of jobs, counted from the leader's first reading of the key.
func (t *term) removeWithdrawn(ctx context.Context) {
	known := map[string]withdrawnKey{}
	for {
		wait.For(ctx, withdrawnInterval)
		if ctx.Err() != nil || !t.role.Valid() {
			return
		}
		read, err := t.readWithdrawn(ctx, known)
		if err != nil {
			t.config.Log.Warn("reading withdrawn jobs failed", "error", err.Error())
			continue
		}
		known = read
		t.removeExpiredWithdrawn(ctx, known)
	}
}

// readWithdrawn returns the keys of withdrawn jobs. Those that are known keep the time at which they were read first.
func (t *term) readWithdrawn(ctx context.Context, known map[string]withdrawnKey) (map[string]withdrawnKey, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	page, err := t.config.Store.Range(ctx, withdrawnPrefix)
	if err != nil {
		return nil, err
	}
	read := map[string]withdrawnKey{}
	for _, item := range page.Items {
		read[item.Key] = withdrawnKey{revision: item.Revision, readAt: time.Now()}
		if earlier, found := known[item.Key]; found && earlier.revision == item.Revision {
			read[item.Key] = earlier
		}
	}
	return read, nil
}

func (t *term) removeExpiredWithdrawn(ctx context.Context, known map[string]withdrawnKey) {
	var expired []string
	for key, k := range known {
		if time.Since(k.readAt) > t.config.Settings.RetainFinal {
			expired = append(expired, key)
		}
	}
	for batch := range slices.Chunk(expired, maxWithdrawnRemoved) {
		conditions := []store.Condition{t.role.Condition()}
		for _, key := range batch {
			conditions = append(conditions, store.Condition{Key: key, Revision: known[key].revision})
		}
		if err := t.remove(ctx, conditions, batch); err != nil {
			// The keys are still there when they are read again.
			t.config.Log.Warn("removing withdrawn jobs failed", "keys", len(batch), "error", err.Error())
		}
	}
}
