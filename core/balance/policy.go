// Package balance balances requests among endpoints and ejects endpoints that fail repeatedly.
package balance

// Policy is a load balancing policy: PowerOfTwo, LeastLoaded, RoundRobin or Random.
type Policy interface {
	isPolicy()
}

// PowerOfTwo chooses the less loaded of two random endpoints.
type PowerOfTwo struct{}

// LeastLoaded chooses the endpoint with the lowest estimated load.
type LeastLoaded struct{}

// RoundRobin chooses the endpoints one after the other.
type RoundRobin struct{}

// Random chooses a random endpoint.
type Random struct{}

func (PowerOfTwo) isPolicy()  {}
func (LeastLoaded) isPolicy() {}
func (RoundRobin) isPolicy()  {}
func (Random) isPolicy()      {}
