// Package page stores typed values in the platform's store. A page is the value of one key and holds many records.
// Changes that arrive together are written together (group commit).
package page

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"auburnstack/io/platform"
)

const (
	// maxCommitMarks is the maximum number of commit marks in a stored page. A commit mark is a string that identifies
	// one commit. A writer that got no reply from the store uses it to find out whether its commit took effect.
	maxCommitMarks = 64
	// maxBatch is the maximum number of mutations in one commit.
	maxBatch = 512
)

// ErrUnknownEffect reports that a mutation may or may not have been committed.
var ErrUnknownEffect = errors.New("the store did not confirm the write, which may have taken effect")

// ErrClosed reports a mutation that was requested after Close.
var ErrClosed = errors.New("the page is closed")

// envelope is the stored form of a page: its content and the marks of its last commits.
type envelope[T any] struct {
	// Commits holds the marks of the last commits. A mark identifies one commit. A writer that got no reply from the
	// store finds its own mark here if the write took effect.
	Commits []string
	Content T
}

// mutation is a change that waits to be committed.
type mutation[T any] struct {
	ctx    context.Context
	apply  func(*T) error
	result chan error
}

// Committer applies mutations to one page. Mutations that arrive together are stored by one compare-and-swap.
type Committer[T any] struct {
	store    platform.Store
	key      string
	writer   string
	queue    chan mutation[T]
	done     chan struct{}
	stop     context.CancelFunc
	stopped  context.Context
	sequence int
	// cached is the page's entry in the store as the committer last read or wrote it, or empty. It may be outdated,
	// which the compare-and-swap detects.
	cached        platform.Entry
	closing       sync.Once
	commitTimeout time.Duration
}

// New returns a committer for a key and starts it. The writer's name must be unique across processes and restarts,
// because commit marks are made from it. A commit is given up after commitTimeout.
func New[T any](store platform.Store, key, writer string, commitTimeout time.Duration) *Committer[T] {
	stopped, stop := context.WithCancel(context.Background()) //nolint:gosec // Close calls stop
	c := &Committer[T]{
		store: store, key: key, writer: writer, commitTimeout: commitTimeout,
		queue: make(chan mutation[T], maxBatch), done: make(chan struct{}),
		stop: stop, stopped: stopped,
	}
	go c.run()
	return c
}

// Close stops the committer and waits until it has ended. Mutations in flight fail with ErrUnknownEffect.
func (c *Committer[T]) Close() {
	c.closing.Do(c.stop)
	<-c.done
}

// Commit applies a mutation and returns once the changed page is stored. Commit may call the mutation several times,
// with different versions of the page, before one version is stored. If the mutation returns an error, it must leave
// the page unchanged; Commit returns that error. Commit returns ErrUnknownEffect if the store did not confirm the write
// in time.
func (c *Committer[T]) Commit(ctx context.Context, apply func(*T) error) error {
	m := mutation[T]{ctx: ctx, apply: apply, result: make(chan error, 1)}
	select {
	case c.queue <- m:
	case <-c.stopped.Done():
		return ErrClosed
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
	select {
	case err := <-m.result:
		return err
	case <-c.done:
		return ErrClosed
	}
}

// Read returns the page's content as it is in the store.
func (c *Committer[T]) Read(ctx context.Context) (T, error) {
	var content envelope[T]
	entry, err := c.store.Get(ctx, c.key)
	if err != nil {
		return content.Content, err
	}
	content, err = decode[T](entry.Value)
	return content.Content, err
}

// Decode returns the content of a stored page, without its commit marks.
func Decode[T any](value []byte) (T, error) {
	content, err := decode[T](value)
	return content.Content, err
}

func decode[T any](value []byte) (envelope[T], error) {
	var content envelope[T]
	if len(value) == 0 {
		return content, nil
	}
	return content, errors.WithStack(json.Unmarshal(value, &content))
}

func (c *Committer[T]) run() {
	defer close(c.done)
	for {
		select {
		case first := <-c.queue:
			c.commitBatch(c.collect(first))
		case <-c.stopped.Done():
			return
		}
	}
}

func (c *Committer[T]) collect(first mutation[T]) []mutation[T] {
	batch := []mutation[T]{first}
	for len(batch) < maxBatch {
		select {
		case next := <-c.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// commitBatch applies and stores the mutations of a batch, and sends each caller its result. It gives up after
// commitTimeout, whatever the deadlines of the callers are.
func (c *Committer[T]) commitBatch(batch []mutation[T]) {
	ctx, cancel := context.WithTimeout(c.stopped, c.commitTimeout)
	defer cancel()
	c.sequence++
	mark := fmt.Sprintf("%s/%d", c.writer, c.sequence)
	var results []error
	attempt := func() (struct{}, error) {
		var err error
		results, err = c.tryCommit(ctx, mark, batch, results)
		return struct{}{}, err
	}
	if _, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(newBackOff())); err != nil {
		c.cached = platform.Entry{}
		for _, m := range batch {
			m.result <- errors.WithMessage(ErrUnknownEffect, err.Error())
		}
		return
	}
	for i, m := range batch {
		m.result <- results[i]
	}
}

// tryCommit makes one attempt to commit a batch. The parameter results holds the results of the previous attempt, or is
// nil. tryCommit returns these results if it finds the commit mark in the page, since the previous attempt was then
// stored although its reply was lost.
func (c *Committer[T]) tryCommit(
	ctx context.Context, mark string, batch []mutation[T], results []error,
) ([]error, error) {
	guessed := c.cached.Key != ""
	if err := c.refresh(ctx); err != nil {
		return results, err
	}
	content, err := decode[T](c.cached.Value)
	if err != nil {
		return results, backoff.Permanent(err)
	}
	if results != nil && slices.Contains(content.Commits, mark) {
		return results, nil
	}
	results = make([]error, len(batch))
	changed := false
	for i, m := range batch {
		results[i] = m.apply(&content.Content)
		changed = changed || results[i] == nil
	}
	if !changed && guessed {
		// All mutations refused the cached page, which may be outdated. They are applied once more to the page as read
		// from the store.
		c.cached = platform.Entry{}
		return c.tryCommit(ctx, mark, batch, nil)
	}
	if !changed {
		return results, nil
	}
	return results, c.write(ctx, mark, content)
}

func (c *Committer[T]) refresh(ctx context.Context) error {
	if c.cached.Key != "" {
		return nil
	}
	entry, err := c.store.Get(ctx, c.key)
	if err != nil {
		return err
	}
	entry.Key = c.key
	c.cached = entry
	return nil
}

func (c *Committer[T]) write(ctx context.Context, mark string, content envelope[T]) error {
	content.Commits = append(content.Commits, mark)
	if len(content.Commits) > maxCommitMarks {
		content.Commits = content.Commits[len(content.Commits)-maxCommitMarks:]
	}
	value, err := json.Marshal(content)
	if err != nil {
		return backoff.Permanent(errors.WithStack(err))
	}
	revision, err := c.store.CompareAndSwap(ctx, c.key, c.cached.Revision, value, 0)
	if err != nil {
		c.cached = platform.Entry{}
		return err
	}
	c.cached = platform.Entry{Key: c.key, Value: value, Revision: revision}
	return nil
}

func newBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 5 * time.Millisecond
	b.MaxInterval = 500 * time.Millisecond
	return b
}
