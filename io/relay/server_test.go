package relay_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/io/relay"
)

// knownJob is what a leader tells about a job that it knows.
var knownJob = relay.JobState{
	Leading: true, Known: true, State: graph.Running, Origin: graph.Origin{
		Queue: "queue", Address: policy.Address{Host: "host", Prefix: "/prefix/"}, ClientAccount: "account",
	},
}

// panickingHandler panics in every call but Ask.
type panickingHandler struct{}

// Exchange implements relay.Handler.
func (panickingHandler) Exchange(relay.Heartbeat) relay.HeartbeatReply {
	panic("no heartbeat can be handled")
}

// Configuration implements relay.Handler.
func (panickingHandler) Configuration(relay.PolicyRequest) relay.PolicyReply {
	panic("no question can be handled")
}

// Handle implements relay.Handler.
func (panickingHandler) Handle(context.Context, relay.Request) answer.Answer {
	panic("no request can be handled")
}

// Ask implements relay.Handler.
func (panickingHandler) Ask(context.Context, graph.ID) relay.JobState {
	return knownJob
}

// TestPanicEndsOneCall checks that a call whose handling panics gets an error, and that the server goes on serving. The
// outcome of a relayed request is then unknown: the handler may have acted before it failed.
func TestPanicEndsOneCall(t *testing.T) {
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := relay.NewServer(listener, panickingHandler{}, hclog.NewNullLogger())
	defer server.Close()
	pool := relay.NewPool()
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	peer := pool.Peer(netip.MustParseAddrPort(listener.Addr().String()))
	_, err = peer.Exchange(ctx, relay.Heartbeat{
		Sender: relay.Member{Name: "other", Address: netip.MustParseAddrPort("127.0.0.1:1")},
	})
	qt.Check(t, err, qt.IsNotNil)
	_, err = peer.Configuration(ctx, relay.PolicyRequest{})
	qt.Check(t, err, qt.IsNotNil)
	_, err = peer.Handle(ctx, relay.Request{Method: "POST"})
	qt.Check(t, err, qt.IsNotNil)
	state, err := peer.Ask(ctx, "job")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, state, qt.Equals, knownJob)
}
