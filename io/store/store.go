// Package store describes the key-value service that keeps everything that must last.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Revision is a version of the whole store. It is positive and grows with each change; 0 means that a key is absent.
type Revision int64

// LeaseID identifies a lease; 0 means none.
type LeaseID int64

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the item's last change, Created that of its creation.
	Revision Revision
	Created  Revision
	Lease    LeaseID
}

// Event is a change of a key.
type Event struct {
	Item
	Deleted bool
}

// Page holds the items of a prefix.
type Page struct {
	Items []Item
	// Revision is the store's revision when the page was read.
	Revision Revision
}

// Changes holds the events of a prefix after a revision.
type Changes struct {
	Events []Event
	// Revision is the revision to continue from.
	Revision Revision
}

// Condition requires that a key has a revision; 0 requires that it is absent.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a key. With a lease, the key is removed when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction is carried out whole if all of its conditions hold, or not at all.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// MaxEntries bounds the conditions, puts and removes of one transaction together.
const MaxEntries = 32

// Errors of a store. Of all others a caller knows nothing: the call may have taken effect, or may do so later.
var (
	// ErrRefused reports a call that had no effect and will have none.
	ErrRefused = errors.New("the store has refused the call")
	// ErrUnanswered reports a call without an answer.
	ErrUnanswered = errors.New("the store has not answered the call")
	// ErrNotFound reports a key that is absent.
	ErrNotFound = errors.New("the store has no such key")
	// ErrLeaseEnded reports a lease that has ended.
	ErrLeaseEnded = errors.New("the lease has ended")
	// ErrCompacted reports a watch from a revision that the store no longer has in its history.
	ErrCompacted = errors.New("the store has discarded this history")
)

// ConflictError reports a transaction whose conditions did not hold.
type ConflictError struct {
	// Items holds the keys of the conditions that are present, in their current state.
	Items []Item
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "a condition of the transaction does not hold"
}

// Item returns the current state of a key; its revision is 0 when the key is absent.
func (e *ConflictError) Item(key string) Item {
	for _, item := range e.Items {
		if item.Key == key && item.Revision != 0 {
			return item
		}
	}
	return Item{Key: key}
}

// Store is the key-value service. Every method ends by the context's deadline. Reads are linearizable.
type Store interface {
	// Get returns an item, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns all items under a prefix. They may come from several pages, which are no snapshot; At is the
	// revision of the first page.
	Range(ctx context.Context, prefix string) (Page, error)
	// Watch waits at most the given time for changes under a prefix after a revision.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Commit carries out a transaction and returns its revision, or a *ConflictError.
	Commit(ctx context.Context, transaction Transaction) (Revision, error)
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew starts a lease's time again, or fails with ErrLeaseEnded.
	Renew(ctx context.Context, lease LeaseID) error
	// End ends a lease and removes its keys.
	End(ctx context.Context, lease LeaseID) error
}
