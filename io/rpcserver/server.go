// Package rpcserver creates the gRPC servers through which VMs call each other.
package rpcserver

import (
	"context"
	"runtime/debug"

	"github.com/grpc-ecosystem/go-grpc-middleware/v2/interceptors/recovery"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// New returns a server that answers a call whose handler panics with codes.Internal and logs the panic. Without it, one
// unexpected message would end the process.
func New(log hclog.Logger, options ...grpc.ServerOption) *grpc.Server {
	handlePanic := func(_ context.Context, cause any) error {
		log.Error("a call of another VM failed unexpectedly", "panic", cause, "stack", string(debug.Stack()))
		return status.Error(codes.Internal, "the call failed unexpectedly")
	}
	recoverPanics := recovery.UnaryServerInterceptor(recovery.WithRecoveryHandlerContext(handlePanic))
	return grpc.NewServer(append(options, grpc.ChainUnaryInterceptor(recoverPanics))...)
}
