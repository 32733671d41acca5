// Package inventory describes the platform's service for the machines on which workers live.
package inventory

import (
	"context"

	"github.com/pkg/errors"

	"auburnstack/core/machine"
	"auburnstack/core/upkeep"
	"auburnstack/core/vm"
	"auburnstack/io/runner"
)

// Errors of the service. Of all others a caller knows nothing: the call may have been carried out, or may be later.
var (
	// ErrFenced reports a call with an outdated fencing token.
	ErrFenced = errors.New("the machine obeys a newer leader")
	// ErrBusy reports a machine that is not up, or that leaves.
	ErrBusy = errors.New("the machine is not up")
	// ErrRefused reports a call that had no effect and may be repeated.
	ErrRefused = errors.New("the platform has refused the call")
	// ErrImpossible reports a machine that does not exist or is not of the wave.
	ErrImpossible = errors.New("the machine is not of the wave")
	// ErrUnanswered reports a call without an answer.
	ErrUnanswered = errors.New("the platform has not answered the call")
)

// Order takes a machine out of service for its upkeep.
type Order struct {
	Machine machine.ID
	Wave    upkeep.Number
	// Holder and Fence tell the platform which leader orders.
	Holder vm.Name
	Fence  runner.Fence
}

// Service lists and maintains machines.
type Service interface {
	// List returns all machines.
	List(ctx context.Context) ([]machine.Machine, error)
	// Maintain begins an upkeep; it succeeds also if the machine has had it already.
	Maintain(ctx context.Context, order Order) error
}
