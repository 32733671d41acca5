package rosterwatch

import (
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"auburnstack/core/endpoint"
	"auburnstack/core/roster"
	"auburnstack/io/store"
	"auburnstack/standin/memstore"
)

// plainCodec stores registrations as they are.
type plainCodec struct{}

// Prefix implements Codec.
func (plainCodec) Prefix() string { return "workers/" }

// Decode implements Codec.
func (plainCodec) Decode(item store.Item) (roster.Worker, error) {
	var w roster.Worker
	err := json.Unmarshal(item.Value, &w)
	return w, err
}

// recorder keeps what a Watcher has reported: the names of the workers last listed, and how often each was removed.
type recorder struct {
	mu      sync.Mutex
	listed  []endpoint.Name
	removed map[endpoint.Name]int
	// revision is the revision of the registration last listed.
	revision int64
	// age is the age of the last report.
	age time.Duration
}

func (r *recorder) onChange(workers, removed []roster.Worker, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.age = age
	r.listed = nil
	for i := range workers {
		r.listed = append(r.listed, workers[i].Name)
		r.revision = workers[i].Revision
	}
	for i := range removed {
		r.removed[removed[i].Name]++
	}
}

func (r *recorder) lastListed() []endpoint.Name {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

func (r *recorder) lastRevision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

func (r *recorder) lastAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.age
}

func (r *recorder) removals(name endpoint.Name) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.removed[name]
}

// watched is a Watcher of a store with one worker, and what it has reported.
type watched struct {
	t        *testing.T
	service  *memstore.Service
	reported *recorder
}

// watch runs a test in virtual time on a store with one worker in the given state.
func watch(t *testing.T, state roster.State, test func(w *watched)) {
	synctest.Test(t, func(t *testing.T) {
		w := &watched{t: t, service: memstore.New(1), reported: &recorder{removed: map[endpoint.Name]int{}}}
		w.write(state)
		started := time.Now()
		clock := func() time.Duration { return time.Since(started) }
		watcher := New(w.service.Client(), plainCodec{}, clock, hclog.NewNullLogger(), w.reported.onChange)
		defer watcher.Close()
		time.Sleep(time.Second)
		test(w)
	})
}

func (w *watched) write(state roster.State) {
	value, err := json.Marshal(roster.Worker{Name: "a", State: state})
	qt.Assert(w.t, err, qt.IsNil)
	w.service.Put("workers/a", value)
}

func (w *watched) remove() { w.service.Remove("workers/a") }

// loseHistory makes the given changes while watches hear nothing, and then discards the history.
func (w *watched) loseHistory(changes func()) {
	w.service.SetWatchesStalled(true)
	changes()
	w.service.Compact()
	w.service.SetWatchesStalled(false)
	time.Sleep(time.Second)
}

// TestRemovedInHistoryGap guards against a worker that leaves while the watch has lost its history and is never
// reported as removed: its runs waited for its whole lease. The worker stays listed, as its registration may come back.
func TestRemovedInHistoryGap(t *testing.T) {
	watch(t, roster.Draining, func(w *watched) {
		w.loseHistory(w.remove)
		qt.Check(t, w.reported.removals("a"), qt.Equals, 1)
		qt.Check(t, w.reported.lastListed(), qt.DeepEquals, []endpoint.Name{"a"})
		time.Sleep(missingGracePeriod + time.Second)
		qt.Check(t, w.reported.removals("a"), qt.Equals, 1)
		qt.Check(t, w.reported.lastListed(), qt.HasLen, 0)
	})
}

// TestLateRegistrationsAreOld guards against a start on a worker that has announced to leave while the answer with its
// earlier registration was under way.
func TestLateRegistrationsAreOld(t *testing.T) {
	watch(t, roster.Ready, func(w *watched) {
		const late = 250 * time.Millisecond
		w.service.SetFaults(memstore.Faults{LateReplies: late})
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			w.write(roster.Ready)
		}
		qt.Check(t, w.reported.lastAge() >= late, qt.IsTrue, qt.Commentf("%s", w.reported.lastAge()))
	})
}

// TestReadyWorkerMissing checks that a worker which had not announced to leave is reported as removed only after the
// grace period.
func TestReadyWorkerMissing(t *testing.T) {
	watch(t, roster.Ready, func(w *watched) {
		w.loseHistory(w.remove)
		qt.Check(t, w.reported.removals("a"), qt.Equals, 0)
		time.Sleep(missingGracePeriod + time.Second)
		qt.Check(t, w.reported.removals("a"), qt.Equals, 1)
	})
}

// TestRewrittenIsNotRemoved guards against a worker that counts as removed although it has registered again before the
// watch returned.
func TestRewrittenIsNotRemoved(t *testing.T) {
	watch(t, roster.Draining, func(w *watched) {
		w.service.SetWatchesStalled(true)
		w.remove()
		w.write(roster.Draining)
		w.service.SetWatchesStalled(false)
		time.Sleep(time.Second)
		qt.Check(t, w.reported.removals("a"), qt.Equals, 0)
		qt.Check(t, w.reported.lastListed(), qt.DeepEquals, []endpoint.Name{"a"})
	})
}

// TestRevision checks that a worker carries the revision of its registration, which tells the age of the last write.
func TestRevision(t *testing.T) {
	watch(t, roster.Ready, func(w *watched) {
		first := w.reported.lastRevision()
		w.write(roster.Draining)
		time.Sleep(time.Second)
		qt.Check(t, first > 0, qt.IsTrue)
		qt.Check(t, w.reported.lastRevision() > first, qt.IsTrue)
	})
}
