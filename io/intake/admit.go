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

// memoryRetry is the time after which callers should retry a job for which the leader has no memory. Jobs free their
// memory only some time after their end.
const memoryRetry = 5 * time.Second

// admit checks whether the leader has the memory for a job. The second result is true if the job must not be stored;
// the first one is then the answer. A job beyond this VM's allowance is relayed, as the leader knows what it holds. A
// job that is stored already needs no memory, and must not be refused: a refusal says that the job never runs.
func (i *Intake) admit(ctx context.Context, c *call, job *graph.Job) (answer.Answer, bool) {
	admitted, leading := i.site.AdmitJob(job)
	if admitted {
		return answer.Answer{}, false
	}
	switch _, err := i.get(ctx, coordinator.JobKey(job.ID)); {
	case err == nil:
		return answer.Answer{}, false
	case !errors.Is(err, store.ErrNotFound):
		return i.relayOrFallback(ctx, c, i.refusal(err.Error())), true
	}
	refusal := i.refusal("the leader has no memory for a job of this size")
	refusal.RetryAfter += memoryRetry
	if leading {
		i.metrics.recordNoMemory()
		return refusal, true
	}
	return i.relayOrFallback(ctx, c, refusal), true
}
