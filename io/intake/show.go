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
	if job, answered := i.site.JobState(ctx, c.id); answered && job.Known && job.Origin.Address.Known() {
		return c.showState(job.Origin, job.State)
	}
	// The leader may not answer or not tell the queue's address, or may not yet have read a job that was only just
	// accepted, so the store is read.
	origin, state, err := i.storedState(ctx, c.id)
	if errors.Is(err, store.ErrNotFound) {
		return noJob
	}
	if err != nil {
		return i.relayOrFallback(ctx, c, i.refusal(err.Error()))
	}
	return c.showState(origin, state)
}

// showState answers with the state of a job with the given origin, if the request concerns it.
func (c *call) showState(origin graph.Origin, state graph.State) answer.Answer {
	if a, rejected := c.rejectOther(origin); rejected {
		return a
	}
	return answer.Answer{Kind: answer.State, State: state}
}

func (i *Intake) showPending(ctx context.Context, c *call) answer.Answer {
	counts, age, known := i.site.Pending()
	if !known || age > maxCountsAge {
		return i.relayOrFallback(ctx, c, i.refusal("no leader has counted the jobs lately"))
	}
	count, counted := counts[c.queue.Key()]
	if !counted {
		// A leader of an earlier build counts by the queues' names.
		count = counts[c.queue.Name]
	}
	return answer.Answer{Kind: answer.Pending, Pending: count}
}

// storedState returns the origin and the state of a job according to the store, or store.ErrNotFound. The progress is
// read first, so that a job that is removed between the two reads does not look as if it had not started.
func (i *Intake) storedState(ctx context.Context, id graph.ID) (graph.Origin, graph.State, error) {
	progress, progressErr := i.get(ctx, coordinator.ProgressKey(id))
	if progressErr != nil && !errors.Is(progressErr, store.ErrNotFound) {
		return graph.Origin{}, "", progressErr
	}
	job, err := i.get(ctx, coordinator.JobKey(id))
	if err != nil {
		return graph.Origin{}, "", err
	}
	origin, err := coordinator.DecodeOrigin(job)
	if err != nil || progressErr != nil {
		return origin, graph.Queued, err
	}
	state, err := decodeState(progress)
	return origin, state, err
}

// decodeState returns the state of a job whose progress is stored.
func decodeState(item store.Item) (graph.State, error) {
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
