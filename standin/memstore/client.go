package memstore

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"auburnstack/io/store"
)

// Client implements store.Store with calls to a Service, the simulated key-value service. Faults can be set for one
// client or for the service, and each call is subject to both: Down and Refuse apply if they are set in either, the
// delays Slow, LateReplies and PerItem are added, the client's BytesPerSecond goes before that of the service, and the
// larger one of the two values of WatchBytes, LoseReplies and LateWrites applies.
type Client struct {
	service *Service

	mu     sync.Mutex
	faults Faults
}

// SetFaults sets the faults of this client's calls.
func (c *Client) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// currentFaults returns the faults of the client combined with those of the service.
func (c *Client) currentFaults() Faults {
	c.mu.Lock()
	f := c.faults
	c.mu.Unlock()
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	serviceFaults := c.service.faults
	f.Down, f.Refuse = f.Down || serviceFaults.Down, f.Refuse || serviceFaults.Refuse
	f.WatchesUnanswered = f.WatchesUnanswered || serviceFaults.WatchesUnanswered
	f.Slow += serviceFaults.Slow
	f.LateReplies += serviceFaults.LateReplies
	f.PerItem += serviceFaults.PerItem
	if f.BytesPerSecond == 0 {
		f.BytesPerSecond = serviceFaults.BytesPerSecond
	}
	f.WatchBytes = max(f.WatchBytes, serviceFaults.WatchBytes)
	f.LoseReplies = max(f.LoseReplies, serviceFaults.LoseReplies)
	f.LateWrites = max(f.LateWrites, serviceFaults.LateWrites)
	return f
}

// delayCall delays a call by the latency and the current faults. It returns an error if the call is refused or if its
// context ends first.
func (c *Client) delayCall(ctx context.Context) error {
	f := c.currentFaults()
	if f.Refuse {
		return store.ErrRefused
	}
	delay := latency + f.Slow
	if f.Down {
		return c.stall(ctx)
	}
	return pause(ctx, delay)
}

// write carries out a change. If a fault delays the change or loses its reply, write waits until the context ends and
// returns ErrUnanswered.
func (c *Client) write(ctx context.Context, change func() error) error {
	if err := c.delayCall(ctx); err != nil {
		return err
	}
	f := c.currentFaults()
	c.service.mu.Lock()
	late, lost := c.service.random.Float64() < f.LateWrites, c.service.random.Float64() < f.LoseReplies
	delay := time.Duration(c.service.random.Int64N(int64(3 * time.Second)))
	var err error
	if late {
		time.AfterFunc(delay, func() {
			c.service.mu.Lock()
			defer c.service.mu.Unlock()
			// The caller gets ErrUnanswered in any case, so the result of the late change is discarded.
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
	if delayErr := c.delayReply(ctx, 0); delayErr != nil {
		return delayErr
	}
	return err
}

// delayReply delays the reply to a call that was carried out, and whose values have the given number of bytes. It
// returns an error if the call's context ends first, or if nothing arrives for the context's stall timeout.
func (c *Client) delayReply(ctx context.Context, bytes int) error {
	f := c.currentFaults()
	if f.LateReplies > store.StallTimeout(ctx, time.Hour) {
		return c.stall(ctx)
	}
	delay := f.LateReplies
	if f.BytesPerSecond > 0 {
		delay += time.Duration(bytes) * time.Second / time.Duration(f.BytesPerSecond)
	}
	if delay == 0 {
		return nil
	}
	return pause(ctx, delay)
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Item, error) {
	if err := c.delayCall(ctx); err != nil {
		return store.Item{}, err
	}
	item, found := c.service.item(key)
	if err := c.delayReply(ctx, 0); err != nil {
		return store.Item{}, err
	}
	if !found {
		return store.Item{}, store.ErrNotFound
	}
	return item, nil
}

// Range implements store.Store.
func (c *Client) Range(ctx context.Context, prefix string) (store.Page, error) {
	if err := c.delayCall(ctx); err != nil {
		return store.Page{}, err
	}
	page := c.service.page(prefix)
	timer := time.NewTimer(time.Duration(len(page.Items)) * c.currentFaults().PerItem)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return store.Page{}, errors.WithMessage(store.ErrUnanswered, ctx.Err().Error())
	case <-timer.C:
		return page, c.delayReply(ctx, pageBytes(page))
	}
}

// Watch implements store.Store.
func (c *Client) Watch(
	ctx context.Context, prefix string, after store.Revision, wait time.Duration,
) (store.Changes, error) {
	if err := c.delayCall(ctx); err != nil {
		return store.Changes{}, err
	}
	if c.currentFaults().WatchesUnanswered {
		return store.Changes{}, c.stallAfter(ctx, wait)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed, err := c.changesAfter(prefix, after)
		if limit := c.currentFaults().WatchBytes; limit > 0 && valueBytes(changes.Events) > limit {
			return store.Changes{}, store.ErrTooLarge
		}
		if err != nil || len(changes.Events) > 0 {
			if delayErr := c.delayReply(ctx, valueBytes(changes.Events)); delayErr != nil {
				return store.Changes{}, delayErr
			}
			return changes, err
		}
		select {
		case <-ctx.Done():
			return store.Changes{}, errors.WithMessage(store.ErrUnanswered, ctx.Err().Error())
		case <-timer.C:
			if c.currentFaults().Down {
				return store.Changes{}, c.stall(ctx)
			}
			return changes, c.delayReply(ctx, 0)
		case <-changed:
		}
	}
}

// pause waits for the given time. It returns ErrUnanswered if the context ends first.
func pause(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.WithMessage(store.ErrUnanswered, ctx.Err().Error())
	case <-timer.C:
		return nil
	}
}

// pageBytes returns the total size of the items' values.
func pageBytes(page store.Page) int {
	total := 0
	for _, item := range page.Items {
		total += len(item.Value)
	}
	return total
}

// stall waits until the context ends or its stall timeout is over, and returns ErrUnanswered.
func (c *Client) stall(ctx context.Context) error {
	return c.stallAfter(ctx, 0)
}

// stallAfter is like stall for a call that may wait for the given time before it is answered.
func (c *Client) stallAfter(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait + store.StallTimeout(ctx, time.Hour))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return errors.WithMessage(store.ErrUnanswered, "no answer")
}

// valueBytes returns the total size of the events' values.
func valueBytes(events []store.Event) int {
	total := 0
	for _, e := range events {
		total += len(e.Value)
	}
	return total
}

// changesAfter returns the changes of keys with the given prefix after a revision, and a channel that is closed when
// the service next notifies its watches, for example at a change of any key.
func (c *Client) changesAfter(prefix string, after store.Revision) (store.Changes, <-chan struct{}, error) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.watchesStalled {
		return store.Changes{Revision: after}, s.changed, nil
	}
	if after < s.compacted {
		return store.Changes{}, s.changed, store.ErrCompacted
	}
	changes := store.Changes{Revision: s.revision}
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
