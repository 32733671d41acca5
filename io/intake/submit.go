package intake

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/io/coordinator"
	"auburnstack/io/store"
	"auburnstack/io/wait"
)

// submit validates and stores a job. The transaction succeeds only if the configuration that the request was checked
// against is still the newest.
func (i *Intake) submit(ctx context.Context, c *call) answer.Answer {
	job, err := i.codec.DecodeJob(c.Body)
	if err != nil {
		return answer.Answer{Kind: answer.Invalid, Reason: err.Error()}
	}
	job.ID, job.ClientAccount, job.Queue, job.Accepted = c.id, c.account, c.queue.Name, time.Now()
	job.AcceptedBy = c.queue
	if err := job.Validate(); err != nil {
		return answer.Answer{Kind: answer.Invalid, Reason: err.Error()}
	}
	if err := job.CheckFit(c.queue.Service, i.site.Sizes()); err != nil {
		return answer.Answer{Kind: answer.Invalid, Reason: err.Error()}
	}
	value, err := json.Marshal(job)
	if err != nil {
		return answer.Answer{Kind: answer.Invalid, Reason: err.Error()}
	}
	if i.valueLimit > 0 && len(value) > i.valueLimit {
		return answer.Answer{Kind: answer.TooLarge, Reason: "the job is larger than the store can hold"}
	}
	key := coordinator.JobKey(job.ID)
	return i.commit(ctx, c, store.Transaction{
		Conditions: []store.Condition{{Key: i.watcher.Key(), Revision: c.snapshot.Revision}, {Key: key}},
		Puts:       []store.Put{{Key: key, Value: value}},
	}, func(conflict *store.ConflictError) (answer.Answer, bool) {
		return i.answerDuplicate(job, conflict.Item(key))
	})
}

// answerDuplicate answers a submission whose ID belongs to a stored job already: it confirms the submission if the
// stored job was submitted with the same content, and rejects it otherwise. The second result is false when no job has
// the ID.
func (i *Intake) answerDuplicate(job *graph.Job, item store.Item) (answer.Answer, bool) {
	if item.Revision == 0 {
		return answer.Answer{}, false
	}
	known, err := coordinator.DecodeJob(item)
	if err != nil {
		return answer.Answer{Kind: answer.Unknown, Reason: err.Error()}, true
	}
	if !known.SameSubmission(job) {
		return answer.Answer{Kind: answer.Invalid, Reason: "another job has this ID"}, true
	}
	return answer.Answer{Kind: answer.Done, Reason: "the job was accepted before"}, true
}

// cancel stores the cancellation of a job. The leader reads it from the store and stops the job.
func (i *Intake) cancel(ctx context.Context, c *call) answer.Answer {
	item, err := i.get(ctx, coordinator.JobKey(c.id))
	if errors.Is(err, store.ErrNotFound) {
		return answer.Answer{Kind: answer.NoJob, Reason: "no such job was accepted"}
	}
	if err != nil {
		return i.relayOrFallback(ctx, c, i.refusal(err.Error()))
	}
	job, err := coordinator.DecodeJob(item)
	if err != nil {
		return answer.Answer{Kind: answer.Unknown, Reason: err.Error()}
	}
	if job.ClientAccount != c.account && !c.queue.Anonymous {
		return answer.Answer{Kind: answer.Forbidden, Reason: "the job belongs to another account"}
	}
	key := coordinator.CancelKey(c.id)
	return i.commit(ctx, c, store.Transaction{
		Conditions: []store.Condition{
			{Key: i.watcher.Key(), Revision: c.snapshot.Revision}, {Key: item.Key, Revision: item.Revision}, {Key: key},
		},
		Puts: []store.Put{{Key: key, Value: []byte(c.account)}},
	}, func(conflict *store.ConflictError) (answer.Answer, bool) {
		switch {
		case conflict.Item(key).Revision != 0:
			return answer.Answer{Kind: answer.Done, Reason: "the job was canceled before"}, true
		case conflict.Item(item.Key).Revision == 0:
			return answer.Answer{Kind: answer.NoJob, Reason: "the job was removed"}, true
		default:
			return answer.Answer{}, false
		}
	})
}

// commit repeats a transaction until its outcome is known or the context ends. Once one attempt has ended with an
// unknown outcome, a refusal of a later attempt no longer proves that the transaction had no effect, so commit makes
// further attempts. The function resolveConflict returns the answer to a conflict; its second result is false when the
// conflict comes from a change of the configuration.
func (i *Intake) commit(
	ctx context.Context, c *call, t store.Transaction, resolveConflict func(*store.ConflictError) (answer.Answer, bool),
) answer.Answer {
	for {
		_, err := i.tryCommit(ctx, t)
		if err == nil {
			c.uncertain = false
			return answer.Answer{Kind: answer.Done}
		}
		var conflict *store.ConflictError
		switch {
		case errors.As(err, &conflict):
			if a, resolved := resolveConflict(conflict); resolved {
				c.uncertain = false
				return a
			}
			return i.retryWithNewPolicy(ctx, c, conflict)
		case errors.Is(err, store.ErrInvalid):
			return answer.Answer{Kind: answer.Invalid, Reason: err.Error()}
		case errors.Is(err, store.ErrRefused) && !c.uncertain:
			return i.relayOrFallback(ctx, c, i.refusal(err.Error()))
		case !errors.Is(err, store.ErrRefused):
			c.uncertain = true
		}
		if ctx.Err() != nil {
			return answer.Answer{Kind: answer.Unknown, Reason: err.Error()}
		}
		if a, settled := i.relayOnce(ctx, c); settled {
			return a
		}
		wait.For(ctx, storePause)
	}
}

func (i *Intake) tryCommit(ctx context.Context, t store.Transaction) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+t.TransferTime())
	defer cancel()
	return i.store.Commit(ctx, t)
}

// retryWithNewPolicy adopts the configuration that a conflict has returned, and handles the request again with it.
func (i *Intake) retryWithNewPolicy(ctx context.Context, c *call, conflict *store.ConflictError) answer.Answer {
	i.watcher.AdoptItem(conflict.Item(i.watcher.Key()))
	if i.watcher.Current().Revision == c.snapshot.Revision {
		return i.refusal("the configuration has changed")
	}
	if ctx.Err() != nil {
		return i.refusal("the configuration has changed")
	}
	return i.handle(ctx, c)
}
