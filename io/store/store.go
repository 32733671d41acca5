// Package store defines the interface of the key-value service that holds all persistent data.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Revision is a version of the whole store. It is positive and increases with each change; 0 means that a key is
// absent.
type Revision int64

// LeaseID identifies a lease; 0 means that there is no lease.
type LeaseID int64

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the item's last change. Created is the store's revision at the item's
	// creation.
	Revision Revision
	Created  Revision
	Lease    LeaseID
}

// Event is a change or a deletion of a key.
type Event struct {
	Item
	Deleted bool
}

// Page holds the items whose keys have a prefix.
type Page struct {
	Items []Item
	// Revision is the store's revision at the time at which the first of the items were read.
	Revision Revision
}

// Changes holds the events that occurred after a given revision for keys with a given prefix.
type Changes struct {
	Events []Event
	// Revision is the value to pass as after in the next call of Store.Watch.
	Revision Revision
}

// Condition requires that Key has the revision Revision; the revision 0 requires that the key is absent.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a value to a key. If Put names a lease, the store removes the key when that lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction is a list of writes that the store makes atomically if all conditions hold. Otherwise it changes nothing.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// slowestLink is the bandwidth of the slowest network links of VMs, in bytes of values a second: 10 Mbit/s, less the
// overhead of the encoding.
const slowestLink = 900_000

// TransferTime returns the time that the values of the transaction take on a slow link.
func (t *Transaction) TransferTime() time.Duration {
	bytes := 0
	for _, p := range t.Puts {
		bytes += len(p.Value)
	}
	return time.Duration(bytes) * time.Second / slowestLink
}

// MaxEntries is the maximum total number of conditions, puts and removes in one transaction.
const MaxEntries = 32

// Errors of a store. After an error that is neither one of these nor a *ConflictError, the call may have taken effect,
// or may take effect later.
var (
	// ErrRefused reports a call that had no effect and will have none.
	ErrRefused = errors.New("the store has refused the call")
	// ErrInvalid reports a call that the store will never carry out, however often it is sent, such as one with a value
	// that is too large. It had no effect.
	ErrInvalid = errors.New("the store rejects the call for good")
	// ErrUnanswered reports a call without an answer. The call may have taken effect.
	ErrUnanswered = errors.New("the store has not answered the call")
	// ErrNotFound reports a key that is absent.
	ErrNotFound = errors.New("the store has no such key")
	// ErrLeaseEnded reports a lease that has ended.
	ErrLeaseEnded = errors.New("the lease has ended")
	// ErrCompacted reports a watch from a revision whose history the store has discarded.
	ErrCompacted = errors.New("the store has discarded this history")
	// ErrTooLarge reports an answer that is longer than a client reads. A watch that fails with it would fail again from
	// the same revision: the client must read the current items instead.
	ErrTooLarge = errors.New("the store's answer is too large")
)

// HistoryLost reports whether a watch cannot continue from its revision, so that the current items must be read.
func HistoryLost(err error) bool {
	return errors.Is(err, ErrCompacted) || errors.Is(err, ErrTooLarge)
}

// ConflictError reports a transaction whose conditions did not hold.
type ConflictError struct {
	// Items holds the current items of the conditions' keys, without the keys that are absent.
	Items []Item
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "a condition of the transaction does not hold"
}

// Item returns the current state of a key; the returned revision is 0 when the key is absent.
func (e *ConflictError) Item(key string) Item {
	for _, item := range e.Items {
		if item.Key == key && item.Revision != 0 {
			return item
		}
	}
	return Item{Key: key}
}

// Store is the key-value service. Every method returns by the context's deadline. Reads are linearizable.
type Store interface {
	// Get returns an item, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns all items under a prefix. It may need several requests to the service, so the items may not form a
	// consistent snapshot. The returned revision is the store's revision at the first request.
	Range(ctx context.Context, prefix string) (Page, error)
	// Watch waits at most for the duration wait for changes that occur after the given revision to keys under a prefix.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Commit applies a transaction and returns its revision, or a *ConflictError if a condition does not hold.
	Commit(ctx context.Context, transaction Transaction) (Revision, error)
	// Grant creates a lease that expires after the given time unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew restarts a lease's time to live, or fails with ErrLeaseEnded.
	Renew(ctx context.Context, lease LeaseID) error
	// End ends a lease and removes its keys.
	End(ctx context.Context, lease LeaseID) error
}
