package worker

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	core "auburnstack/core/endpoint"
	"auburnstack/io/endpoint"
)

// A reservation that arrives after the stop of its task is refused, and so is a reservation with a lower epoch, the
// fencing token of the scheduler.
func TestLateReservation(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	e := New(core.Endpoint{Name: "w", Accelerators: 8}, 1, NewCheckpoints())
	task := endpoint.Task{Job: "j", Attempt: 1}
	report, err := e.Stop(ctx, endpoint.Stop{Epoch: 2, Task: task})
	c.Assert(err, qt.IsNil)
	c.Assert(report.State, qt.Equals, endpoint.Stopped)
	reserve := endpoint.Reserve{Epoch: 2, Task: task, Accelerators: 1, Lease: time.Second}
	c.Assert(e.Reserve(ctx, reserve), qt.ErrorIs, endpoint.ErrNoCapacity)
	reserve.Task.Attempt = 2
	c.Assert(e.Reserve(ctx, reserve), qt.IsNil)
	reserve.Epoch = 1
	c.Assert(e.Reserve(ctx, reserve), qt.ErrorIs, endpoint.ErrStaleEpoch)
}
