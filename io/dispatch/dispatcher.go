// Package dispatch runs urgent requests on the slots of endpoints: it admits a request, chooses an endpoint, retries
// within a budget, and returns the outcome to the caller.
package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/account"
	"auburnstack/core/admission"
	"auburnstack/core/balance"
	core "auburnstack/core/endpoint"
	"auburnstack/core/request"
	"auburnstack/core/vm"
	"auburnstack/io/claim"
	"auburnstack/io/endpoint"
)

const (
	// maxAttempts is the maximum number of attempts to run one request.
	maxAttempts = 6
	// retryShare is the number of retries that each request adds to the retry budget.
	retryShare = 0.2
	// retryBurst is the maximum number of retries in the retry budget.
	retryBurst = 100
	// busyPause is the first pause before another attempt when every endpoint is busy. It doubles up to maxBusyPause.
	busyPause    = 2 * time.Millisecond
	maxBusyPause = 50 * time.Millisecond
	// overcommit is the ratio of a VM's admission capacity to its equal share of all slots. It is above 1 because callers
	// may be distributed unevenly among the VMs.
	overcommit = 2
	// minCapacity is the least admission capacity of a VM, which also applies while it knows no endpoint.
	minCapacity = 8
)

// Workers finds the connection to an endpoint.
type Workers interface {
	Worker(target core.Endpoint) endpoint.Worker
}

// Claims is the part of claim.Book that the dispatcher needs.
type Claims interface {
	Claim(ctx context.Context, owner account.Name, id request.ID, token claim.Token) error
	Release(owner account.Name, id request.ID, token claim.Token)
	ReleaseLater(owner account.Name, id request.ID, token claim.Token)
}

// TablesRefresher updates the routing tables before requests are routed by them.
type TablesRefresher interface {
	// AwaitCurrentTables updates the tables if nothing has proven them current for a while, for example after the whole
	// process was paused. It returns after a bounded time, even if no source of newer tables can be reached.
	AwaitCurrentTables(ctx context.Context)
}

// Dispatcher runs requests on endpoints. It is safe for concurrent use.
type Dispatcher struct {
	self    vm.Name
	workers Workers
	claims  Claims
	tables  TablesRefresher
	// onEjected is called when an endpoint is ejected, that is, gets no requests for some time after consecutive
	// failures.
	onEjected func(core.Name)

	mu        sync.Mutex
	admission *admission.Controller
	balancer  *balance.Balancer
	// retryBudget is the number of retries that may be made now.
	retryBudget float64

	// incarnation is a random number that makes the IDs of attempts differ between restarts of the process.
	incarnation uint64
	attempts    atomic.Uint64
	leaving     atomic.Bool
	inFlight    sync.WaitGroup
}

// New returns a dispatcher without endpoints. It calls the function ejected when an endpoint is ejected.
func New(
	self vm.VM, accounts []account.Account, workers Workers, claims Claims, refresher TablesRefresher,
	random *rand.Rand, ejected func(core.Name),
) *Dispatcher {
	return &Dispatcher{
		self: self.Name, workers: workers, claims: claims, tables: refresher, onEjected: ejected,
		incarnation: random.Uint64(),
		admission:   admission.New(accounts, minCapacity),
		balancer:    balance.New(balance.PowerOfTwo{}, self.FailureDomain, random),
	}
}

// SetEndpoints replaces the endpoints that get new requests, and sets the admission capacity from their slots.
func (d *Dispatcher) SetEndpoints(endpoints []core.Endpoint, liveVMs int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.SetEndpoints(endpoints, liveVMs)
	capacity := max(overcommit*d.balancer.Slots()/max(liveVMs, 1), minCapacity)
	admitAll(d.admission.SetCapacity(capacity, time.Now()))
}

// InFlight returns the numbers of running and of queued requests.
func (d *Dispatcher) InFlight() (running, queued int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.admission.InFlight(), d.admission.Queued()
}

// Leave makes the dispatcher refuse new requests from now on.
func (d *Dispatcher) Leave() {
	d.leaving.Store(true)
}

// Close makes the dispatcher refuse new requests, and waits for the requests in flight.
func (d *Dispatcher) Close() {
	d.Leave()
	d.inFlight.Wait()
}

