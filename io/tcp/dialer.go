// Package tcp opens connections that notice when their peer has gone silent.
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
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout ends a connection whose peer acknowledges nothing.
	unackedTimeout = 2 * time.Second
)

// Dial opens a connection. It fits http.Transport and, with the network left out, gRPC.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: -1,
		Control:   func(_, _ string, c syscall.RawConn) error { return limitUnacked(c) },
	}
	connection, err := dialer.DialContext(ctx, network, address)
	return connection, errors.WithStack(err)
}

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
