package relay

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"

	"auburnstack/io/connections"
)

const (
	// maxStreams is the largest number of calls at a time on one connection. A VM relays the requests of all its callers
	// on one connection; further calls wait at the VM that makes them.
	maxStreams = 64
	// maxHeaderBytes is the largest size of a call's headers. The VMs send about 200 bytes.
	maxHeaderBytes = 8 << 10
	// bufferBytes is the size of each buffer of a connection. Most messages are shorter.
	bufferBytes = 4 << 10
	// windowBytes is the number of bytes that a call or a connection may receive before the server reads them. A call
	// whose message is longer gets more once its length is known.
	windowBytes = 64 << 10
	// handshakeTimeout is the time within which a connection must begin to speak the protocol.
	handshakeTimeout = 3 * time.Second
	// maxIdle is the time after which a connection without a call is closed. VMs connect again when they need to.
	maxIdle = time.Minute
	// pingTime is the time without received bytes after which the server asks whether the client is still there, and
	// pingTimeout the time within which it must answer.
	pingTime    = 15 * time.Second
	pingTimeout = 5 * time.Second
	// minPingInterval is the least time between two such questions of a client. The VMs send none.
	minPingInterval = 10 * time.Second
)

// Limits bound what the server for other VMs holds for its clients.
type Limits struct {
	// Connections is the largest number of connections. A leader has one from each VM.
	Connections int
	// MessageBytes is the largest number of bytes that were received for calls which have not ended; 0 means no limit.
	MessageBytes int64
	// Closed is called after each connection that was closed because of these limits. It may be nil.
	Closed func()
}

// DefaultLimits are the limits of a VM whose memory is not limited.
var DefaultLimits = Limits{Connections: 512, MessageBytes: 64 << 20}

// options returns the options of a server that accepts the connections of a listener.
func (l Limits) options(listener *connections.Listener) []grpc.ServerOption {
	largest := int64(maxMessage)
	if l.MessageBytes > 0 {
		largest = min(largest, l.MessageBytes)
	}
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(int(largest)), grpc.MaxConcurrentStreams(maxStreams), grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.StaticStreamWindowSize(windowBytes), grpc.StaticConnWindowSize(windowBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: maxIdle, Time: pingTime, Timeout: pingTimeout,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval}),
		grpc.ForceServerCodecV2(newBoundedCodec()), grpc.StatsHandler(&accountant{listener: listener}),
	}
}

// accountant tells the listener which of the received bytes belong to calls that have ended. It implements
// stats.Handler.
type accountant struct {
	listener *connections.Listener
}

// clientKey and callKey are the keys of the client and of the call in contexts.
type (
	clientKey struct{}
	callKey   struct{}
)

// remote is the peer of a connection, with the number of its calls that have not ended.
type remote struct {
	address net.Addr
	calls   atomic.Int64
}

// received is the number of bytes that were received for a call.
type received struct{ bytes atomic.Int64 }

// TagConn implements stats.Handler.
func (a *accountant) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	return context.WithValue(ctx, clientKey{}, &remote{address: info.RemoteAddr})
}

// HandleConn implements stats.Handler.
func (a *accountant) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (a *accountant) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, callKey{}, &received{})
}

// HandleRPC implements stats.Handler.
func (a *accountant) HandleRPC(ctx context.Context, event stats.RPCStats) {
	from, known := ctx.Value(clientKey{}).(*remote)
	call, tagged := ctx.Value(callKey{}).(*received)
	if !known || !tagged {
		return
	}
	switch event := event.(type) {
	case *stats.Begin:
		from.calls.Add(1)
	case *stats.InHeader:
		call.bytes.Add(int64(event.WireLength))
	case *stats.InPayload:
		call.bytes.Add(int64(event.WireLength))
	case *stats.End:
		a.listener.Settle(from.address, call.bytes.Load(), from.calls.Add(-1) == 0)
	}
}
