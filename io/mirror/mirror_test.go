package mirror

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"auburnstack/io/store"
	"auburnstack/standin/memstore"
)

// options are those of the mirrors in the tests.
var options = Options{
	Prefix: "a/", Wait: 600 * time.Millisecond, Margin: 400 * time.Millisecond, Timeout: 10 * time.Second,
}

// recorder keeps the keys that a Mirror has reported.
type recorder struct {
	mu sync.Mutex
	// keys holds the keys reported so far, reads the number of calls of Replaced.
	keys  map[string]bool
	reads int
}

// Replaced implements Listener.
func (r *recorder) Replaced(items []store.Item, _ store.Revision, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	for _, item := range items {
		r.keys[item.Key] = true
	}
}

// Changed implements Listener.
func (r *recorder) Changed(events []store.Event, _ store.Revision, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range events {
		r.keys[e.Key] = true
	}
}

func (r *recorder) has(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys[key]
}

func (r *recorder) readCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads
}

// TestUnansweredWatch guards against changes that are not read for seconds because the store leaves a watch unanswered,
// although it answers reads.
func TestUnansweredWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, r := memstore.New(1), &recorder{keys: map[string]bool{}}
		m := New(service.Client(), options, hclog.NewNullLogger(), r)
		defer m.Close()
		time.Sleep(time.Second)
		service.SetFaults(memstore.Faults{WatchesUnanswered: true})
		time.Sleep(700 * time.Millisecond)
		for _, key := range []string{"a/1", "a/2", "a/3"} {
			service.Put(key, nil)
			time.Sleep(1300 * time.Millisecond)
			qt.Check(t, r.has(key), qt.IsTrue, qt.Commentf(key))
		}
	})
}

// TestSlowStore guards against a mirror that gives up each watch on a slow store, and reads all items again and again.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, r := memstore.New(1), &recorder{keys: map[string]bool{}}
		m := New(service.Client(), options, hclog.NewNullLogger(), r)
		defer m.Close()
		time.Sleep(time.Second)
		service.SetFaults(memstore.Faults{Slow: 900 * time.Millisecond})
		time.Sleep(30 * time.Second)
		qt.Check(t, r.readCount() <= 2, qt.IsTrue, qt.Commentf("%d reads", r.readCount()))
	})
}
