package relay_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"auburnstack/io/relay"
)

// TestCallsWithinLimits makes many calls that together receive far more than the server may hold. It guards against an
// account of received bytes that counts calls which have ended, so that the connections of VMs are closed.
func TestCallsWithinLimits(t *testing.T) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var closed atomic.Int64
	limits := relay.Limits{Connections: 4, MessageBytes: 1 << 20, Closed: func() { closed.Add(1) }}
	server := relay.NewLimitedServer(listener, &countingHandler{}, limits, hclog.NewNullLogger())
	defer server.Close()
	var callers sync.WaitGroup
	for range 3 {
		pool := relay.NewPool()
		defer pool.Close()
		peer := pool.Peer(netip.MustParseAddrPort(listener.Addr().String()))
		for range 4 {
			callers.Go(func() {
				for range 100 {
					ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
					_, err := peer.Handle(ctx, relay.Request{Method: "POST", Body: make([]byte, 50<<10)})
					cancel()
					qt.Check(t, err, qt.IsNil)
				}
			})
		}
	}
	callers.Wait()
	qt.Check(t, closed.Load(), qt.Equals, int64(0))
}
