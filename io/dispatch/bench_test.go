package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"auburnstack/core/account"
	core "auburnstack/core/endpoint"
	"auburnstack/core/request"
	"auburnstack/core/route"
	"auburnstack/core/vm"
	"auburnstack/io/dispatch"
	"auburnstack/io/endpoint"
	"auburnstack/standin/worker"
)

// currentTables is a TablesRefresher whose tables are always current.
type currentTables struct{}

func (currentTables) AwaitCurrentTables(context.Context) {}

// startWorkers starts 8 workers with 64 slots each behind HTTP servers on the loopback interface.
func startWorkers(b *testing.B) []core.Endpoint {
	var list []core.Endpoint
	for i := range 8 {
		e := core.Endpoint{
			Name: core.Name(fmt.Sprintf("w%d", i)), FailureDomain: "home", Slots: 64, Connections: 64, Accelerators: 8,
		}
		server := httptest.NewServer(worker.NewHandler(worker.New(e, 1, worker.NewCheckpoints())))
		b.Cleanup(server.Close)
		e.Address = netip.MustParseAddrPort(server.Listener.Addr().String())
		list = append(list, e)
	}
	return list
}

// runConcurrently calls the function work b.N times in total, from as many goroutines as the parameter callers says.
func runConcurrently(b *testing.B, callers int, work func()) {
	var left atomic.Int64
	left.Store(int64(b.N))
	var group sync.WaitGroup
	b.ResetTimer()
	for range callers {
		group.Go(func() {
			for left.Add(-1) >= 0 {
				work()
			}
		})
	}
	group.Wait()
}

// BenchmarkRequest measures direct calls to endpoints and calls through the dispatcher. Only the ratio of the two is
// meaningful.
func BenchmarkRequest(b *testing.B) {
	list := startWorkers(b)
	pool := endpoint.NewPool(func() []core.Endpoint { return list })
	b.Cleanup(pool.Close)
	d := dispatch.New(vm.VM{Name: "v", FailureDomain: "home"}, []account.Account{{Name: "a", Weight: 1}}, pool, nil,
		currentTables{}, rand.New(rand.NewPCG(1, 1)), func(core.Name) {})
	d.SetEndpoints(list, 1)
	body := []byte("hello")
	var turn atomic.Uint64
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("direct/callers-%d", callers), func(b *testing.B) {
			runConcurrently(b, callers, func() {
				target := list[turn.Add(1)%uint64(len(list))]
				if _, err := pool.Worker(target).Run(context.Background(), endpoint.Run{Attempt: "x", Body: body}); err != nil {
					b.Error(err)
				}
			})
		})
		b.Run(fmt.Sprintf("dispatched/callers-%d", callers), func(b *testing.B) {
			runConcurrently(b, callers, func() {
				outcome := d.Do(context.Background(), request.Request{
					ID: "r", ClientAccount: "a", Kind: "k", Class: route.Urgent, Idempotent: true,
					Deadline: time.Now().Add(time.Minute), Body: body,
				})
				if _, ok := outcome.(request.Answered); !ok {
					b.Errorf("%#v", outcome)
				}
			})
		})
	}
}
