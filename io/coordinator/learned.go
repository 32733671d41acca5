package coordinator

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/planner"
	"auburnstack/core/speed"
	"auburnstack/io/store"
)

const (
	// speedsKey is the key of the learned speeds of workers.
	speedsKey = "auburnstack/learned/speeds"
	// learnedInterval is the least time between two writes of the learned speeds.
	learnedInterval = 5 * time.Second
	// speedLogInterval is the least time between two log lines about the learned speeds.
	speedLogInterval = time.Minute
)

// learned is the state of the writes of what the leader has learned. It belongs to the control goroutine, except for
// the atomic fields.
type learned struct {
	// changes is the number of changes that the last write contains.
	changes           uint64
	writtenAt, logged time.Time
	inFlight, failed  atomic.Bool
}

// readLearned gives the planner what an earlier leader has learned. The planner begins without it if it is absent,
// unreadable or can't be read now.
func (t *term) readLearned(ctx context.Context) {
	if !t.config.Settings.LearnSpeeds {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := t.config.Store.Get(ctx, speedsKey)
	if errors.Is(err, store.ErrNotFound) {
		return
	}
	var summary speed.Summary
	if err == nil {
		err = json.Unmarshal(item.Value, &summary)
	}
	if err == nil {
		err = t.planner.RestoreSpeeds(summary, time.Now())
	}
	if err != nil {
		t.config.Log.Warn("learned speeds skipped", "key", speedsKey, "error", err.Error())
		return
	}
	t.learned.changes = t.planner.SpeedChanges()
	t.config.Log.Info("learned speeds read", "workers", len(summary.Workers),
		"age", time.Since(summary.At).Round(time.Second).String())
}

// storeLearned writes what the planner has learned if it has changed noticeably, at most once in learnedInterval. A
// write that fails is not repeated before the next interval.
func (t *term) storeLearned(ctx context.Context, now time.Time) {
	if now.Sub(t.learned.writtenAt) < learnedInterval || t.learned.inFlight.Load() {
		return
	}
	counts, learns := t.planner.SpeedCounts(now)
	if !learns {
		return
	}
	t.learned.writtenAt = now
	t.publishSpeeds(counts, now)
	changes := t.planner.SpeedChanges()
	if changes == t.learned.changes && !t.learned.failed.Load() {
		return
	}
	t.learned.changes = changes
	summary := t.planner.SpeedSummary(speed.MaxSummary, now)
	t.learned.inFlight.Store(true)
	t.spawn(func() {
		defer t.learned.inFlight.Store(false)
		err := t.putLearned(ctx, summary)
		t.learned.failed.Store(err != nil)
		if err != nil {
			t.config.Log.Debug("storing learned speeds failed", "error", err.Error())
		}
		t.config.Metrics.learnedStored(err)
	})
}

// putLearned writes a summary, of fewer workers if the store does not take values of that size. The write depends only
// on the leader's key.
func (t *term) putLearned(ctx context.Context, summary speed.Summary) error {
	value, err := json.Marshal(summary)
	for err == nil && t.config.ValueLimit > 0 && len(value) > t.config.ValueLimit/2 && len(summary.Workers) > 0 {
		summary.Workers = summary.Workers[:len(summary.Workers)/2]
		value, err = json.Marshal(summary)
	}
	if err != nil {
		return errors.WithStack(err)
	}
	transaction := store.Transaction{
		Conditions: []store.Condition{t.role.Condition()}, Puts: []store.Put{{Key: speedsKey, Value: value}},
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+transaction.TransferTime())
	defer cancel()
	_, err = t.config.Store.Commit(ctx, transaction)
	return err
}

// publishSpeeds updates the metrics of learned speeds and logs them now and then.
func (t *term) publishSpeeds(c planner.SpeedCounts, now time.Time) {
	t.config.Metrics.speedsLearned(c)
	if now.Sub(t.learned.logged) < speedLogInterval {
		return
	}
	t.learned.logged = now
	t.config.Log.Info("learned speeds of workers", "slow", c.Slow, "unknown", c.Unknown, "normal", c.Normal,
		"fast", c.Fast)
}
