package intake

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/io/coordinator"
	"auburnstack/io/store"
)

// maxCountsAge is the maximum age of the leader's counts of pending jobs that are returned to callers.
const maxCountsAge = 4 * time.Second

// show answers with the state of a job, or with the number of pending jobs of a queue if the request names no job.
func (i *Intake) show(ctx context.Context, c *call) answer.Answer {
	if c.id == "" {
		return i.showPending(ctx, c)
	}
	if job, answered := i.site.JobState(ctx, c.id); answered && job.Known {
		return answer.Answer{Kind: answer.State, State: job.State}
	}
	// The leader may not answer, or may not yet have read a job that was only just accepted, so the store is read.
	state, err := i.storedState(ctx, c.id)
	if errors.Is(err, store.ErrNotFound) {
		return answer.Answer{Kind: answer.NoJob, Reason: "no such job was accepted"}
	}
	if err != nil {
		return i.relayOrFallback(ctx, c, i.refusal(err.Error()))
	}
	return answer.Answer{Kind: answer.State, State: state}
}

func (i *Intake) showPending(ctx context.Context, c *call) answer.Answer {
	counts, age, known := i.site.Pending()
	if !known || age > maxCountsAge {
		return i.relayOrFallback(ctx, c, i.refusal("no leader has counted the jobs lately"))
	}
	return answer.Answer{Kind: answer.Pending, Pending: counts[c.queue.Name]}
}

// storedState returns the state of a job according to the store, or store.ErrNotFound.
func (i *Intake) storedState(ctx context.Context, id graph.ID) (graph.State, error) {
	item, err := i.get(ctx, coordinator.ProgressKey(id))
	if errors.Is(err, store.ErrNotFound) {
		_, err = i.get(ctx, coordinator.JobKey(id))
		return graph.Queued, err
	}
	if err != nil {
		return "", err
	}
	progress, err := coordinator.DecodeProgress(item)
	if err != nil {
		return "", err
	}
	if !progress.State.Final() && len(progress.Units) > 0 {
		return graph.Running, nil
	}
	return progress.State, nil
}

func (i *Intake) get(ctx context.Context, key string) (store.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return i.store.Get(ctx, key)
}
