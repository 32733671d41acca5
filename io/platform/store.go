// Package platform adapts the key-value service for the entry VMs and their schedulers: single keys with
// compare-and-swap, and the list of VMs and endpoints.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/endpoint"
	"auburnstack/core/vm"
	"auburnstack/io/store"
)

// Revision is a version of the data in the key-value service; 0 means that a key is absent.
type Revision = store.Revision

// LeaseID identifies a lease of the key-value service; 0 means that there is no lease.
type LeaseID = store.LeaseID

// Entry is a key with its value and the revision of its last change.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Changes lists the entries under a prefix that changed after a revision. It does not include deletions.
type Changes struct {
	// Revision is the value to pass as since in the next call of Store.Changes.
	Revision Revision
	Entries  []Entry
}

// List is the platform's list of running VMs and endpoints. It may be outdated.
type List struct {
	// Version increases with every change of the list.
	Version   uint64
	VMs       []vm.VM
	Endpoints []endpoint.Endpoint
}

// Errors that the methods of Store return.
var (
	// ErrConflict reports a compare-and-swap or a removal whose key does not have the expected revision. The call had
	// no effect.
	ErrConflict = errors.New("the key has another revision")
	// ErrUnavailable reports that the service did not answer or failed. A write may have taken effect.
	ErrUnavailable = errors.New("the platform's service is unavailable")
	// ErrLeaseLapsed reports a lease that no longer exists.
	ErrLeaseLapsed = errors.New("the lease has lapsed")
	// ErrBudget reports a call that was not made because this VM has reached its limit of calls per second.
	ErrBudget = errors.New("the budget of calls to the platform's service is used up")
)

// Store is the platform's key-value service and list. Every method returns by the context's deadline.
type Store interface {
	// Get returns the entry of a key; the revision of the entry is 0 when the key is absent.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes a value if the key has the expected revision, and returns the new revision. If a lease is
	// given, the service deletes the key when that lease ends. After an error other than ErrConflict the effect is
	// unknown.
	CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error)
	// Remove deletes a key if it has the expected revision, and fails with ErrConflict otherwise.
	Remove(ctx context.Context, key string, expected Revision) error
	// Changes waits at most for the duration wait until keys under a prefix have changed after the revision since. If
	// since is 0, or the service has discarded the history after since, Changes returns all entries under the prefix at
	// once.
	Changes(ctx context.Context, prefix string, since Revision, wait time.Duration) (Changes, error)
	// GrantLease creates a lease that ends after the given time unless KeepAlive renews it.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive restarts a lease's time to live, or fails with ErrLeaseLapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// List returns the VMs and endpoints that the platform lists.
	List(ctx context.Context) (List, error)
}
