// Package inventory defines the client interface of the platform's service that lists and maintains the machines on
// which workers run.
package inventory

import (
	"context"

	"github.com/pkg/errors"

	"auburnstack/core/machine"
	"auburnstack/core/upkeep"
	"auburnstack/core/vm"
	"auburnstack/io/runner"
)

// Errors of the service. After ErrUnanswered, and after any error that is not listed here, the outcome of the call is
// unknown: the platform may have carried it out already or may still do so.
var (
	// ErrFenced reports a call that the platform rejected because its fencing token is outdated.
	ErrFenced = errors.New("the machine obeys a newer leader")
	// ErrBusy reports a machine that is not up or is leaving.
	ErrBusy = errors.New("the machine is not up")
	// ErrRefused reports a call that had no effect and may be retried.
	ErrRefused = errors.New("the platform has refused the call")
	// ErrImpossible reports a machine that does not exist or does not belong to the wave.
	ErrImpossible = errors.New("the machine is not of the wave")
	// ErrUnanswered reports a call that got no response.
	ErrUnanswered = errors.New("the platform has not answered the call")
)

// Order is a message that tells the platform to take a machine out of service for upkeep.
type Order struct {
	Machine machine.ID
	Wave    upkeep.Number
	// Holder and Fence identify the leader that sends the order: its VM and its fencing token.
	Holder vm.Name
	Fence  runner.Fence
}

// Service lists and maintains machines.
type Service interface {
	// List returns all machines.
	List(ctx context.Context) ([]machine.Machine, error)
	// Maintain begins the upkeep of a machine. It is idempotent: it also succeeds if the machine's upkeep for the wave
	// has already been done.
	Maintain(ctx context.Context, order Order) error
}
