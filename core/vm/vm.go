// Package vm defines the entry VMs, on which the processes of this system run.
package vm

import (
	"net/netip"

	"auburnstack/core/domain"
)

// Name identifies an entry VM. A replacement VM has a new name.
type Name string

// VM describes an entry VM, according to the platform's list or to the VM itself.
type VM struct {
	Name            Name
	FailureDomain   domain.Name
	PeerAddress     netip.AddrPort
	OperatorAddress netip.AddrPort
	// Leaving is set once the VM accepts no new work.
	Leaving bool
}
