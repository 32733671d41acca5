package intake

import (
	"context"
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
	job, err := i.decode(ctx, c)
	if err != nil {
		return i.answerCodingError(err)
	}
	if err := i.checkPossible(c, job); err != nil {
		return i.rejectImpossible(ctx, c, job, err)
	}
	value, err := i.encode(ctx, job)
	if err != nil {
		return i.answerCodingError(err)
	}
	if i.valueLimit > 0 && len(value) > i.valueLimit {
		return answer.Answer{Kind: answer.TooLarge, Reason: "the job is larger than the store can hold"}
	}
	if a, refused := i.admit(ctx, c, job); refused {
		return a
	}
	a := i.storeJob(ctx, c, job, value, 0)
	if a.Kind.DeniesEffect() || a.Kind == answer.NoJob {
		i.site.ReleaseJob(job)
	}
	return a
}

// checkPossible returns an error for a job that can never run: it fits no worker of its queue's service, or not the
// limit of its account.
func (i *Intake) checkPossible(c *call, job *graph.Job) error {
	if err := job.CheckFit(c.queue.Service, i.site.Sizes()); err != nil {
		return err
	}
	return job.CheckLimit(c.snapshot.Policy.Limit(c.account))
}

// rejectImpossible answers a submission of a job that can never run. It confirms a job that was accepted before, when
// the limit was higher or the queue had another service, and relays the submission if the configuration may have
// changed since.
func (i *Intake) rejectImpossible(ctx context.Context, c *call, job *graph.Job, reason error) answer.Answer {
	if !i.policyProven(c.snapshot) {
		return i.relayOrFallback(ctx, c, i.refusal("the configuration may be outdated: "+reason.Error()))
	}
	item, err := i.get(ctx, coordinator.JobKey(job.ID))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return i.relayOrFallback(ctx, c, i.refusal(err.Error()))
	}
	if a, duplicate := i.answerDuplicate(job, item); duplicate {
		return a
	}
	return answer.Answer{Kind: answer.Invalid, Reason: reason.Error()}
}

// storeJob stores a new job, unless it was canceled already. withdrawn is the revision of the job's withdrawn key as
// far as it is known: a key that names other queues or accounts only does not concern the job.
func (i *Intake) storeJob(
	ctx context.Context, c *call, job *graph.Job, value []byte, withdrawn store.Revision,
) answer.Answer {
	jobKey, withdrawnKey := coordinator.JobKey(job.ID), coordinator.WithdrawnKey(job.ID)
	var again bool
	a := i.commit(ctx, c, store.Transaction{
		Conditions: []store.Condition{
			{Key: i.watcher.Key(), Revision: c.snapshot.Revision}, {Key: jobKey}, {Key: withdrawnKey, Revision: withdrawn},
		},
		Puts: []store.Put{{Key: jobKey, Value: value}},
	}, func(conflict *store.ConflictError) (answer.Answer, bool) {
		if a, duplicate := i.answerDuplicate(job, conflict.Item(jobKey)); duplicate {
			return a, true
		}
		item := conflict.Item(withdrawnKey)
		if item.Revision == withdrawn {
			return answer.Answer{}, false
		}
		withdrawal, err := coordinator.DecodeWithdrawal(item)
		if err != nil {
			return answer.Answer{Kind: answer.Unknown, Reason: err.Error()}, true
		}
		if withdrawal.Concerns(job.Origin(), c.queue.Anonymous) {
			return answer.Answer{Kind: answer.NoJob, Reason: "the job was canceled before it was accepted"}, true
		}
		again, withdrawn = true, item.Revision
		return answer.Answer{}, true
	})
	if again {
		return i.storeJob(ctx, c, job, value, withdrawn)
	}
	return a
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

// commit repeats a transaction until its outcome is known or the context ends. Once one attempt has ended with an
// unknown outcome, a refusal of a later attempt no longer proves that the transaction had no effect, so commit makes
// further attempts. The function resolveConflict returns the answer to a conflict; its second result is false when the
// conflict comes from a change of the configuration. After such a change the request is handled again, since the new
// configuration may not allow it any more, unless an earlier attempt may have been carried out before the change.
func (i *Intake) commit(
	ctx context.Context, c *call, t store.Transaction, resolveConflict func(*store.ConflictError) (answer.Answer, bool),
) answer.Answer {
	for {
		asked := i.watcher.Now()
		_, err := i.tryCommit(ctx, t)
		if err == nil {
			c.uncertain = false
			return answer.Answer{Kind: answer.Done}
		}
		var conflict *store.ConflictError
		switch {
		case errors.As(err, &conflict):
			if !c.uncertain && i.policyChanged(c, conflict) {
				return i.retryWithNewPolicy(ctx, c, conflict, asked)
			}
			if a, resolved := resolveConflict(conflict); resolved {
				c.uncertain = false
				return a
			}
			return i.retryWithNewPolicy(ctx, c, conflict, asked)
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

// policyChanged reports whether a conflict shows another configuration than the one that a request was checked against.
func (i *Intake) policyChanged(c *call, conflict *store.ConflictError) bool {
	return conflict.Item(i.watcher.Key()).Revision != c.snapshot.Revision
}

// retryWithNewPolicy adopts the configuration that a conflict has returned, and handles the request again with it. The
// transaction was sent at the reading asked of the watcher's clock.
func (i *Intake) retryWithNewPolicy(
	ctx context.Context, c *call, conflict *store.ConflictError, asked time.Duration,
) answer.Answer {
	i.watcher.AdoptItem(conflict.Item(i.watcher.Key()), asked)
	if i.watcher.Current().Revision == c.snapshot.Revision {
		return i.refusal("the configuration has changed")
	}
	if ctx.Err() != nil {
		return i.refusal("the configuration has changed")
	}
	return i.handle(ctx, c)
}
