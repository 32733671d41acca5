package page_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"auburnstack/io/page"
	"auburnstack/standin/platform"
)

type counts map[string]int

var errMissing = errors.New("missing")

func add(key string) func(*counts) error {
	return func(c *counts) error {
		if *c == nil {
			*c = counts{}
		}
		(*c)[key]++
		return nil
	}
}

func require(key string) func(*counts) error {
	return func(c *counts) error {
		if (*c)[key] == 0 {
			return errMissing
		}
		(*c)[key]++
		return nil
	}
}

// Commit must not refuse a mutation on the basis of an outdated cached copy of the page. Here another writer has
// changed the page after the committer cached it.
func TestRefusalRestsOnCurrentPage(t *testing.T) {
	c := qt.New(t)
	store := platform.New()
	first := page.New[counts](store, "p", "first", time.Second)
	defer first.Close()
	second := page.New[counts](store, "p", "second", time.Second)
	defer second.Close()
	ctx := context.Background()

	c.Assert(first.Commit(ctx, add("a")), qt.IsNil)
	c.Assert(second.Commit(ctx, add("b")), qt.IsNil)
	c.Assert(first.Commit(ctx, require("b")), qt.IsNil)
	c.Assert(first.Commit(ctx, require("c")), qt.ErrorIs, errMissing)
}

// The store accepts a write but the store's reply is lost. The writer must find its commit mark when it tries again,
// and must not apply the mutation twice.
func TestLostReplyCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := platform.New()
		writer := page.New[counts](store, "p", "writer", 2*time.Second)
		defer writer.Close()
		ctx := context.Background()

		store.SetFault(platform.LoseReplies)
		time.AfterFunc(500*time.Millisecond, func() { store.SetFault(platform.NoFault) })
		c.Assert(writer.Commit(ctx, add("a")), qt.IsNil)
		content, err := writer.Read(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(content["a"], qt.Equals, 1)
	})
}

// When the store does not answer at all, Commit must report that the effect is unknown.
func TestSilentStoreIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := platform.New()
		writer := page.New[counts](store, "p", "writer", time.Second)
		defer writer.Close()
		store.SetFault(platform.Down)
		c.Assert(writer.Commit(context.Background(), add("a")), qt.ErrorIs, page.ErrUnknownEffect)
	})
}
