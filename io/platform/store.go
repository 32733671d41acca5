// Package platform gives the product's own path its view of the key-value service: single keys with compare-and-swap,
// and the list of VMs and endpoints.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/endpoint"
	"auburnstack/core/vm"
	"auburnstack/io/store"
)

// Revision is a version of the key-value service; 0 means that a key is absent.
type Revision = store.Revision

// LeaseID identifies a lease of the key-value service; 0 means none.
type LeaseID = store.LeaseID

// Entry is a key with its value and the revision of its last change.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Changes lists entries under a prefix that changed after a revision.
type Changes struct {
	// Revision is the one to continue from.
	Revision Revision
	Entries  []Entry
}

// List is the platform's lagging list of what runs.
type List struct {
	// Version changes with every change of the list.
	Version   uint64
	VMs       []vm.VM
	Endpoints []endpoint.Endpoint
}

// Errors of a store.
var (
	// ErrConflict reports a compare-and-swap that lost against another write. It had no effect.
	ErrConflict = errors.New("the key has another revision")
	// ErrUnavailable reports that the service did not answer. A write may have taken effect.
	ErrUnavailable = errors.New("the platform's service is unavailable")
	// ErrLeaseLapsed reports a lease that no longer exists.
	ErrLeaseLapsed = errors.New("the lease has lapsed")
	// ErrBudget reports a call that was held back because the VM's share of calls is used up.
	ErrBudget = errors.New("the budget of calls to the platform's service is used up")
)

// Store is the platform's key-value service and list. Every method ends by the context's deadline.
type Store interface {
	// Get returns the entry of a key; its revision is 0 when the key is absent.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes a value if the key has the expected revision, and returns the new revision.
	// With a lease the key disappears when the lease ends. An error other than ErrConflict leaves the effect unknown.
	CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error)
	// Remove deletes a key that has the expected revision.
	Remove(ctx context.Context, key string, expected Revision) error
	// Changes waits at most the given time for changes under a prefix.
	Changes(ctx context.Context, prefix string, since Revision, wait time.Duration) (Changes, error)
	// GrantLease returns a new lease that ends unless it is kept alive.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive starts a lease's time again, or fails with ErrLeaseLapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// List returns the VMs and endpoints that the platform knows of.
	List(ctx context.Context) (List, error)
}
