package keeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	core "auburnstack/core/endpoint"
	"auburnstack/core/timeline"
	"auburnstack/io/endpoint"
	"auburnstack/io/peer"
	standin "auburnstack/standin/worker"
)

// slowWorker delays its first exchange until held is closed.
type slowWorker struct {
	*standin.Engine
	held chan struct{}
	used bool
}

func (w *slowWorker) Exchange(ctx context.Context, m endpoint.Exchange) (endpoint.Report, error) {
	first := !w.used
	w.used = true
	if first {
		<-w.held
	}
	return w.Engine.Exchange(ctx, m)
}

func (w *slowWorker) WorkerByName(core.Name) (endpoint.Worker, bool) {
	return w, true
}

// A worker refuses a message with an outdated epoch, and the refusal arrives after a scheduler with a higher epoch has
// taken over. The keeper must not report the new scheduler's epoch as stale.
func TestLateRefusalOfEarlierEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		w := &slowWorker{
			Engine: standin.New(core.Endpoint{Name: "w", Accelerators: 8}, 1, standin.NewCheckpoints()),
			held:   make(chan struct{}),
		}
		k := New(w, timeline.NewClock())
		assign := func(epoch endpoint.Epoch) peer.KeepReply {
			return k.HandleOrder(peer.Order{
				Epoch: epoch, Assignment: 1, Workers: []core.Name{"w"}, HasWorkers: true,
			}, time.Now())
		}
		assign(1)
		go k.Run(ctx)
		synctest.Wait()

		_, err := w.Engine.Exchange(ctx, endpoint.Exchange{Epoch: 2})
		c.Assert(err, qt.IsNil)
		assign(2)
		close(w.held)
		time.Sleep(5 * time.Second)
		c.Assert(assign(2).StaleEpoch, qt.IsFalse)
		cancel()
		synctest.Wait()
	})
}
