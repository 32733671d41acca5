package store

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// outageAfter is the minimum time without an answer before failed calls count as an outage of the store.
const outageAfter = 1200 * time.Millisecond

// Monitor wraps a Store and records whether its calls are answered.
type Monitor struct {
	store Store

	mu sync.Mutex
	// lastAnswer is the time of the last call that the store answered. lastFailure is the time of the last call that
	// failed.
	lastAnswer, lastFailure time.Time
}

// NewMonitor returns a monitor that counts its creation as the store's first answer.
func NewMonitor(s Store) *Monitor {
	return &Monitor{store: s, lastAnswer: time.Now()}
}

// Answering reports whether the store answers this VM's calls: the last call was answered, or the last answer came less
// than outageAfter ago.
func (m *Monitor) Answering() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastAnswer.After(m.lastFailure) || time.Since(m.lastAnswer) < outageAfter
}

// SinceLastAnswer returns the time since the store's last answer.
func (m *Monitor) SinceLastAnswer() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.lastAnswer)
}

// record records the outcome of a call and returns its error. Only ErrRefused and ErrUnanswered count as failures. Any
// other error, such as a conflict, counts as an answer of the store.
func (m *Monitor) record(ctx context.Context, err error) error {
	failed := errors.Is(err, ErrRefused) || errors.Is(err, ErrUnanswered)
	if failed && errors.Is(ctx.Err(), context.Canceled) {
		// The caller canceled the call, which says nothing about the store.
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if failed {
		m.lastFailure = time.Now()
	} else {
		m.lastAnswer = time.Now()
	}
	return err
}

// Get implements Store.
func (m *Monitor) Get(ctx context.Context, key string) (Item, error) {
	item, err := m.store.Get(ctx, key)
	return item, m.record(ctx, err)
}

// Range implements Store.
func (m *Monitor) Range(ctx context.Context, prefix string) (Page, error) {
	page, err := m.store.Range(ctx, prefix)
	return page, m.record(ctx, err)
}

// Watch implements Store.
func (m *Monitor) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error) {
	changes, err := m.store.Watch(ctx, prefix, after, wait)
	return changes, m.record(ctx, err)
}

// Commit implements Store.
func (m *Monitor) Commit(ctx context.Context, transaction Transaction) (Revision, error) {
	revision, err := m.store.Commit(ctx, transaction)
	return revision, m.record(ctx, err)
}

// Grant implements Store.
func (m *Monitor) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	lease, err := m.store.Grant(ctx, ttl)
	return lease, m.record(ctx, err)
}

// Renew implements Store.
func (m *Monitor) Renew(ctx context.Context, lease LeaseID) error {
	return m.record(ctx, m.store.Renew(ctx, lease))
}

// End implements Store.
func (m *Monitor) End(ctx context.Context, lease LeaseID) error {
	return m.record(ctx, m.store.End(ctx, lease))
}
