// Package jobbook stores job records in the platform's store.
package jobbook

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"auburnstack/core/job"
	"auburnstack/io/page"
	"auburnstack/io/platform"
)

const (
	// Pages is the number of keys over which the job records are distributed. The value of one key is called a page.
	Pages = 256
	// prefix is the common prefix of the keys of all pages.
	prefix = "jobs/"
	// retention is the time for which the record of an ended job is kept.
	retention = 24 * time.Hour
	// commitTimeout is the timeout of one group commit.
	commitTimeout = 2 * time.Second
	// parallelPages is the maximum number of pages that Fence rewrites concurrently.
	parallelPages = 16
)

// ErrNotFound reports that a job has no record.
var ErrNotFound = errors.New("there is no such job")

// contents is the stored form of a page.
type contents struct {
	Jobs map[job.ID]job.Record
	// Withdrawn holds the times at which jobs without a record were canceled.
	Withdrawn map[job.ID]time.Time `json:",omitempty"`
}

// Book reads and writes job records. It is safe for concurrent use.
type Book struct {
	store  platform.Store
	writer string

	mu     sync.Mutex
	pages  map[int]*page.Committer[contents]
	closed bool
}

// NewBook returns a book. The writer's name must be unique across processes and restarts (see page.New).
func NewBook(store platform.Store, writer string) *Book {
	return &Book{store: store, writer: writer, pages: map[int]*page.Committer[contents]{}}
}

// Close stops the committers of all pages and waits until they have ended.
func (b *Book) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, p := range b.pages {
		p.Close()
	}
}

// Submit stores a new job and returns its record. If the same job was submitted before, it returns the stored record.
// It fails with job.ErrMismatch if the ID belongs to another job, with ErrWithdrawn if the job was canceled before, and
// with page.ErrUnknownEffect if the store did not confirm the write.
func (b *Book) Submit(ctx context.Context, record job.Record) (job.Record, error) {
	var stored job.Record
	err := b.commit(ctx, record.ID, func(c *contents) error {
		known, exists := c.Jobs[record.ID]
		if exists && !known.SameSubmission(record) {
			return job.ErrMismatch
		}
		if exists {
			stored = known
			return nil
		}
		if at, withdrawn := c.Withdrawn[record.ID]; withdrawn && isWithdrawn(at, record.Submitted) {
			return ErrWithdrawn
		}
		prune(c, record.Submitted)
		record.Version = 1
		c.Jobs[record.ID] = record
		stored = record
		return nil
	})
	return stored, err
}

// Update applies the function change to a job's record and returns the stored record. It fails with ErrNotFound,
// page.ErrUnknownEffect or the error of change; with an error of change, it also returns the record as it was found.
// Update may call change several times.
func (b *Book) Update(
	ctx context.Context, id job.ID, change func(job.Record) (job.Record, error),
) (job.Record, error) {
	var stored job.Record
	err := b.commit(ctx, id, func(c *contents) error {
		known, exists := c.Jobs[id]
		if !exists {
			return ErrNotFound
		}
		changed, err := change(known)
		if err != nil {
			stored = known
			return err
		}
		changed.Version = known.Version + 1
		c.Jobs[id] = changed
		stored = changed
		return nil
	})
	return stored, err
}

// Fence rewrites the pages of the given jobs with unchanged records. The new revisions make the store refuse any write
// that is based on an earlier read of such a page. It fails with page.ErrUnknownEffect.
func (b *Book) Fence(ctx context.Context, ids []job.ID) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelPages)
	fenced := map[int]bool{}
	for _, id := range ids {
		if fenced[pageOf(id)] {
			continue
		}
		fenced[pageOf(id)] = true
		group.Go(func() error {
			return b.commit(ctx, id, func(*contents) error { return nil })
		})
	}
	return group.Wait()
}

// Get reads one record. It fails with ErrNotFound or a platform error.
func (b *Book) Get(ctx context.Context, id job.ID) (job.Record, error) {
	entry, err := b.store.Get(ctx, pageKey(pageOf(id)))
	if err != nil {
		return job.Record{}, err
	}
	content, err := page.Decode[contents](entry.Value)
	if err != nil {
		return job.Record{}, err
	}
	record, exists := content.Jobs[id]
	if !exists {
		return job.Record{}, ErrNotFound
	}
	return record, nil
}

// Changed returns the records, ordered by ID, on all pages that have changed after the given revision. It also returns
// the revision from which the next call should continue.
func (b *Book) Changed(ctx context.Context, since platform.Revision) ([]job.Record, platform.Revision, error) {
	changes, err := b.store.Changes(ctx, prefix, since, 0)
	if err != nil {
		return nil, since, err
	}
	var records []job.Record
	for _, entry := range changes.Entries {
		content, err := page.Decode[contents](entry.Value)
		if err != nil {
			return nil, since, err
		}
		for _, record := range content.Jobs {
			records = append(records, record)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].ID < records[j].ID })
	return records, changes.Revision, nil
}

func (b *Book) commit(ctx context.Context, id job.ID, apply func(*contents) error) error {
	committer, err := b.page(pageOf(id))
	if err != nil {
		return err
	}
	return committer.Commit(ctx, func(c *contents) error {
		if c.Jobs == nil {
			c.Jobs = map[job.ID]job.Record{}
		}
		return apply(c)
	})
}

func (b *Book) page(number int) (*page.Committer[contents], error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, page.ErrClosed
	}
	committer, open := b.pages[number]
	if !open {
		committer = page.New[contents](b.store, pageKey(number), b.writer, commitTimeout)
		b.pages[number] = committer
	}
	return committer, nil
}

// pageOf returns the page number of a job. Jobs whose IDs share the part before the first slash are on one page, so
// that a batch can be stored by one commit.
func pageOf(id job.ID) int {
	group, _, _ := strings.Cut(string(id), "/")
	return int(xxhash.Sum64String(group) % Pages)
}

func pageKey(number int) string {
	return fmt.Sprintf("%s%03d", prefix, number)
}

// prune deletes the records of jobs that ended more than retention ago, and the withdrawals that no longer hold.
func prune(c *contents, now time.Time) {
	for id, record := range c.Jobs {
		if record.State.Final() && now.Sub(record.Ended) > retention {
			delete(c.Jobs, id)
		}
	}
	for id, at := range c.Withdrawn {
		if !isWithdrawn(at, now) {
			delete(c.Withdrawn, id)
		}
	}
}
