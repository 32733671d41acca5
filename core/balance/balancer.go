package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
)

const (
	// ejectAfter is the number of failures in a row that eject an endpoint.
	ejectAfter = 5
	// ejectTime is the length of a first ejection; it grows with each one in a row.
	ejectTime = 5 * time.Second
	// maxEjectTime bounds an ejection.
	maxEjectTime = time.Minute
	// ejectDivisor bounds the ejected part of the fleet to a third, so that a bad request cannot eject all.
	ejectDivisor = 3
	// busyMemory is how long a report of busy slots counts.
	busyMemory = 100 * time.Millisecond
)

type endpointState struct {
	endpoint.Endpoint
	inFlight int
	// connections is this VM's share of the endpoint's connections.
	connections int
	busy        int
	busySince   time.Time
	failures    int
	ejections   int
	// ejectedUntil is zero while the endpoint was never ejected.
	ejectedUntil time.Time
	present      bool
}

// load estimates the endpoint's slots in use.
func (e *endpointState) load(now time.Time) int {
	if now.Sub(e.busySince) < busyMemory {
		return max(e.inFlight, e.busy)
	}
	return e.inFlight
}

// Balancer knows the load of endpoints and chooses among them. It is not safe for concurrent use.
type Balancer struct {
	policy Policy
	home   domain.Name
	random *rand.Rand
	byName map[endpoint.Name]*endpointState
	// home and away list the usable endpoints of the own failure domain and of others.
	homeList []*endpointState
	awayList []*endpointState
	turn     int
}

// New returns a balancer without endpoints that prefers those of the failure domain home.
func New(policy Policy, home domain.Name, random *rand.Rand) *Balancer {
	return &Balancer{policy: policy, home: home, random: random, byName: map[endpoint.Name]*endpointState{}}
}

// SetEndpoints replaces the endpoints that may get new requests. liveVMs share each endpoint's connections.
func (b *Balancer) SetEndpoints(endpoints []endpoint.Endpoint, liveVMs int) {
	for _, e := range b.byName {
		e.present = false
	}
	b.homeList, b.awayList = nil, nil
	for _, e := range endpoints {
		b.addEndpoint(e, liveVMs)
	}
	for name, e := range b.byName {
		if !e.present && e.inFlight == 0 {
			delete(b.byName, name)
		}
	}
}

func (b *Balancer) addEndpoint(e endpoint.Endpoint, liveVMs int) {
	state := b.byName[e.Name]
	if state == nil {
		state = &endpointState{}
		b.byName[e.Name] = state
	}
	state.Endpoint = e
	state.present = true
	state.connections = max(e.Connections/max(liveVMs, 1), 1)
	if e.FailureDomain == b.home {
		b.homeList = append(b.homeList, state)
		return
	}
	b.awayList = append(b.awayList, state)
}

// Slots returns the number of slots of all usable endpoints.
func (b *Balancer) Slots() int {
	total := 0
	for _, e := range b.homeList {
		total += e.Slots
	}
	for _, e := range b.awayList {
		total += e.Slots
	}
	return total
}

// Acquire chooses an endpoint that is not in tried, the own failure domain first. Release must follow.
func (b *Balancer) Acquire(now time.Time, tried []endpoint.Name) (endpoint.Endpoint, bool) {
	for _, list := range [][]*endpointState{b.homeList, b.awayList} {
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

func (b *Balancer) usable(list []*endpointState, tried []endpoint.Name, now time.Time) []*endpointState {
	var usable []*endpointState
	for _, e := range list {
		if e.load(now) < min(e.connections, e.Slots) && !now.Before(e.ejectedUntil) && !slices.Contains(tried, e.Name) {
			usable = append(usable, e)
		}
	}
	return usable
}

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
		b.turn++
		return usable[b.turn%len(usable)]
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

// Release ends a request. busy is the endpoint's own count of slots in use.
func (b *Balancer) Release(name endpoint.Name, busy int, now time.Time) {
	e, known := b.byName[name]
	if !known {
		return
	}
	e.inFlight--
	e.busy = busy
	e.busySince = now
}

// Succeeded notes that an endpoint answered.
func (b *Balancer) Succeeded(name endpoint.Name) {
	if e, known := b.byName[name]; known {
		e.failures = 0
		e.ejections = 0
	}
}

// Failed notes that an endpoint did not answer properly, and tells whether it is now ejected.
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

func (b *Balancer) ejected(now time.Time) int {
	count := 0
	for _, e := range b.byName {
		if now.Before(e.ejectedUntil) {
			count++
		}
	}
	return count
}
