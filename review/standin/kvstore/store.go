// Package kvstore is a stand-in for the platform's metadata store. It keeps all items in memory, answers as
// PROTOCOL.md says, and can be made unavailable or slow to carry out single writes.
package kvstore

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Item is a key with its value, as the store's interface encodes it.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	LeaseID  int64  `json:"leaseId"`
	// Deleted is set in the events of a watch, for a key that was removed.
	Deleted bool `json:"deleted,omitempty"`
}

// Condition requires that a key has a revision; 0 requires that the key is absent.
type Condition struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

// Put writes a value, under a lease if LeaseID is not 0.
type Put struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	LeaseID int64  `json:"leaseId"`
}

// Transaction is a write that is carried out if all conditions hold.
type Transaction struct {
	ExpectedRev []Condition `json:"expectedRev"`
	Puts        []Put       `json:"puts"`
	Remove      []string    `json:"remove"`
}

// Writes reports whether the transaction puts a key with the given suffix.
func (t *Transaction) Writes(suffix string) bool {
	return slices.ContainsFunc(t.Puts, func(p Put) bool { return strings.HasSuffix(p.Key, suffix) })
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]Item
	history   []Item
	leases    map[int64]*lease
	nextLease int64
	// changed is closed and replaced by each change.
	changed chan struct{}
	// down is set while calls get no answer.
	down bool
	// onLarge is called with the key and the size of each value that is stored or refused and larger than half of the
	// largest one. It may be nil.
	onLarge func(key string, size int, refused bool)
	// delay returns the time after which a transaction is carried out without an answer; 0 for one that is carried out
	// and answered at once. It may be nil.
	delay func(t *Transaction) time.Duration
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, items: map[string]Item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
}

// SetDown makes the store leave all calls unanswered, or answer again. Leases run on meanwhile.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// SetDelay sets the function that chooses the transactions whose answers are lost and that are carried out late.
func (s *Store) SetDelay(delay func(t *Transaction) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// SetOnLarge sets the function that is called with the key and the size of each large value that is stored or refused.
func (s *Store) SetOnLarge(onLarge func(key string, size int, refused bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onLarge = onLarge
}

// checkSizes reports whether the store accepts the sizes of all values.
func (s *Store) checkSizes(t *Transaction) bool {
	s.mu.Lock()
	onLarge := s.onLarge
	s.mu.Unlock()
	accepted := true
	for _, p := range t.Puts {
		refused := len(p.Value) > maxValueBytes
		accepted = accepted && !refused
		if onLarge != nil && len(p.Value) > maxValueBytes/2 {
			onLarge(p.Key, len(p.Value), refused)
		}
	}
	return accepted
}

// Put writes a key as the operator or a worker does. It reports whether the store was reachable.
func (s *Store) Put(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.revision++
	s.put(Put{Key: key, Value: value})
	s.notify()
	return true
}

// Remove deletes a key, as the store does when an entry of a worker expires.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(p Put) {
	item, known := s.items[p.Key]
	if !known {
		item.Created = s.revision
	}
	item.Key, item.Value, item.LeaseID, item.Revision = p.Key, p.Value, p.LeaseID, s.revision
	s.items[p.Key] = item
	s.history = append(s.history, item)
}

func (s *Store) remove(key string) {
	if _, known := s.items[key]; !known {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Deleted: true})
}

// expire ends the leases whose time is over.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.LeaseID == id {
			s.remove(key)
		}
	}
	s.notify()
}

// commit carries out a transaction. It returns the new revision, or the present items of the conditions, or neither if
// a lease has ended.
func (s *Store) commit(t *Transaction) (revision int64, conflict []Item) {
	s.expire()
	failed := false
	conflict = []Item{}
	for _, c := range t.ExpectedRev {
		item := s.items[c.Key]
		failed = failed || item.Revision != c.Revision
		if item.Revision != 0 {
			conflict = append(conflict, item)
		}
	}
	if failed {
		return 0, conflict
	}
	for _, p := range t.Puts {
		if _, alive := s.leases[p.LeaseID]; p.LeaseID != 0 && !alive {
			return 0, nil
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.put(p)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notify()
	return s.revision, nil
}

// list returns the items under a prefix whose keys follow the key after, and the store's revision.
func (s *Store) list(prefix, after string) ([]Item, int64) {
	s.expire()
	items := []Item{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return items, s.revision
}

// eventsAfter returns the changes under a prefix after a revision.
func (s *Store) eventsAfter(prefix string, after int64) []Item {
	s.expire()
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(i Item, revision int64) int {
		return int(i.Revision - revision)
	})
	events := []Item{}
	for _, event := range s.history[first:] {
		if strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events
}
