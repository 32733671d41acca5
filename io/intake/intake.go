// Package intake answers callers: it accepts jobs, cancels them and reports their states. Every VM answers callers, not
// only the leader; a VM that does not reach the store relays requests to other VMs.
package intake

import (
	"context"
	"math/rand/v2"
	"regexp"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"auburnstack/core/account"
	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/core/roster"
	"auburnstack/io/policywatch"
	"auburnstack/io/relay"
	"auburnstack/io/store"
)

const (
	// shortRetry is the time after which callers should retry a refused request. longRetry is used instead of
	// shortRetry once an outage of the store has lasted for longOutage.
	shortRetry = time.Second
	longRetry  = 2 * time.Second
	longOutage = 2 * time.Second
	// retryJitter is the maximum random time that is added to shortRetry or longRetry, so that callers do not all retry
	// at once.
	retryJitter = 2 * time.Second
	// storeTimeout is the timeout of one call to the store.
	storeTimeout = 900 * time.Millisecond
	// storePause is the pause between two attempts to commit a transaction.
	storePause = 60 * time.Millisecond
)

// Codec decodes submissions.
type Codec interface {
	// DecodeJob decodes the body of a submission. The body holds neither the job's ID nor its queue.
	DecodeJob(body []byte) (*graph.Job, error)
}

// Site gives the intake access to the leader and the other VMs.
type Site interface {
	// JobState returns the state of a job as the leader knows it; the second result is false when no leader answers.
	JobState(ctx context.Context, id graph.ID) (relay.JobState, bool)
	// Pending returns, by the queues' keys, the number of jobs of which no task has started, and the age of these
	// counts. The third result is false when this VM does not lead and has received no counts from a leader.
	Pending() (map[string]int, time.Duration, bool)
	// Sizes lists the capacities that workers have had. The list is empty as long as neither this VM's own coordinator
	// nor the leader has provided capacities.
	Sizes() []roster.Size
	// AdmitJob reports whether this VM may store a job, as far as the leader's memory is concerned. If this VM does not
	// lead, the leader may still admit a job that this VM may not store by itself.
	AdmitJob(job *graph.Job) (admitted, leading bool)
	// ReleaseJob tells that a job that was admitted has not been stored.
	ReleaseJob(job *graph.Job)
	// Peers lists the VMs to relay requests to, the preferred ones first.
	Peers() []relay.Peer
}

// Intake answers the requests of callers, and requests that other VMs relay to this VM.
type Intake struct {
	store   *store.Monitor
	codec   Codec
	watcher *policywatch.Watcher
	// maxPolicyAge is the maximum time since this VM's configuration was last proven to be the newest. Within this time,
	// the intake answers by the configuration. After it, the configuration may be outdated: only transactions that the
	// store carries out if the configuration is still the newest may rely on it.
	maxPolicyAge time.Duration
	site         Site
	// valueLimit is the largest size of a value in the store in bytes; 0 means that there is no limit.
	valueLimit int
	metrics    *Metrics
	log        hclog.Logger
	// coding has a place for each submission that is being decoded or encoded.
	coding chan struct{}
	// lastRelayed is the reading of the watcher's clock, in nanoseconds, when another VM last answered a request that this
	// VM relayed; policywatch.Never if none has.
	lastRelayed atomic.Int64
}

// New returns an intake that reads configurations from the watcher and stores jobs in the store s, whose values have at
// most valueLimit bytes. 0 means that there is no limit. applyLimit is the time within which a change of the
// configuration must be in force.
func New(
	s *store.Monitor, codec Codec, watcher *policywatch.Watcher, site Site, applyLimit time.Duration, valueLimit int,
	metrics *Metrics, log hclog.Logger,
) *Intake {
	i := &Intake{
		store: s, codec: codec, watcher: watcher, maxPolicyAge: policywatch.MaxAge(applyLimit), site: site,
		valueLimit: valueLimit, metrics: metrics, log: log, coding: make(chan struct{}, codingPlaces),
	}
	i.lastRelayed.Store(int64(policywatch.Never))
	return i
}

// call is a request that is being handled, with its queue, client account and job as far as they have been determined.
type call struct {
	relay.Request
	// relayed is set when another VM has relayed the request to this VM.
	relayed  bool
	snapshot *policywatch.Snapshot
	queue    policy.Queue
	account  account.Name
	id       graph.ID
	// uncertain is set while an attempt to carry out the request may have had an effect, or may still have one. An
	// attempt is a transaction of this VM whose outcome is unknown, or a relay without a final answer.
	uncertain bool
}

// leavesOpen reports whether an answer leaves open what became of the request. A denial does so if an earlier attempt
// may have taken effect: another VM may judge by a newer configuration, or may not see the effect yet.
func (c *call) leavesOpen(a answer.Answer) bool {
	return a.Kind == answer.Unknown || c.uncertain && a.Kind.DeniesEffect()
}

