package tables_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"auburnstack/core/table"
	"auburnstack/io/tables"
	"auburnstack/standin/platform"
)

func poolsText(count int) string {
	return fmt.Sprintf("[Pool.P]\nClientAccount = A\nShape = 1x1\nCount = %d\nFailureDomains = D\n", count)
}

func newFollower(store *platform.Engine) *tables.Follower {
	return tables.New(store, func(*table.Tables) {})
}

// A lower revision of the tables must never replace a higher revision.
func TestNeverReverts(t *testing.T) {
	c := qt.New(t)
	f := newFollower(platform.New())
	for _, step := range []struct {
		revision table.Revision
		adopted  bool
	}{{3, true}, {2, false}, {3, false}, {7, true}, {6, false}} {
		offered, err := table.Parse(step.revision, "", poolsText(int(step.revision)))
		c.Assert(err, qt.IsNil)
		c.Assert(f.Adopt(offered), qt.Equals, step.adopted)
	}
	c.Assert(f.Current().Revision, qt.Equals, table.Revision(7))
}

// Of several operators who edit the same revision concurrently, only one may succeed. The others must get the rows of
// the accepted edit and change nothing.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := platform.New()
		errs := make([]error, 8)
		var group sync.WaitGroup
		for i := range errs {
			group.Go(func() {
				_, errs[i] = newFollower(store).Put(
					context.Background(), 0, table.EditID(fmt.Sprintf("edit-%d", i)), "", poolsText(i))
			})
		}
		group.Wait()
		accepted := 0
		for _, err := range errs {
			var conflict *tables.ConflictError
			if err == nil {
				accepted++
				continue
			}
			c.Assert(errors.As(err, &conflict), qt.IsTrue)
			c.Assert(conflict.Changes, qt.DeepEquals, []string{"~ Pools [Pool.P]"})
		}
		c.Assert(accepted, qt.Equals, 1)
	})
}

// An edit whose replies from the store are lost must be made exactly once, under one revision. A repetition of this
// edit must change nothing.
func TestLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := platform.New()
		f := newFollower(store)
		store.SetFault(platform.LoseReplies)
		time.AfterFunc(time.Second, func() { store.SetFault(platform.NoFault) })
		for range 2 {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			revision, err := f.Put(ctx, 0, "edit", "", poolsText(1))
			cancel()
			c.Assert(err, qt.IsNil)
			c.Assert(revision, qt.Equals, table.Revision(1))
		}
	})
}

// A VM must load the snapshot of the complete tables if it lacks more edits than the head, the store record of the
// accepted revision, holds.
func TestSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := platform.New()
		writer, reader := newFollower(store), newFollower(store)
		for i := range 3 * table.RecentEdits {
			_, err := writer.Put(context.Background(), table.Revision(i), table.EditID(fmt.Sprint(i)), "", poolsText(i))
			c.Assert(err, qt.IsNil)
			if i == 1 {
				c.Assert(reader.Refresh(context.Background()), qt.IsNil)
			}
		}
		c.Assert(reader.Refresh(context.Background()), qt.IsNil)
		c.Assert(reader.Current().Digest(), qt.Equals, writer.Current().Digest())
		fresh := newFollower(store)
		c.Assert(fresh.Refresh(context.Background()), qt.IsNil)
		c.Assert(fresh.Current().Revision, qt.Equals, table.Revision(3*table.RecentEdits))
	})
}
