package intake

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/answer"
	"auburnstack/io/policywatch"
	"auburnstack/io/relay"
	"auburnstack/io/wait"
)

const (
	// outcomeTimeout is the maximum time for relaying a request, including the repetitions of a request whose outcome is
	// unknown. outcomeRetryPause is the pause between these repetitions.
	outcomeTimeout    = 1500 * time.Millisecond
	outcomeRetryPause = 200 * time.Millisecond
	// relayTimeout is the timeout of one attempt to relay a request to another VM.
	relayTimeout = 1200 * time.Millisecond
	// proofTimeout is the time for which a request waits for a proof that the configuration is the newest after no other
	// VM could answer it. proofPause is the time between two looks.
	proofTimeout = 600 * time.Millisecond
	proofPause   = 50 * time.Millisecond
)

// relayOrFallback relays the request, and returns the answer of another VM, or the fallback if no VM has given a final
// one. It repeats a request whose outcome is uncertain until the outcome is known. This is safe because submissions and
// cancellations are idempotent: the job's ID identifies repetitions.
func (i *Intake) relayOrFallback(ctx context.Context, c *call, fallback answer.Answer) answer.Answer {
	relayCtx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	for {
		if a, settled := i.relayOnce(relayCtx, c); settled {
			return a
		}
		if !c.uncertain || c.relayed {
			return fallback
		}
		wait.For(relayCtx, outcomeRetryPause)
		if relayCtx.Err() != nil {
			fallback.Reason = "a VM that took over the request has not confirmed it"
			return fallback
		}
	}
}

// relayUntilProven relays a request that this VM's configuration can't decide, as it may be outdated. If no VM gives a
// final answer, relayUntilProven waits for a proof for a while, and then handles the request by the proven
// configuration.
func (i *Intake) relayUntilProven(ctx context.Context, c *call) answer.Answer {
	outdated := i.refusal("the configuration may be outdated")
	a := i.relayOrFallback(ctx, c, outdated)
	if a != outdated || c.relayed {
		return a
	}
	waitCtx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	for waitCtx.Err() == nil {
		wait.For(waitCtx, proofPause)
		if current := i.watcher.Current(); i.policyProven(current) && !i.superseded(current) {
			return i.handle(ctx, c)
		}
	}
	return outdated
}

// relayOnce relays the request to the other VMs in turn, unless another VM has already relayed it to this VM. The
// second result is false if no VM has given a final answer.
func (i *Intake) relayOnce(ctx context.Context, c *call) (answer.Answer, bool) {
	if c.relayed || ctx.Err() != nil {
		return answer.Answer{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	a, answered, certain := i.relayRound(ctx, c)
	if !certain && c.Method != "GET" {
		c.uncertain = true
	}
	if answered {
		i.recordRelayed(a)
	}
	return a, answered && !c.leavesOpen(a)
}

// relayRound sends the request to the other VMs in turn until one answers with anything but a refusal. The result named
// certain is false if a VM may have carried out the request: it has not answered, or it does not know the outcome.
func (i *Intake) relayRound(ctx context.Context, c *call) (a answer.Answer, answered, certain bool) {
	certain = true
	for _, peer := range i.site.Peers() {
		if ctx.Err() != nil {
			break
		}
		attemptCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		a, err := peer.Handle(attemptCtx, c.Request)
		cancel()
		switch {
		case err != nil:
			certain = certain && errors.Is(err, relay.ErrUnreachable)
		case a.Kind == answer.Unknown:
			return a, true, false
		case a.Kind != answer.Refused:
			return a, true, certain
		}
	}
	return answer.Answer{}, false, certain
}

// recordRelayed records that another VM has answered a caller according to its configuration, which may be newer than
// this VM's. From then on, this VM uses its own configuration only if it was the newest after this answer.
// Otherwise a caller could get an answer according to the new configuration, followed by an answer according to the old
// configuration.
func (i *Intake) recordRelayed(a answer.Answer) {
	if a.Kind != answer.Refused && a.Kind != answer.Unknown {
		i.lastRelayed.Store(int64(i.watcher.Now()))
	}
}

// superseded reports whether another VM has answered a caller since a snapshot was last proven to be the newest,
// perhaps according to a newer one.
func (i *Intake) superseded(snapshot *policywatch.Snapshot) bool {
	return int64(snapshot.CurrentAt) < i.lastRelayed.Load()
}
