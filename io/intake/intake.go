// Package intake answers callers: it accepts and cancels jobs and tells their states. Any VM does so, whether it
// leads or not; a VM that the store does not answer passes requests on to one that it does.
package intake

import (
	"context"
	"math/rand/v2"
	"regexp"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"auburnstack/core/account"
	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/core/roster"
	"auburnstack/io/policywatch"
	"auburnstack/io/relay"
	"auburnstack/io/store"
	"auburnstack/io/wait"
)

const (
	// freshFor is the age of the last proof up to which a configuration decides that a caller is refused for good.
	freshFor = 1500 * time.Millisecond
	// shortRetry is when callers should come back after a refusal; longRetry once an outage lasts for longOutage.
	shortRetry = time.Second
	longRetry  = 2 * time.Second
	longOutage = 2 * time.Second
	// retrySpread spreads the returns of callers.
	retrySpread = 2 * time.Second
	// settleTime bounds the tries to learn the outcome of a submission that was passed on; settlePause is between them.
	settleTime  = 1500 * time.Millisecond
	settlePause = 200 * time.Millisecond
	// storeTimeout bounds one call to the store.
	storeTimeout = 900 * time.Millisecond
	// storePause is the pause between two tries of a call to the store.
	storePause = 60 * time.Millisecond
	// relayTimeout bounds a request that is passed on.
	relayTimeout = 1200 * time.Millisecond
)

// Codec reads submissions.
type Codec interface {
	// DecodeJob reads the body of a submission. The ID and the queue are not part of it.
	DecodeJob(body []byte) (*graph.Job, error)
}

// Site is what the intake needs to know of the other VMs.
type Site interface {
	// JobState asks the leader for the state of a job; the second result is false when no leader answers.
	JobState(ctx context.Context, id graph.ID) (relay.JobState, bool)
	// Pending counts the jobs of each queue of which no task has started, and tells how old the counts are.
	Pending() (map[string]int, time.Duration, bool)
	// Sizes lists the sizes that workers have had; empty until enough is known.
	Sizes() []roster.Size
	// Peers lists the VMs to pass requests on to, the best first.
	Peers() []relay.Peer
}

// Intake answers callers.
type Intake struct {
	store   *store.Monitor
	codec   Codec
	watcher *policywatch.Watcher
	site    Site
	metrics *Metrics
	log     hclog.Logger
	// relayed is when another VM has last answered for this one; nil if none has.
	relayed atomic.Pointer[time.Time]
}

// New returns an intake.
func New(
	s *store.Monitor, codec Codec, watcher *policywatch.Watcher, site Site, metrics *Metrics, log hclog.Logger,
) *Intake {
	return &Intake{store: s, codec: codec, watcher: watcher, site: site, metrics: metrics, log: log}
}

// call is a request on its way.
type call struct {
	relay.Request
	// relayed is set when another VM has passed the request on.
	relayed  bool
	snapshot *policywatch.Snapshot
	queue    policy.Queue
	account  account.Name
	id       graph.ID
}

// jobID is the form of a job's ID.
var jobID = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

// Handle answers a request by the context's deadline.
func (i *Intake) Handle(ctx context.Context, request relay.Request, relayed bool) answer.Answer {
	begun := time.Now()
	c := &call{Request: request, relayed: relayed}
	a := i.handle(ctx, c)
	took := time.Since(begun)
	i.metrics.answered(request.Method, a.Kind, took)
	i.logAnswer(c, a, took)
	return a
}

func (i *Intake) logAnswer(c *call, a answer.Answer, took time.Duration) {
	if a.Kind == answer.State || a.Kind == answer.Pending {
		return
	}
	log := i.log.Info
	if a.Kind != answer.Done {
		log = i.log.Warn
	}
	log("answered", "method", c.Method, "job", c.id, "queue", c.queue.Name, "answer", a.Kind.String(), "reason", a.Reason,
		"took", took.String(), "relayed", c.relayed, "policy", c.snapshot.Revision,
		"policyAge", time.Since(c.snapshot.ConfirmedAt).String())
}

