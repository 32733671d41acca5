package memstore

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"auburnstack/io/store"
)

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
	f.PerItem += all.PerItem
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
	page := c.service.page(prefix)
	timer := time.NewTimer(time.Duration(len(page.Items)) * c.current().PerItem)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return store.Page{}, errors.WithMessage(store.ErrUnanswered, ctx.Err().Error())
	case <-timer.C:
		return page, nil
	}
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
