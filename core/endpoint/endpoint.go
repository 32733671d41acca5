// Package endpoint defines endpoints: the back ends that answer requests and, as workers, run tasks.
package endpoint

import (
	"net/netip"

	"auburnstack/core/domain"
)

// Name identifies an endpoint.
type Name string

// Rack identifies a rack within a failure domain.
type Rack string

// Endpoint is an entry of the platform's list of endpoints.
type Endpoint struct {
	Name          Name
	FailureDomain domain.Name
	Rack          Rack
	Address       netip.AddrPort
	// Slots is the maximum number of requests that the endpoint runs at a time.
	Slots int
	// Connections is the maximum number of connections that the endpoint accepts, from all VMs together.
	Connections int
	// Accelerators is the number of accelerators that the endpoint offers to tasks.
	Accelerators int
	// Leaving is set once the endpoint must not get new work.
	Leaving bool
}
