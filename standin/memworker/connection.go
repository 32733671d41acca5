package memworker

import (
	"context"
	"fmt"
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/vm"
	"auburnstack/io/runner"
)

// connection implements runner.Worker for one worker of the fleet.
type connection struct {
	fleet *Fleet
	name  endpoint.Name
	// sender is the VM that uses the connection; empty if it is unknown.
	sender vm.Name
}

// execute carries out an order, an instruction to the worker, with the network latency in both directions. A
// partitioned or crashed worker does not reply. Of the orders, the share lateShare is carried out 2 to 12 seconds late
// without a reply.
func (c *connection) execute(ctx context.Context, act func(w *simulatedWorker) error) error {
	if err := c.waitLatency(ctx); err != nil {
		return err
	}
	c.fleet.mu.Lock()
	w := c.fleet.workers[c.name]
	if w.partitioned || w.crashed {
		c.fleet.mu.Unlock()
		<-ctx.Done()
		return runner.ErrUnanswered
	}
	if c.fleet.random.Float64() < c.fleet.lateShare {
		delay := 2*time.Second + time.Duration(c.fleet.random.Int64N(int64(10*time.Second)))
		time.AfterFunc(delay, func() { c.executeLate(w, delay, act) })
		c.fleet.mu.Unlock()
		<-ctx.Done()
		return runner.ErrUnanswered
	}
	err := act(w)
	c.fleet.mu.Unlock()
	if latencyErr := c.waitLatency(ctx); latencyErr != nil {
		return latencyErr
	}
	return err
}

// executeLate carries out a delayed order unless the worker has crashed or restarted since it received the order: a
// restarted worker holds nothing of its earlier incarnation.
func (c *connection) executeLate(w *simulatedWorker, delay time.Duration, act func(w *simulatedWorker) error) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if w.crashed || c.fleet.workers[c.name] != w {
		return
	}
	c.fleet.orderNote = fmt.Sprintf(" (an order carried out %s late)", delay)
	// The caller gets ErrUnanswered in any case, so the result of the late order is discarded.
	_ = act(w)
	c.fleet.orderNote = ""
}

// waitLatency waits for the one-way latency. It returns ErrUnanswered if the context ends first.
func (c *connection) waitLatency(ctx context.Context) error {
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return runner.ErrUnanswered
	case <-timer.C:
		return nil
	}
}

// Hold implements runner.Worker.
func (c *connection) Hold(ctx context.Context, hold runner.Hold) (runner.HoldReply, error) {
	var reply runner.HoldReply
	// A restart of the worker ends the connections to its earlier incarnation, so the call fails if the worker restarts
	// while the call waits.
	var addressed *simulatedWorker
	deadline := time.Now().Add(hold.Wait)
	for {
		var changed <-chan struct{}
		err := c.execute(ctx, func(w *simulatedWorker) error {
			if addressed != nil && addressed != w {
				return runner.ErrUnanswered
			}
			addressed = w
			if err := w.admit(hold.Fence); err != nil {
				return err
			}
			if hold.Until != 0 {
				w.renew(hold.Until)
				hold.Until = 0
			}
			reply, changed = w.holdReply(hold.Acknowledged), w.changed
			return nil
		})
		if err != nil || len(reply.Ended) > 0 || !time.Now().Before(deadline) {
			return reply, err
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Pace implements runner.Worker.
func (c *connection) Pace(ctx context.Context, pace runner.Pace) error {
	return c.execute(ctx, func(w *simulatedWorker) error { return w.setPace(pace) })
}

// Start implements runner.Worker.
func (c *connection) Start(ctx context.Context, start runner.Start) (runner.WorkerTime, error) {
	return 0, c.execute(ctx, func(w *simulatedWorker) error { return w.start(start, c.sender) })
}

// Stop implements runner.Worker.
func (c *connection) Stop(ctx context.Context, stop runner.Stop) error {
	return c.execute(ctx, func(w *simulatedWorker) error { return w.stop(stop) })
}
