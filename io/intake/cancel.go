package intake

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"auburnstack/core/answer"
	"auburnstack/io/coordinator"
	"auburnstack/io/store"
)

// cancel stores the cancellation of a job. The leader reads it from the store and stops the job. If there is no such
// job, cancel makes sure that there will be none: a submission that was sent before may still be on its way.
func (i *Intake) cancel(ctx context.Context, c *call) answer.Answer {
	item, err := i.get(ctx, coordinator.JobKey(c.id))
	if errors.Is(err, store.ErrNotFound) {
		return i.withdraw(ctx, c, store.Item{})
	}
	if err != nil {
		return i.relayOrFallback(ctx, c, i.refusal(err.Error()))
	}
	origin, err := coordinator.DecodeOrigin(item)
	if err != nil {
		return answer.Answer{Kind: answer.Unknown, Reason: err.Error()}
	}
	if a, rejected := c.rejectOther(origin); rejected {
		if !i.policyProven(c.snapshot) {
			return i.relayUntilProven(ctx, c)
		}
		return a
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

// withdraw stores that the caller has canceled a job that was not accepted, and answers that there is no such job. No
// submission that is still on its way can take effect then. The parameter earlier is the job's withdrawn key as far as
// it is known.
func (i *Intake) withdraw(ctx context.Context, c *call, earlier store.Item) answer.Answer {
	withdrawal, err := coordinator.DecodeWithdrawal(earlier)
	if err != nil {
		return answer.Answer{Kind: answer.Unknown, Reason: err.Error()}
	}
	origin := c.canceledOrigin()
	if withdrawal.Names(origin) {
		return noJob
	}
	value, err := json.Marshal(withdrawal.Add(origin))
	if err != nil {
		return answer.Answer{Kind: answer.Unknown, Reason: err.Error()}
	}
	jobKey, key := coordinator.JobKey(c.id), coordinator.WithdrawnKey(c.id)
	var next func() answer.Answer
	a := i.commit(ctx, c, store.Transaction{
		Conditions: []store.Condition{
			{Key: i.watcher.Key(), Revision: c.snapshot.Revision}, {Key: jobKey}, {Key: key, Revision: earlier.Revision},
		},
		Puts: []store.Put{{Key: key, Value: value}},
	}, func(conflict *store.ConflictError) (answer.Answer, bool) {
		switch item := conflict.Item(key); {
		case conflict.Item(jobKey).Revision != 0:
			next = func() answer.Answer { return i.cancel(ctx, c) }
		case item.Revision != earlier.Revision:
			next = func() answer.Answer { return i.withdraw(ctx, c, item) }
		default:
			return answer.Answer{}, false
		}
		return answer.Answer{}, true
	})
	switch {
	case next != nil:
		return next()
	case a.Kind == answer.Done:
		return noJob
	default:
		return a
	}
}
