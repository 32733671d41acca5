package platform

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"auburnstack/core/endpoint"
	"auburnstack/core/vm"
	"auburnstack/io/store"
)

const (
	// callTimeout is the timeout of one call, in addition to the time for which the call waits for changes.
	callTimeout = time.Second
	// ListPrefix is the prefix of the keys under which the platform lists the running VMs and endpoints.
	ListPrefix     = "list/"
	vmPrefix       = ListPrefix + "vm/"
	endpointPrefix = ListPrefix + "endpoint/"
)

// Client implements Store on the key-value service and limits the rate of calls.
type Client struct {
	store   store.Store
	limiter *rate.Limiter

	mu sync.Mutex
	// list holds the VMs and endpoints that were last decoded from the keys under ListPrefix. newestRevision is the
	// highest revision of these keys, and keyCount is the number of these keys. While newestRevision and keyCount stay
	// the same, the method List does not decode the keys again.
	list           List
	newestRevision Revision
	keyCount       int
}

// NewClient returns a client that makes at most callsPerSecond calls per second on average. A burst may consist of as
// many calls as callsPerSecond, plus one.
func NewClient(s store.Store, callsPerSecond float64) *Client {
	return &Client{store: s, limiter: rate.NewLimiter(rate.Limit(callsPerSecond), int(callsPerSecond)+1)}
}

// call waits for the rate limit, makes one call, and converts the error of the call to an error of this package.
func (c *Client) call(ctx context.Context, timeout time.Duration, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return errors.WithMessage(ErrBudget, err.Error())
	}
	err := do(ctx)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return ErrConflict
	case errors.Is(err, store.ErrLeaseEnded):
		return ErrLeaseLapsed
	default:
		return errors.WithMessage(ErrUnavailable, err.Error())
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	entry := Entry{Key: key}
	err := c.call(ctx, callTimeout, func(ctx context.Context) error {
		item, err := c.store.Get(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			return nil
		}
		entry.Value, entry.Revision = item.Value, item.Revision
		return err
	})
	return entry, err
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(
	ctx context.Context, key string, expected Revision, value []byte, lease LeaseID,
) (Revision, error) {
	return c.commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: key, Revision: expected}},
		Puts:       []store.Put{{Key: key, Value: value, Lease: lease}},
	})
}

// Remove implements Store.
func (c *Client) Remove(ctx context.Context, key string, expected Revision) error {
	_, err := c.commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: key, Revision: expected}}, Removes: []string{key},
	})
	return err
}

func (c *Client) commit(ctx context.Context, t store.Transaction) (Revision, error) {
	var revision Revision
	err := c.call(ctx, callTimeout, func(ctx context.Context) error {
		var err error
		revision, err = c.store.Commit(ctx, t)
		return err
	})
	return revision, err
}

// Changes implements Store.
func (c *Client) Changes(ctx context.Context, prefix string, since Revision, wait time.Duration) (Changes, error) {
	if since == 0 {
		return c.readAll(ctx, prefix)
	}
	var watched store.Changes
	var err error
	historyLost := false
	err = c.call(ctx, callTimeout+wait, func(ctx context.Context) error {
		watched, err = c.store.Watch(ctx, prefix, since, wait)
		historyLost = store.HistoryLost(err)
		if historyLost {
			return nil
		}
		return err
	})
	if historyLost {
		return c.readAll(ctx, prefix)
	}
	changes := Changes{Revision: watched.Revision}
	for _, event := range latestPuts(watched.Events) {
		changes.Entries = append(changes.Entries, Entry{Key: event.Key, Value: event.Value, Revision: event.Revision})
	}
	return changes, err
}

// latestPuts returns the last event of each key, without the keys whose last event is a deletion.
func latestPuts(events []store.Event) []store.Event {
	last := map[string]int{}
	for i, event := range events {
		last[event.Key] = i
	}
	var newest []store.Event
	for i, event := range events {
		if last[event.Key] == i && !event.Deleted {
			newest = append(newest, event)
		}
	}
	return newest
}

// readAll returns all entries under a prefix.
func (c *Client) readAll(ctx context.Context, prefix string) (Changes, error) {
	var page store.Page
	err := c.call(ctx, callTimeout, func(ctx context.Context) error {
		var err error
		page, err = c.store.Range(ctx, prefix)
		return err
	})
	changes := Changes{Revision: page.Revision}
	for _, item := range page.Items {
		changes.Entries = append(changes.Entries, Entry{Key: item.Key, Value: item.Value, Revision: item.Revision})
	}
	return changes, err
}

// GrantLease implements Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var lease LeaseID
	err := c.call(ctx, callTimeout, func(ctx context.Context) error {
		var err error
		lease, err = c.store.Grant(ctx, ttl)
		return err
	})
	return lease, err
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) error {
	return c.call(ctx, callTimeout, func(ctx context.Context) error { return c.store.Renew(ctx, lease) })
}

// List implements Store. If the list cannot be read or decoded, List returns the list that was last decoded together
// with the error.
func (c *Client) List(ctx context.Context) (List, error) {
	changes, err := c.readAll(ctx, ListPrefix)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		return c.list, err
	}
	var newest Revision
	for _, entry := range changes.Entries {
		newest = max(newest, entry.Revision)
	}
	if newest == c.newestRevision && len(changes.Entries) == c.keyCount {
		return c.list, nil
	}
	list, err := decodeList(changes.Entries)
	if err != nil {
		return c.list, err
	}
	list.Version = c.list.Version + 1
	c.list, c.newestRevision, c.keyCount = list, newest, len(changes.Entries)
	return list, nil
}

func decodeList(entries []Entry) (List, error) {
	var list List
	for _, entry := range entries {
		switch {
		case strings.HasPrefix(entry.Key, vmPrefix):
			var v vm.VM
			if err := json.Unmarshal(entry.Value, &v); err != nil {
				return List{}, errors.WithMessage(ErrUnavailable, err.Error())
			}
			list.VMs = append(list.VMs, v)
		case strings.HasPrefix(entry.Key, endpointPrefix):
			var e endpoint.Endpoint
			if err := json.Unmarshal(entry.Value, &e); err != nil {
				return List{}, errors.WithMessage(ErrUnavailable, err.Error())
			}
			list.Endpoints = append(list.Endpoints, e)
		}
	}
	return list, nil
}

// EncodeList returns the keys and values that represent a list in the key-value service.
func EncodeList(list List) (map[string][]byte, error) {
	entries := map[string][]byte{}
	add := func(key string, item any) error {
		value, err := json.Marshal(item)
		entries[key] = value
		return errors.WithStack(err)
	}
	for _, v := range list.VMs {
		if err := add(vmPrefix+string(v.Name), v); err != nil {
			return nil, err
		}
	}
	for _, e := range list.Endpoints {
		if err := add(endpointPrefix+string(e.Name), e); err != nil {
			return nil, err
		}
	}
	return entries, nil
}