func (i *Intake) handle(ctx context.Context, c *call) answer.Answer {
	c.snapshot = i.watcher.Current()
	if c.snapshot.Policy == nil {
		return i.passOn(ctx, c, i.refusal("no configuration is known yet"))
	}
	if !c.relayed && c.snapshot.ConfirmedAt.Before(i.relayedAt()) {
		return i.passOn(ctx, c, i.refusal("another VM may know a newer configuration"))
	}
	if refusal, refused := i.route(c); refused {
		if i.fresh(c.snapshot) {
			return refusal
		}
		return i.passOn(ctx, c, i.refusal("the configuration may be outdated: "+refusal.Reason))
	}
	if c.Method != "GET" && !i.store.Answering() {
		return i.passOn(ctx, c, i.refusal("the store does not answer"))
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

// route finds the queue, the account and the job that a request is about, or the reason to refuse it for good.
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
	rest := strings.TrimPrefix(c.Path, queue.Prefix)
	switch {
	case jobID.MatchString(rest):
		c.id = graph.ID(strings.ToLower(rest))
		return answer.Answer{}, false
	case rest == "" && c.Method == "GET":
		return answer.Answer{}, false
	default:
		return answer.Answer{Kind: answer.Invalid, Reason: "the path does not end with a job's ID"}, true
	}
}

func (i *Intake) fresh(snapshot *policywatch.Snapshot) bool {
	return time.Since(snapshot.ConfirmedAt) < freshFor
}

// refusal tells a caller to come back, later when an outage lasts and not all callers at once.
func (i *Intake) refusal(reason string) answer.Answer {
	retry := shortRetry
	if i.store.SinceLastAnswer() > longOutage {
		retry = longRetry
	}
	return answer.Answer{Kind: answer.Refused, RetryAfter: retry + rand.N(retrySpread), Reason: reason}
}

// passOn lets another VM answer, or returns the given answer when none does.
func (i *Intake) passOn(ctx context.Context, c *call, otherwise answer.Answer) answer.Answer {
	if a, answered := i.relayOnce(ctx, c); answered {
		return a
	}
	return otherwise
}

// relayOnce lets another VM answer, unless one has passed the request on already.
func (i *Intake) relayOnce(ctx context.Context, c *call) (answer.Answer, bool) {
	if c.relayed || ctx.Err() != nil {
		return answer.Answer{}, false
	}
	return i.relay(ctx, c)
}

// noteRelayed remembers that another VM has answered a caller by its configuration, which may be newer. This VM's own
// one counts again once it was proven the newest after that, so that no caller sees it go back.
func (i *Intake) noteRelayed(a answer.Answer) {
	if a.Kind != answer.Refused && a.Kind != answer.Unknown {
		now := time.Now()
		i.relayed.Store(&now)
	}
}

func (i *Intake) relayedAt() time.Time {
	if at := i.relayed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// relay lets another VM answer. A submission that one of them may have stored without answering is handed in again
// until its outcome is known, as its ID makes it one job.
func (i *Intake) relay(ctx context.Context, c *call) (answer.Answer, bool) {
	settle, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	uncertain := false
	for {
		a, answered, certain := i.relayRound(settle, c)
		if answered {
			i.noteRelayed(a)
			return a, true
		}
		uncertain = uncertain || !certain
		if !uncertain || c.Method != "POST" {
			return answer.Answer{}, false
		}
		wait.For(settle, settlePause)
		if settle.Err() != nil {
			a := i.refusal("a VM that took over the request has not answered")
			a.Kind = answer.Unknown
			return a, true
		}
	}
}

// relayRound asks other VMs in turn until one has an answer. The last result is false when one of them may have acted
// without answering.
func (i *Intake) relayRound(ctx context.Context, c *call) (a answer.Answer, answered, certain bool) {
	certain = true
	for _, peer := range i.site.Peers() {
		if ctx.Err() != nil {
			break
		}
		try, cancel := context.WithTimeout(ctx, relayTimeout)
		a, err := peer.Handle(try, c.Request)
		cancel()
		if err != nil {
			certain = certain && errors.Is(err, relay.ErrUnreachable)
			continue
		}
		if a.Kind != answer.Refused {
			return a, true, true
		}
	}
	return answer.Answer{}, false, certain
}
