package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/io/election"
	"auburnstack/io/store"
	"auburnstack/standin/memstore"
)

// TestWithdrawnKeysAreRemoved checks that the key of a withdrawn job is kept for the retention time after its last
// change, as a submission may still be on its way, and is then removed.
func TestWithdrawnKeysAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const retention = 2 * time.Minute
		service := memstore.New(1)
		revision, err := service.Client().Commit(context.Background(), store.Transaction{
			Puts: []store.Put{{Key: election.Key, Value: []byte("{}")}},
		})
		qt.Assert(t, err, qt.IsNil)
		term := newTestTerm(&scriptedWorker{})
		term.config.Store, term.config.Settings.RetainFinal = service.Client(), retention
		term.role = election.NewRole(context.Background(), revision, 1, func() time.Duration { return 0 }, time.Hour)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go term.removeWithdrawn(ctx)
		service.Put(WithdrawnKey("a"), []byte("{}"))
		time.Sleep(time.Minute)
		service.Put(WithdrawnKey("b"), []byte("{}"))
		service.Put(WithdrawnKey("c"), []byte("{}"))
		time.Sleep(time.Minute)
		service.Put(WithdrawnKey("c"), []byte(`{"Accounts":["x"]}`))
		time.Sleep(time.Minute)
		qt.Check(t, service.Keys(withdrawnPrefix), qt.DeepEquals, []string{WithdrawnKey("b"), WithdrawnKey("c")})
		time.Sleep(time.Minute)
		qt.Check(t, service.Keys(withdrawnPrefix), qt.DeepEquals, []string{WithdrawnKey("c")})
		time.Sleep(time.Minute)
		qt.Check(t, service.Keys(withdrawnPrefix), qt.HasLen, 0)
	})
}
