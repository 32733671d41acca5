// Package tcp opens TCP connections that fail soon after the other side stops acknowledging data.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is the timeout for opening a connection.
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout is the time after which a connection fails if sent data is not acknowledged.
	unackedTimeout = 2 * time.Second
)

// Dial opens a connection. It has the signature that http.Transport expects of DialContext. gRPC needs a wrapper that
// supplies the argument network.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: -1,
		Control:   func(_, _ string, c syscall.RawConn) error { return limitUnacked(c) },
	}
	connection, err := dialer.DialContext(ctx, network, address)
	return connection, errors.WithStack(err)
}

// limitUnacked sets TCP_USER_TIMEOUT to unackedTimeout.
func limitUnacked(c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(
			int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(failed)
}
