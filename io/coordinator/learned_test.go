package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"auburnstack/core/endpoint"
	"auburnstack/core/planner"
	"auburnstack/core/policy"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
	"auburnstack/core/speed"
	"auburnstack/io/store"
)

// learnedStore is a store that holds one key. All other calls panic.
type learnedStore struct {
	store.Store
	value  []byte
	err    error
	writes []store.Transaction
}

func (s *learnedStore) Get(_ context.Context, key string) (store.Item, error) {
	switch {
	case s.err != nil:
		return store.Item{}, s.err
	case s.value == nil:
		return store.Item{}, store.ErrNotFound
	default:
		return store.Item{Key: key, Value: s.value, Revision: 1}, nil
	}
}

func (s *learnedStore) Commit(_ context.Context, transaction store.Transaction) (store.Revision, error) {
	if s.err != nil {
		return 0, s.err
	}
	s.writes = append(s.writes, transaction)
	s.value = transaction.Puts[0].Value
	return 2, nil
}

func newLearnedTerm(s store.Store) *term {
	t := newTestTerm(&scriptedWorker{})
	t.config.Store = s
	t.config.Settings.LearnSpeeds = true
	t.planner = planner.New(t.config.Settings, &policy.Policy{})
	t.planner.SetWorkers([]roster.Worker{{Name: "w0", Service: "assay", Labels: []string{"a"},
		Capacity: resources.Amounts{Accelerators: 8}}}, time.Now())
	return t
}

// storedSpeeds returns the encoded speeds of some workers, of which w0 is slow.
func storedSpeeds(t *testing.T, workers int) []byte {
	model := speed.New()
	for range 5 {
		var rates []speed.Rate
		for i := range workers {
			rate := speed.Rate{Deviation: 0.03, Worker: speed.Worker{Name: endpoint.Name(fmt.Sprint("w", i)), Kind: "assay a"}}
			if i == 0 {
				rate.Log = -1
			}
			rates = append(rates, rate)
		}
		model.Observe(rates, speed.Unknown(), time.Now())
	}
	value, err := json.Marshal(model.Summary(speed.MaxSummary, time.Now()))
	qt.Assert(t, err, qt.IsNil)
	return value
}

// TestReadLearned guards against learned speeds that a new leader does not use, and against an absent, foreign or
// unavailable record that hinders a new leader.
func TestReadLearned(t *testing.T) {
	good := storedSpeeds(t, 20)
	for name, c := range map[string]struct {
		store learnedStore
		slow  int
	}{
		"good": {store: learnedStore{value: good}, slow: 1}, "absent": {},
		"truncated": {store: learnedStore{value: good[:len(good)/2]}}, "empty": {store: learnedStore{value: []byte{}}},
		"foreign": {store: learnedStore{value: []byte(`[1,"x"]`)}}, "version": {store: learnedStore{value: []byte(`{"Version":9}`)}},
		"range":  {store: learnedStore{value: []byte(`{"Version":1,"Workers":[{"n":"w0","k":7}]}`)}},
		"silent": {store: learnedStore{err: store.ErrUnanswered}},
	} {
		term := newLearnedTerm(&c.store)
		term.readLearned(context.Background())
		counts, learns := term.planner.SpeedCounts(time.Now())
		qt.Check(t, learns, qt.IsTrue)
		qt.Check(t, counts, qt.Equals, planner.SpeedCounts{Slow: c.slow, Unknown: 1 - c.slow}, qt.Commentf("%s", name))
	}
	off := newTestTerm(&scriptedWorker{})
	off.readLearned(context.Background())
}

// TestStoreLearned guards against writes without a change, more often than every five seconds, without the condition on
// the leader's key or larger than the store takes, and against a change that is lost because a write failed.
func TestStoreLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &learnedStore{value: storedSpeeds(t, 200)}
		term := newLearnedTerm(s)
		term.readLearned(context.Background())
		step := func() int {
			term.storeLearned(context.Background(), time.Now())
			synctest.Wait()
			time.Sleep(learnedInterval)
			return len(s.writes)
		}
		qt.Check(t, step(), qt.Equals, 0)
		term.learned.changes--
		s.err = errors.New("down")
		qt.Check(t, step(), qt.Equals, 0)
		s.err = nil
		qt.Check(t, step(), qt.Equals, 1)
		qt.Check(t, s.writes[0].Conditions, qt.DeepEquals, []store.Condition{term.role.Condition()})
		qt.Check(t, s.writes[0].Puts[0].Key, qt.Equals, speedsKey)
		qt.Check(t, step(), qt.Equals, 1)
		term.learned.changes--
		term.config.ValueLimit = 4096
		qt.Check(t, step(), qt.Equals, 2)
		qt.Check(t, len(s.writes[1].Puts[0].Value) <= 2048, qt.IsTrue)
		term.learned.changes--
		term.storeLearned(context.Background(), time.Now())
		term.storeLearned(context.Background(), time.Now().Add(time.Second))
		synctest.Wait()
		qt.Check(t, s.writes, qt.HasLen, 3)
	})
}