// finalAnswer returns the answer to pass on. It replaces a denial that an uncertain attempt may make false.
func (c *call) finalAnswer(a answer.Answer) answer.Answer {
	if c.leavesOpen(a) {
		a.Kind = answer.Unknown
	}
	return a
}

// jobID matches the ID of a job.
var jobID = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

// Handle answers a request by the context's deadline. relayed is set when another VM has relayed the request to this
// VM; a relayed request is not relayed again.
func (i *Intake) Handle(ctx context.Context, request relay.Request, relayed bool) answer.Answer {
	started := time.Now()
	c := &call{Request: request, relayed: relayed}
	a := c.finalAnswer(i.handle(ctx, c))
	elapsed := time.Since(started)
	i.metrics.recordAnswer(request.Method, a.Kind, elapsed)
	i.logAnswer(c, a, elapsed)
	return a
}

// logAnswer logs the answer to a submission or cancellation, and any failure. It logs successful reads only if the
// configuration was not proven to be the newest within maxPolicyAge.
func (i *Intake) logAnswer(c *call, a answer.Answer, elapsed time.Duration) {
	shown := a.Kind == answer.State || a.Kind == answer.Pending
	age := i.watcher.Age(c.snapshot)
	if age > i.maxPolicyAge {
		i.metrics.recordUnconfirmed(c.Method, a.Kind)
	} else if shown {
		return
	}
	log := i.log.Info
	if a.Kind != answer.Done && !shown {
		log = i.log.Warn
	}
	log("answered", "method", c.Method, "job", c.id, "queue", c.queue.Name, "answer", a.Kind.String(), "reason", a.Reason,
		"took", elapsed.String(), "relayed", c.relayed, "policy", c.snapshot.Revision,
		"policyAge", age.String(), "uncertain", c.uncertain)
}

// handle checks a request against the current configuration and carries it out. It relays the request if the
// configuration may be outdated, or if the store does not answer. Submissions and cancellations that the configuration
// allows need no proof that it is the newest: their transactions require it.
func (i *Intake) handle(ctx context.Context, c *call) answer.Answer {
	c.snapshot = i.watcher.Current()
	if c.snapshot.Policy == nil {
		return i.relayOrFallback(ctx, c, i.refusal("no configuration is known yet"))
	}
	if !c.relayed && i.superseded(c.snapshot) {
		return i.relayOrFallback(ctx, c, i.refusal("another VM may know a newer configuration"))
	}
	refusal, refused := i.route(c)
	if (refused || c.Method == "GET") && !i.policyProven(c.snapshot) {
		return i.relayUntilProven(ctx, c)
	}
	if refused {
		return refusal
	}
	if c.Method != "GET" && !i.store.Answering() {
		return i.relayOrFallback(ctx, c, i.refusal("the store does not answer"))
	}
	switch c.Method {
	case "POST":
		return i.submit(ctx, c)
	case "DELETE":
		return i.cancel(ctx, c)
	default:
		return i.show(ctx, c)
	}
}

// route sets the queue, the client account and the job of a request. If the request is invalid, it returns the answer
// that rejects it and true.
func (i *Intake) route(c *call) (answer.Answer, bool) {
	queue, found := c.snapshot.Policy.Route(c.Host, c.Path)
	if !found {
		return answer.Answer{Kind: answer.NoQueue, Reason: "no queue has this path"}, true
	}
	c.queue = queue
	if name, known := c.snapshot.Policy.Authenticate(c.Key); known {
		c.account = name
	} else if !queue.Anonymous {
		return answer.Answer{Kind: answer.NoKey, Reason: "the key belongs to no account"}, true
	}
	suffix := strings.TrimPrefix(c.Path, queue.Prefix)
	switch {
	case jobID.MatchString(suffix):
		c.id = graph.ID(strings.ToLower(suffix))
		return answer.Answer{}, false
	case suffix == "" && c.Method == "GET":
		return answer.Answer{}, false
	default:
		return answer.Answer{Kind: answer.Invalid, Reason: "the path does not end with a job's ID"}, true
	}
}

// policyProven reports whether a configuration was recently proven to be the newest.
func (i *Intake) policyProven(snapshot *policywatch.Snapshot) bool {
	return i.watcher.Age(snapshot) < i.maxPolicyAge
}

// refusal returns an answer that asks the caller to retry after a random time, which is longer when the store has not
// answered for a while.
func (i *Intake) refusal(reason string) answer.Answer {
	retry := shortRetry
	if i.store.SinceLastAnswer() > longOutage {
		retry = longRetry
	}
	return answer.Answer{Kind: answer.Refused, RetryAfter: retry + rand.N(retryJitter), Reason: reason}
}
