package jobbook_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"auburnstack/core/job"
	"auburnstack/core/shape"
	"auburnstack/io/jobbook"
	"auburnstack/io/platform"
	standin "auburnstack/standin/platform"
)

// heldStore delays its first write until released is closed.
type heldStore struct {
	platform.Store
	held     chan struct{}
	released chan struct{}
	writes   int
}

func (s *heldStore) CompareAndSwap(
	ctx context.Context, key string, expected platform.Revision, value []byte, lease platform.LeaseID,
) (platform.Revision, error) {
	s.writes++
	if s.writes == 1 {
		close(s.held)
		<-s.released
	}
	return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

// TestFenceRefusesLateWrite lets a write of an earlier scheduler reach the store after the successor has fenced the
// page. The store must refuse the write. The change is then evaluated again, and by then the earlier scheduler knows
// that its lease has expired.
func TestFenceRefusesLateWrite(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	store := standin.New()
	late := &heldStore{Store: store, held: make(chan struct{}), released: make(chan struct{})}
	earlier, successor := jobbook.NewBook(late, "earlier"), jobbook.NewBook(store, "successor")
	defer earlier.Close()
	defer successor.Close()
	_, err := successor.Submit(ctx, job.Record{
		ID: "Desks:Model-1", Shape: shape.Shape{Members: 1, Accelerators: 8},
		FailureDomain: "East", State: job.Accepted, Attempt: 1,
	})
	qt.Assert(t, err, qt.IsNil)

	timeOver := errors.New("the time is over")
	allowed := true
	moved := make(chan error, 1)
	go func() {
		_, err := earlier.Update(ctx, "Desks:Model-1", func(record job.Record) (job.Record, error) {
			if !allowed {
				return record, timeOver
			}
			record.FailureDomain = "North"
			return record, nil
		})
		moved <- err
	}()
	select {
	case <-late.held:
	case err := <-moved:
		t.Fatalf("%+v", err)
	}
	qt.Assert(t, successor.Fence(ctx, []job.ID{"Desks:Model-1"}), qt.IsNil)
	allowed = false
	close(late.released)

	qt.Assert(t, <-moved, qt.ErrorIs, timeOver)
	record, err := successor.Get(ctx, "Desks:Model-1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(record.FailureDomain), qt.Equals, "East")
}
