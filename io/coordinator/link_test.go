package coordinator

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"auburnstack/core/planner"
	"auburnstack/core/roster"
	"auburnstack/io/election"
	"auburnstack/io/runner"
)

// scriptedWorker answers holds in turn and keeps the numbers of ends that they let it forget.
type scriptedWorker struct {
	mu      sync.Mutex
	answers []func() (runner.HoldReply, error)
	seen    []int64
}

// Worker implements runner.Dialer.
func (w *scriptedWorker) Worker(roster.Worker) runner.Worker { return w }

// Hold implements runner.Worker.
func (w *scriptedWorker) Hold(ctx context.Context, hold runner.Hold) (runner.HoldReply, error) {
	w.mu.Lock()
	w.seen = append(w.seen, hold.Acknowledged)
	if len(w.answers) == 0 {
		w.mu.Unlock()
		<-ctx.Done()
		return runner.HoldReply{}, runner.ErrUnanswered
	}
	next := w.answers[0]
	w.answers = w.answers[1:]
	w.mu.Unlock()
	return next()
}

// Start implements runner.Worker.
func (w *scriptedWorker) Start(context.Context, runner.Start) (runner.WorkerTime, error) {
	return 0, runner.ErrUnanswered
}

// Stop implements runner.Worker.
func (w *scriptedWorker) Stop(context.Context, runner.Stop) error { return runner.ErrUnanswered }

// Pace implements runner.Worker.
func (w *scriptedWorker) Pace(context.Context, runner.Pace) error { return runner.ErrUnanswered }

func (w *scriptedWorker) numbers() []int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]int64(nil), w.seen...)
}

func held(incarnation roster.Incarnation, last int64) func() (runner.HoldReply, error) {
	return func() (runner.HoldReply, error) {
		h := runner.HoldReply{Clock: runner.WorkerTime(time.Minute), Incarnation: incarnation, Last: last}
		if last > 0 {
			h.Ended = []planner.EndedRun{{Kind: planner.EndDone}}
		}
		return h, nil
	}
}

func unanswered() (runner.HoldReply, error) { return runner.HoldReply{}, runner.ErrUnanswered }

// TestForgetsNothingOfAnotherIncarnation lets a worker start anew, under the same name, between two holds. What has
// ended in its new incarnation has low numbers, which the numbers of the earlier one must not let it forget.
func TestForgetsNothingOfAnotherIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &scriptedWorker{answers: []func() (runner.HoldReply, error){held(1, 5), unanswered, held(2, 1), held(2, 0)}}
		term := newTestTerm(w)
		go func() {
			for range term.events {
			}
		}()
		l := newLink(term, roster.Worker{Name: "w"})
		time.Sleep(100 * time.Millisecond)
		l.forget(1, 5)
		time.Sleep(time.Second)
		// What the earlier incarnation has listed is recorded only now.
		l.forget(1, 6)
		l.forget(2, 1)
		time.Sleep(time.Second)
		qt.Check(t, w.numbers()[:4], qt.DeepEquals, []int64{0, 5, 0, 1})
		l.registered(3)
		time.Sleep(2 * time.Second)
		last := w.numbers()
		qt.Check(t, last[len(last)-1], qt.Equals, int64(0))
		term.role.Resign()
		l.Close()
		close(term.events)
	})
}

// newTestTerm returns a term that talks to one worker and whose events nobody handles.
func newTestTerm(w *scriptedWorker) *term {
	return newTerm(Config{
		Dialer: w, Settings: planner.Settings{LeaseLimit: 10 * time.Second},
		Metrics: NewMetrics(metrics.NewSet()), Log: hclog.New(&hclog.LoggerOptions{Output: io.Discard}),
	}, election.NewRole(context.Background(), 1, 1, func() time.Duration { return 0 }, time.Hour))
}