// Do runs a request and returns its outcome, at the request's deadline at the latest.
func (d *Dispatcher) Do(ctx context.Context, r request.Request) request.Outcome {
	d.inFlight.Add(1)
	defer d.inFlight.Done()
	if d.leaving.Load() {
		return request.NotRun{Reason: request.Leaving}
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if refused := d.admit(ctx, r); refused != nil {
		return refused
	}
	began := time.Now()
	defer func() { d.releaseCapacity(r, time.Since(began)) }()
	if r.Idempotent || !r.CallerChoseID {
		return d.run(ctx, r)
	}
	return d.runClaimed(ctx, r)
}

// admit waits until the request is admitted and returns nil. If the request is not admitted, it returns the outcome for
// the caller.
func (d *Dispatcher) admit(ctx context.Context, r request.Request) request.Outcome {
	d.mu.Lock()
	decision := d.admission.Offer(r.ClientAccount, r.Class, r.Deadline, time.Now())
	d.mu.Unlock()
	switch decided := decision.(type) {
	case admission.Refuse:
		return request.NotRun{Reason: decided.Reason}
	case admission.Queue:
		return d.waitForTurn(ctx, decided.Ticket)
	default:
		return nil
	}
}

// waitForTurn waits until a queued request is admitted. If the context ends first, waitForTurn removes the request from
// the queue. If the request was admitted at the same moment, waitForTurn gives back the request's capacity instead.
func (d *Dispatcher) waitForTurn(ctx context.Context, ticket *admission.Ticket) request.Outcome {
	select {
	case <-ticket.Admitted:
		return nil
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.admission.Abandon(ticket) {
		admitAll(d.admission.Done(ticket.Account, ticket.Class, 0, time.Now()))
	}
	return request.NotRun{Reason: contextReason(ctx)}
}

func (d *Dispatcher) releaseCapacity(r request.Request, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	admitAll(d.admission.Done(r.ClientAccount, r.Class, took, time.Now()))
}

func admitAll(tickets []*admission.Ticket) {
	for _, ticket := range tickets {
		close(ticket.Admitted)
	}
}

// runClaimed claims a non-idempotent request whose ID the caller has chosen, and then runs it. It releases the claim if
// the request was not run.
func (d *Dispatcher) runClaimed(ctx context.Context, r request.Request) request.Outcome {
	token := claim.Token(d.newAttempt())
	err := d.claims.Claim(ctx, r.ClientAccount, r.ID, token)
	if errors.Is(err, claim.ErrClaimed) {
		return request.Unknown{Reason: request.AlreadyClaimed}
	}
	if err != nil {
		// The claim may have been stored although the store did not confirm it.
		d.claims.ReleaseLater(r.ClientAccount, r.ID, token)
		return request.NotRun{Reason: request.StoreUnavailable}
	}
	outcome := d.run(ctx, r)
	if _, notRun := outcome.(request.NotRun); notRun {
		d.claims.Release(r.ClientAccount, r.ID, token)
	}
	return outcome
}

// run tries endpoints until one answers or another attempt is not allowed. An attempt is not allowed if the request
// might run twice, the retry budget is empty, maxAttempts is reached or the deadline has passed.
func (d *Dispatcher) run(ctx context.Context, r request.Request) request.Outcome {
	d.earnRetries()
	var tried []core.Name
	var last request.Outcome = request.NotRun{Reason: request.NoEndpoint}
	pause := busyPause
	for attempt := 0; attempt < maxAttempts && ctx.Err() == nil; {
		d.tables.AwaitCurrentTables(ctx)
		target, ok := d.acquireEndpoint(tried)
		if !ok {
			if !d.waitForSlot(ctx, &pause) {
				break
			}
			tried = nil
			continue
		}
		attempt++
		tried = append(tried, target.Name)
		outcome := d.tryEndpoint(ctx, r, target)
		if _, answered := outcome.(request.Answered); answered {
			return outcome
		}
		last = combineOutcomes(last, outcome)
		if !request.MayRetry(r, outcome) || !d.spendRetry(outcome) {
			return last
		}
	}
	return d.finalOutcome(ctx, last)
}

// waitForSlot waits for the given pause before the next attempt and doubles the pause. It returns false if the
// dispatcher has no endpoint or if the context ends first.
func (d *Dispatcher) waitForSlot(ctx context.Context, pause *time.Duration) bool {
	d.mu.Lock()
	slots := d.balancer.Slots()
	d.mu.Unlock()
	if slots == 0 {
		return false
	}
	select {
	case <-time.After(*pause):
		*pause = min(*pause*2, maxBusyPause)
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *Dispatcher) acquireEndpoint(tried []core.Name) (core.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.Acquire(time.Now(), tried)
}

// tryEndpoint sends the request to one endpoint and returns the outcome of this attempt.
func (d *Dispatcher) tryEndpoint(ctx context.Context, r request.Request, target core.Endpoint) request.Outcome {
	reply, err := d.workers.Worker(target).Run(ctx, endpoint.Run{
		Attempt: request.AttemptID(d.newAttempt()), Request: r.ID, Kind: r.Kind, Body: r.Body,
	})
	d.recordResult(target, reply, err)
	return outcomeOf(reply, err)
}

func (d *Dispatcher) recordResult(target core.Endpoint, reply endpoint.RunReply, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	busy := reply.Busy
	if errors.Is(err, endpoint.ErrRefused) {
		busy = target.Slots
	}
	d.balancer.Release(target.Name, busy, now)
	switch {
	case err == nil:
		d.balancer.Succeeded(target.Name)
	case errors.Is(err, endpoint.ErrRefused), errors.Is(err, context.Canceled):
	default:
		if d.balancer.Failed(target.Name, now) {
			d.onEjected(target.Name)
		}
	}
}

func (d *Dispatcher) earnRetries() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryBudget = min(d.retryBudget+retryShare, retryBurst)
}

// spendRetry takes one retry from the budget and reports whether the budget had one. A retry after an attempt that did
// not run costs nothing, since that attempt put no load on an endpoint.
func (d *Dispatcher) spendRetry(outcome request.Outcome) bool {
	if _, notRun := outcome.(request.NotRun); notRun {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.retryBudget < 1 {
		return false
	}
	d.retryBudget--
	return true
}

func (d *Dispatcher) newAttempt() string {
	return fmt.Sprintf("%s-%x-%d", d.self, d.incarnation, d.attempts.Add(1))
}
