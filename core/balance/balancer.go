package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
)

const (
	// ejectAfter is the number of consecutive failures after which an endpoint is ejected: it gets no requests for a
	// time.
	ejectAfter = 5
	// ejectTime is the duration of an endpoint's first ejection. The n-th ejection without a success in between lasts n
	// times as long, up to maxEjectTime.
	ejectTime = 5 * time.Second
	// maxEjectTime is the maximum duration of an ejection.
	maxEjectTime = time.Minute
	// ejectDivisor limits the ejected endpoints to a third of all, so that a request that fails on every endpoint
	// cannot eject all of them.
	ejectDivisor = 3
	// busyReportTTL is the time after which an endpoint's report of its busy slots is ignored.
	busyReportTTL = 100 * time.Millisecond
)

// endpointState is an endpoint with its load and its failures, as seen by this VM.
type endpointState struct {
	endpoint.Endpoint
	// inFlight is the number of requests from this VM in flight.
	inFlight int
	// connections is this VM's share of the connections that the endpoint accepts.
	connections int
	// reportedBusy is the number of busy slots that the endpoint reported at reportedAt.
	reportedBusy int
	reportedAt   time.Time
	// failures is the number of consecutive failures since the last success or ejection.
	failures int
	// ejections is the number of ejections since the last success.
	ejections int
	// ejectedUntil is the end of the last ejection; zero if the endpoint was never ejected.
	ejectedUntil time.Time
	// listed is set if the last SetEndpoints contained the endpoint.
	listed bool
}

// load estimates the number of the endpoint's slots that are in use, by all VMs if its last report is recent enough,
// otherwise by this VM alone.
func (e *endpointState) load(now time.Time) int {
	if now.Sub(e.reportedAt) < busyReportTTL {
		return max(e.inFlight, e.reportedBusy)
	}
	return e.inFlight
}

// Balancer tracks the load of endpoints and chooses an endpoint for each request. It is not safe for concurrent use.
type Balancer struct {
	policy      Policy
	localDomain domain.Name
	random      *rand.Rand
	byName      map[endpoint.Name]*endpointState
	// local lists the endpoints of this VM's own failure domain, and remote lists the endpoints of all other failure
	// domains.
	local  []*endpointState
	remote []*endpointState
	// roundRobinCount is the number of choices made by the RoundRobin policy.
	roundRobinCount int
}

// New returns a balancer without endpoints. The balancer prefers endpoints in the failure domain localDomain.
func New(policy Policy, localDomain domain.Name, random *rand.Rand) *Balancer {
	return &Balancer{policy: policy, localDomain: localDomain, random: random, byName: map[endpoint.Name]*endpointState{}}
}

// SetEndpoints replaces the endpoints that may get new requests. Each endpoint's connections are divided among the
// given number of live VMs. An endpoint that is no longer listed is forgotten unless it has requests in flight.
func (b *Balancer) SetEndpoints(endpoints []endpoint.Endpoint, liveVMs int) {
	for _, e := range b.byName {
		e.listed = false
	}
	b.local, b.remote = nil, nil
	for _, e := range endpoints {
		b.addEndpoint(e, liveVMs)
	}
	for name, e := range b.byName {
		if !e.listed && e.inFlight == 0 {
			delete(b.byName, name)
		}
	}
}

// addEndpoint adds an endpoint, or updates it and keeps its load and failures.
func (b *Balancer) addEndpoint(e endpoint.Endpoint, liveVMs int) {
	state := b.byName[e.Name]
	if state == nil {
		state = &endpointState{}
		b.byName[e.Name] = state
	}
	state.Endpoint = e
	state.listed = true
	state.connections = max(e.Connections/max(liveVMs, 1), 1)
	if e.FailureDomain == b.localDomain {
		b.local = append(b.local, state)
		return
	}
	b.remote = append(b.remote, state)
}

// Slots returns the total number of slots of all listed endpoints.
func (b *Balancer) Slots() int {
	total := 0
	for _, e := range b.local {
		total += e.Slots
	}
	for _, e := range b.remote {
		total += e.Slots
	}
	return total
}

// Acquire chooses an endpoint for a request, from this VM's own failure domain if possible. It excludes the endpoints
// in tried and returns false if all other endpoints are ejected or have no free slot or connection. The caller must
// call Release when the request has ended.
func (b *Balancer) Acquire(now time.Time, tried []endpoint.Name) (endpoint.Endpoint, bool) {
	for _, list := range [][]*endpointState{b.local, b.remote} {
		usable := b.usable(list, tried, now)
		if len(usable) == 0 {
			continue
		}
		chosen := b.choose(usable, now)
		chosen.inFlight++
		return chosen.Endpoint, true
	}
	return endpoint.Endpoint{}, false
}

// usable returns the endpoints that have a free slot and connection, are not ejected and are not in tried.
func (b *Balancer) usable(list []*endpointState, tried []endpoint.Name, now time.Time) []*endpointState {
	var usable []*endpointState
	for _, e := range list {
		if e.load(now) < min(e.connections, e.Slots) && !now.Before(e.ejectedUntil) && !slices.Contains(tried, e.Name) {
			usable = append(usable, e)
		}
	}
	return usable
}

// choose applies the policy to the usable endpoints, of which there is at least one.
func (b *Balancer) choose(usable []*endpointState, now time.Time) *endpointState {
	switch b.policy.(type) {
	case LeastLoaded:
		best := usable[0]
		for _, e := range usable[1:] {
			if e.load(now) < best.load(now) {
				best = e
			}
		}
		return best
	case RoundRobin:
		b.roundRobinCount++
		return usable[b.roundRobinCount%len(usable)]
	case Random:
		return usable[b.random.IntN(len(usable))]
	default:
		first, second := usable[b.random.IntN(len(usable))], usable[b.random.IntN(len(usable))]
		if second.load(now) < first.load(now) {
			return second
		}
		return first
	}
}

// Release ends a request. reportedBusy is the number of busy slots that the endpoint reported in its answer.
func (b *Balancer) Release(name endpoint.Name, reportedBusy int, now time.Time) {
	e, known := b.byName[name]
	if !known {
		return
	}
	e.inFlight--
	e.reportedBusy = reportedBusy
	e.reportedAt = now
}

// Succeeded records that an endpoint answered, which resets its failures and ejections.
func (b *Balancer) Succeeded(name endpoint.Name) {
	if e, known := b.byName[name]; known {
		e.failures = 0
		e.ejections = 0
	}
}

// Failed records that an endpoint did not answer properly. It reports whether this failure ejects the endpoint.
func (b *Balancer) Failed(name endpoint.Name, now time.Time) bool {
	e, known := b.byName[name]
	if !known {
		return false
	}
	e.failures++
	if e.failures < ejectAfter || b.ejected(now) >= len(b.byName)/ejectDivisor {
		return false
	}
	e.failures = 0
	e.ejections++
	e.ejectedUntil = now.Add(min(time.Duration(e.ejections)*ejectTime, maxEjectTime))
	return true
}

// ejected returns the number of endpoints that get no requests because of their failures.
func (b *Balancer) ejected(now time.Time) int {
	count := 0
	for _, e := range b.byName {
		if now.Before(e.ejectedUntil) {
			count++
		}
	}
	return count
}
