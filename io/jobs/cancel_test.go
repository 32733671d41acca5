package jobs

import (
	"context"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/domain"
	"auburnstack/core/job"
	"auburnstack/core/shape"
	"auburnstack/io/jobbook"
	"auburnstack/io/platform"
	standin "auburnstack/standin/platform"
)

// heldStore delays its first write until released is closed.
type heldStore struct {
	platform.Store
	held, released chan struct{}
	holding        bool
}

func (s *heldStore) CompareAndSwap(
	ctx context.Context, key string, expected platform.Revision, value []byte, lease platform.LeaseID,
) (platform.Revision, error) {
	if !s.holding {
		s.holding = true
		close(s.held)
		<-s.released
	}
	return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

// noNotifier implements Notifier.
type noNotifier struct{}

// Notify implements Notifier.
func (noNotifier) Notify(context.Context, domain.Name, []job.ID) {}

// TestCancelOvertakesSubmission cancels a job whose submission is still on its way to the store. It guards against a job
// that is accepted and runs after its caller was told that there is no such job.
func TestCancelOvertakesSubmission(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	store := standin.New()
	late := &heldStore{Store: store, held: make(chan struct{}), released: make(chan struct{})}
	first, second := jobbook.NewBook(late, "first"), jobbook.NewBook(store, "second")
	defer first.Close()
	defer second.Close()
	record := job.Record{
		ID: internalID("Desks", "Model-1"), ClientAccount: "Desks", Shape: shape.Shape{Members: 1, Accelerators: 8},
		State: job.Accepted, Attempt: 1, Submitted: time.Now(),
	}
	submitted := make(chan error, 1)
	go func() {
		_, err := first.Submit(ctx, record)
		submitted <- err
	}()
	<-late.held
	service := New(second, nil, nil, noNotifier{}, nil)
	for range 2 {
		_, err := service.Cancel(ctx, "Desks", "Model-1")
		qt.Check(t, err, qt.ErrorIs, ErrNotFound)
	}
	close(late.released)
	qt.Check(t, <-submitted, qt.ErrorIs, jobbook.ErrWithdrawn)
	_, err := second.Get(ctx, record.ID)
	qt.Check(t, err, qt.ErrorIs, jobbook.ErrNotFound)

	other := record
	other.ID, other.ClientAccount = internalID("Office", "Model-1"), "Office"
	_, err = second.Submit(ctx, other)
	qt.Check(t, err, qt.IsNil, qt.Commentf("a job of another account"))
	record.Submitted = time.Now().Add(time.Hour)
	_, err = second.Submit(ctx, record)
	qt.Check(t, err, qt.IsNil, qt.Commentf("a submission long after the cancellation"))
}

// TestWithdrawalsAreBounded guards against cancellations of unknown jobs that fill a page of the store. A cancellation
// that can't be recorded is not answered with "no such job".
func TestWithdrawalsAreBounded(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	book := jobbook.NewBook(standin.New(), "writer")
	defer book.Close()
	now := time.Now()
	for i := range jobbook.MaxWithdrawn {
		qt.Assert(t, book.Withdraw(ctx, internalID("Desks", job.ID("batch/"+strconv.Itoa(i))), now), qt.IsNil)
	}
	last := internalID("Desks", "batch/last")
	qt.Check(t, book.Withdraw(ctx, last, now), qt.ErrorIs, jobbook.ErrWithdrawalsFull)
	qt.Check(t, book.Withdraw(ctx, last, now.Add(time.Hour)), qt.IsNil)
}
