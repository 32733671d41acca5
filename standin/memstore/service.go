// Package memstore simulates a key-value service in memory for tests, with revisions, leases, watches, transactions
// and faults. It takes the time from the time package, so it works under the virtual clock of testing/synctest.
package memstore

import (
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"auburnstack/io/store"
)

// latency is the duration of a call without faults.
const latency = 4 * time.Millisecond

// Service is the simulated key-value service.
type Service struct {
	mu       sync.Mutex
	random   *rand.Rand
	revision store.Revision
	items    map[string]store.Item
	// log holds the changes after the revision compacted.
	// compacted is the revision at which the history of changes was last discarded.
	log       []store.Event
	compacted store.Revision
	leases    map[store.LeaseID]*lease
	nextLease store.LeaseID
	// changed is a channel that wakes up the waiting watches. notifyWatches closes it and creates a new one.
	changed chan struct{}
	// watchesStalled makes watches return no changes.
	watchesStalled bool
	faults         Faults
	// valueLimit is the largest size of a value in bytes; 0 means no limit. rejections counts the transactions with larger
	// ones.
	valueLimit, rejections int
}

// lease is a lease with its duration and the time at which it expires.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New returns an empty service. The seed determines which writes get no reply, and which are late and by how much.
func New(seed uint64) *Service {
	return &Service{
		random: rand.New(rand.NewPCG(seed, seed)), items: map[string]store.Item{},
		leases: map[store.LeaseID]*lease{}, changed: make(chan struct{}),
	}
}

// SetFaults sets the faults of all calls.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetWatchesStalled sets whether watches return no changes. After the stall they return the changes that they missed.
func (s *Service) SetWatchesStalled(stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesStalled = stalled
	s.notifyWatches()
}

// Compact discards the history of changes.
func (s *Service) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = nil
	s.compacted = s.revision
	s.notifyWatches()
}

// Put writes a key directly, as operators or workers do, without faults.
func (s *Service) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(store.Put{Key: key, Value: value})
	s.notifyWatches()
}

// Remove deletes a key directly, as operators or workers do, without faults.
func (s *Service) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notifyWatches()
}

// RemoveUnseen deletes a key directly and discards the history of changes, so that no watch returns the deletion.
func (s *Service) RemoveUnseen(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.log = nil
	s.compacted = s.revision
	s.notifyWatches()
}

// Down reports whether the service leaves all calls unanswered.
func (s *Service) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

// SetValueLimit sets the largest size of a value in bytes; 0, as at first, means that there is no limit.
func (s *Service) SetValueLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.valueLimit = limit
}

// Rejections returns the number of transactions that were rejected because of a value that was too large.
func (s *Service) Rejections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejections
}

// Keys returns the keys that begin with the given prefix, in alphabetical order.
func (s *Service) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// Client returns a new client of the service.
func (s *Service) Client() *Client {
	return &Client{service: s}
}

// notifyWatches wakes up the watches that wait for a change.
func (s *Service) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an item at the current revision.
func (s *Service) put(p store.Put) {
	item, known := s.items[p.Key]
	if !known {
		item.Created = s.revision
	}
	item.Key, item.Value, item.Lease, item.Revision = p.Key, p.Value, p.Lease, s.revision
	s.items[p.Key] = item
	s.log = append(s.log, store.Event{Item: item})
}

// remove deletes an item at the current revision.
func (s *Service) remove(key string) {
	if _, known := s.items[key]; !known {
		return
	}
	delete(s.items, key)
	s.log = append(s.log, store.Event{Item: store.Item{Key: key, Revision: s.revision}, Deleted: true})
}

// expire ends the leases that have expired.
func (s *Service) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.end(id)
		}
	}
}

// end deletes a lease and the items attached to it.
func (s *Service) end(id store.LeaseID) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
	s.notifyWatches()
}

// commit carries out a transaction if all its conditions hold, and returns the new revision.
func (s *Service) commit(t store.Transaction) (store.Revision, error) {
	s.expire()
	conflict := &store.ConflictError{}
	failed := false
	for _, c := range t.Conditions {
		item := s.items[c.Key]
		if item.Revision != c.Revision {
			failed = true
		}
		if item.Revision != 0 {
			conflict.Items = append(conflict.Items, item)
		}
	}
	if failed {
		return 0, errors.WithStack(conflict)
	}
	for _, p := range t.Puts {
		if s.valueLimit > 0 && len(p.Value) > s.valueLimit {
			s.rejections++
			return 0, store.ErrInvalid
		}
		if _, alive := s.leases[p.Lease]; p.Lease != 0 && !alive {
			return 0, store.ErrLeaseEnded
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.put(p)
	}
	for _, key := range t.Removes {
		s.remove(key)
	}
	s.notifyWatches()
	return s.revision, nil
}

// item returns the item with the given key, and whether there is one.
func (s *Service) item(key string) (store.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	item, found := s.items[key]
	return item, found
}

// page returns all items whose keys begin with the given prefix, sorted by key.
func (s *Service) page(prefix string) store.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	page := store.Page{Revision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			page.Items = append(page.Items, item)
		}
	}
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Key < page.Items[j].Key })
	return page
}
