// Package memstore is a key-value service in memory for tests: revisions, leases, watches and transactions, and the
// faults that such a service has. It follows the clock of the time package, so it works in virtual time.
package memstore

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"auburnstack/io/store"
)

// latency is the time that a call takes.
const latency = 4 * time.Millisecond

// Faults are what goes wrong with the calls of one client, or of all.
type Faults struct {
	// Down makes calls end without an answer, Refuse with a refusal.
	Down, Refuse bool
	// Slow is added to the time of each call.
	Slow time.Duration
	// LoseReplies is the share of writes that are done without an answer, LateWrites the share of writes that are done
	// up to three seconds later without an answer.
	LoseReplies, LateWrites float64
}

// Service is the key-value service.
type Service struct {
	mu       sync.Mutex
	random   *rand.Rand
	revision store.Revision
	items    map[string]store.Item
	// log holds the changes after the revision compacted.
	log       []store.Event
	compacted store.Revision
	leases    map[store.LeaseID]*lease
	nextLease store.LeaseID
	// changed is closed and replaced with each change.
	changed chan struct{}
	// deaf is set while watches hear nothing.
	deaf   bool
	faults Faults
}

// lease is a lease with its end.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New returns an empty service whose faults follow a seed.
func New(seed uint64) *Service {
	return &Service{
		random: rand.New(rand.NewPCG(seed, seed)), items: map[string]store.Item{},
		leases: map[store.LeaseID]*lease{}, changed: make(chan struct{}),
	}
}

// SetFaults sets what goes wrong with all calls.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetDeaf makes watches hear nothing.
func (s *Service) SetDeaf(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = deaf
	s.wake()
}

// Compact discards the history.
func (s *Service) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = nil
	s.compacted = s.revision
	s.wake()
}

// Put writes a key as the operators or workers do.
func (s *Service) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(store.Put{Key: key, Value: value})
	s.wake()
}

// Remove deletes a key as the operators or workers do.
func (s *Service) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
}

// Keys lists the keys under a prefix.
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

// Client returns a connection to the service.
func (s *Service) Client() *Client {
	return &Client{service: s}
}

func (s *Service) wake() {
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

func (s *Service) remove(key string) {
	if _, known := s.items[key]; !known {
		return
	}
	delete(s.items, key)
	s.log = append(s.log, store.Event{Item: store.Item{Key: key, Revision: s.revision}, Deleted: true})
}

// expire ends the leases whose time is over.
func (s *Service) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.end(id)
		}
	}
}

func (s *Service) end(id store.LeaseID) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
	s.wake()
}

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
	s.wake()
	return s.revision, nil
}

// Client is a store.Store on the service. Its own faults come on top of the service's.
type Client struct {
	service *Service

	mu     sync.Mutex
	faults Faults
}

// SetFaults sets what goes wrong with this client's calls.
func (c *Client) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// current merges the faults of the client and of the service.
func (c *Client) current() Faults {
	c.mu.Lock()
	f := c.faults
	c.mu.Unlock()
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	all := c.service.faults
	f.Down, f.Refuse = f.Down || all.Down, f.Refuse || all.Refuse
	f.Slow += all.Slow
	f.LoseReplies = max(f.LoseReplies, all.LoseReplies)
	f.LateWrites = max(f.LateWrites, all.LateWrites)
	return f
}

// enter delays a call and fails it if the service can't be reached.
func (c *Client) enter(ctx context.Context) error {
	f := c.current()
	if f.Refuse {
		return store.ErrRefused
	}
	delay := latency + f.Slow
	if f.Down {
		delay = time.Hour
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.WithMessage(store.ErrUnanswered, ctx.Err().Error())
	case <-timer.C:
		return nil
	}
}

// write carries out a change, unless a fault delays it or loses its answer.
func (c *Client) write(ctx context.Context, change func() error) error {
	if err := c.enter(ctx); err != nil {
		return err
	}
	f := c.current()
	c.service.mu.Lock()
	late, lost := c.service.random.Float64() < f.LateWrites, c.service.random.Float64() < f.LoseReplies
	delay := time.Duration(c.service.random.Int64N(int64(3 * time.Second)))
	var err error
	if late {
		time.AfterFunc(delay, func() {
			c.service.mu.Lock()
			defer c.service.mu.Unlock()
			// The answer is lost in any case.
			_ = change()
		})
	} else {
		err = change()
	}
	c.service.mu.Unlock()
	if late || lost {
		<-ctx.Done()
		return errors.WithMessage(store.ErrUnanswered, ctx.Err().Error())
	}
	return err
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Item, error) {
	if err := c.enter(ctx); err != nil {
		return store.Item{}, err
	}
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.service.expire()
	item, found := c.service.items[key]
	if !found {
		return store.Item{}, store.ErrNotFound
	}
	return item, nil
}

// Range implements store.Store.
func (c *Client) Range(ctx context.Context, prefix string) (store.Page, error) {
	if err := c.enter(ctx); err != nil {
		return store.Page{}, err
	}
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.service.expire()
	page := store.Page{At: c.service.revision}
	for key, item := range c.service.items {
		if strings.HasPrefix(key, prefix) {
			page.Items = append(page.Items, item)
		}
	}
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Key < page.Items[j].Key })
	return page, nil
}

// Watch implements store.Store.
func (c *Client) Watch(
	ctx context.Context, prefix string, after store.Revision, wait time.Duration,
) (store.Changes, error) {
	if err := c.enter(ctx); err != nil {
		return store.Changes{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed, err := c.look(prefix, after)
		if err != nil || len(changes.Events) > 0 {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return store.Changes{}, errors.WithMessage(store.ErrUnanswered, ctx.Err().Error())
		case <-timer.C:
			if c.current().Down {
				<-ctx.Done()
				return store.Changes{}, errors.WithMessage(store.ErrUnanswered, ctx.Err().Error())
			}
			return changes, nil
		case <-changed:
		}
	}
}

func (c *Client) look(prefix string, after store.Revision) (store.Changes, <-chan struct{}, error) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.deaf {
		return store.Changes{At: after}, s.changed, nil
	}
	if after < s.compacted {
		return store.Changes{}, s.changed, store.ErrCompacted
	}
	changes := store.Changes{At: s.revision}
	for _, e := range s.log {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			changes.Events = append(changes.Events, e)
		}
	}
	return changes, s.changed, nil
}

// Commit implements store.Store.
func (c *Client) Commit(ctx context.Context, t store.Transaction) (store.Revision, error) {
	var revision store.Revision
	err := c.write(ctx, func() error {
		var err error
		revision, err = c.service.commit(t)
		return err
	})
	return revision, err
}

// Grant implements store.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var id store.LeaseID
	err := c.write(ctx, func() error {
		c.service.nextLease++
		id = c.service.nextLease
		c.service.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		return nil
	})
	return id, err
}

// Renew implements store.Store.
func (c *Client) Renew(ctx context.Context, id store.LeaseID) error {
	return c.write(ctx, func() error {
		c.service.expire()
		l, alive := c.service.leases[id]
		if !alive {
			return store.ErrLeaseEnded
		}
		l.expires = time.Now().Add(l.ttl)
		return nil
	})
}

// End implements store.Store.
func (c *Client) End(ctx context.Context, id store.LeaseID) error {
	return c.write(ctx, func() error {
		c.service.expire()
		if _, alive := c.service.leases[id]; !alive {
			return store.ErrLeaseEnded
		}
		c.service.end(id)
		return nil
	})
}
