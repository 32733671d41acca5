// Package claim ensures that a non-idempotent request runs at most once even if its caller repeats it. A VM claims the
// request in the store before it runs it.
package claim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"auburnstack/core/account"
	"auburnstack/core/request"
	"auburnstack/io/page"
	"auburnstack/io/platform"
)

const (
	// Pages is the number of keys over which the claims are distributed. The value of one key is called a page.
	Pages = 16
	// retention is the time for which a claim is kept.
	retention = 10 * time.Minute
	// commitTimeout is the timeout of one group commit.
	commitTimeout = 2 * time.Second
	// releaseTimeout is the time after which Release gives up.
	releaseTimeout = time.Minute
	// releasePause is the time between two attempts to release a claim.
	releasePause = time.Second
)

// ErrClaimed reports that the request was claimed before, so it may have run.
var ErrClaimed = errors.New("the request was claimed before")

// Token identifies one attempt to claim a request.
type Token string

// entry is the stored form of a claim: the token of the attempt that made the claim, and the time at which it was made.
type entry struct {
	Token Token
	Made  time.Time
}

// contents is the stored form of a page. It holds one entry for each claim.
type contents struct {
	Claims map[string]entry
}

// Book stores the claims of all VMs in the platform's store.
type Book struct {
	pages []*page.Committer[contents]
	// stopped is canceled by Close. The goroutines that release claims then end.
	stopped  context.Context
	stop     context.CancelFunc
	releases sync.WaitGroup
}

// NewBook returns a Book and starts the committers of its pages. The writer's name must be unique across processes and
// restarts (see page.New).
func NewBook(store platform.Store, writer string) *Book {
	b := &Book{}
	b.stopped, b.stop = context.WithCancel(context.Background())
	for i := range Pages {
		key := fmt.Sprintf("claims/%02d", i)
		b.pages = append(b.pages, page.New[contents](store, key, writer, commitTimeout))
	}
	return b
}

// Close stops all releases and committers and waits until they have ended.
func (b *Book) Close() {
	b.stop()
	b.releases.Wait()
	for _, p := range b.pages {
		p.Close()
	}
}

// Claim stores that the holder of the token may run a request. It fails with ErrClaimed if another token holds the
// claim, and with page.ErrUnknownEffect if the store does not answer.
func (b *Book) Claim(ctx context.Context, owner account.Name, id request.ID, token Token) error {
	key := claimKey(owner, id)
	now := time.Now()
	return b.page(key).Commit(ctx, func(c *contents) error {
		if held, taken := c.Claims[key]; taken && held.Token != token {
			return ErrClaimed
		}
		prune(c, now)
		c.Claims[key] = entry{Token: token, Made: now}
		return nil
	})
}

// ReleaseLater releases a claim in the background.
func (b *Book) ReleaseLater(owner account.Name, id request.ID, token Token) {
	b.releases.Go(func() { b.Release(owner, id, token) })
}

// Release deletes the claim of a request that was not run, so that its caller may repeat the request. It retries until
// the claim is deleted, or until releaseTimeout has passed or the book is closed.
func (b *Book) Release(owner account.Name, id request.ID, token Token) {
	ctx, cancel := context.WithTimeout(b.stopped, releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		err := b.release(ctx, owner, id, token)
		if err == nil || errors.Is(err, page.ErrClosed) {
			return
		}
		select {
		case <-time.After(releasePause):
		case <-ctx.Done():
		}
	}
}

func (b *Book) release(ctx context.Context, owner account.Name, id request.ID, token Token) error {
	key := claimKey(owner, id)
	return b.page(key).Commit(ctx, func(c *contents) error {
		if c.Claims[key].Token == token {
			delete(c.Claims, key)
		}
		return nil
	})
}

func (b *Book) page(key string) *page.Committer[contents] {
	return b.pages[xxhash.Sum64String(key)%Pages]
}

// prune deletes the claims that are older than retention, and creates the map Claims if the page has none.
func prune(c *contents, now time.Time) {
	if c.Claims == nil {
		c.Claims = map[string]entry{}
	}
	for key, held := range c.Claims {
		if now.Sub(held.Made) > retention {
			delete(c.Claims, key)
		}
	}
}

func claimKey(owner account.Name, id request.ID) string {
	return string(owner) + "/" + string(id)
}
