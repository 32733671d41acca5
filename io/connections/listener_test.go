package connections_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/io/connections"
)

// pair is a connection with both of its ends.
type pair struct{ client, server net.Conn }

// newListener returns a listener within the given limits, and a function that makes one more connection to it.
func newListener(t *testing.T, limits connections.Limits) (*connections.Listener, func() pair) {
	t.Helper()
	var config net.ListenConfig
	inner, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l := connections.NewListener(inner, limits, nil)
	t.Cleanup(func() { _ = l.Close() })
	return l, func() pair {
		var dialer net.Dialer
		client, err := dialer.DialContext(context.Background(), "tcp", inner.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = client.Close() })
		server, err := l.Accept()
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = server.Close() })
		return pair{client: client, server: server}
	}
}

// send sends bytes from the client and lets the server read them. It reports whether the connection was open.
func (p pair) send(t *testing.T, bytes int) bool {
	t.Helper()
	if _, err := p.client.Write(make([]byte, bytes)); err != nil {
		return false
	}
	_, err := io.ReadFull(p.server, make([]byte, bytes))
	return err == nil
}

// open reports whether the server has left the connection open.
func (p pair) open(t *testing.T) bool {
	t.Helper()
	qt.Assert(t, p.client.SetReadDeadline(time.Now().Add(50*time.Millisecond)), qt.IsNil)
	_, err := p.client.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// TestSilentConnectionsMakeRoom opens more connections than allowed. It guards against clients that say nothing and keep
// others, or the next client, from being served.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	_, connect := newListener(t, connections.Limits{Connections: 3})
	first := connect()
	qt.Check(t, first.send(t, 10), qt.IsTrue)
	silent := connect()
	spoken := connect()
	qt.Check(t, spoken.send(t, 10), qt.IsTrue)
	fourth := connect()
	qt.Check(t, silent.open(t), qt.IsFalse)
	for _, p := range []pair{first, spoken, fourth} {
		qt.Check(t, p.open(t), qt.IsTrue)
	}
	qt.Check(t, fourth.send(t, 10), qt.IsTrue)
	qt.Check(t, first.send(t, 10), qt.IsTrue)
	// All have spoken; the one that has been silent for longest makes room.
	fifth := connect()
	qt.Check(t, spoken.open(t), qt.IsFalse)
	for _, p := range []pair{first, fourth, fifth} {
		qt.Check(t, p.open(t), qt.IsTrue)
	}
}

// TestClosedConnectionsMakeRoom checks that a connection that has ended does not count.
func TestClosedConnectionsMakeRoom(t *testing.T) {
	_, connect := newListener(t, connections.Limits{Connections: 2})
	first := connect()
	for range 10 {
		next := connect()
		qt.Check(t, next.send(t, 10), qt.IsTrue)
		qt.Check(t, next.server.Close(), qt.IsNil)
	}
	qt.Check(t, first.open(t), qt.IsTrue)
}

// TestUnsettledBytes receives more bytes than allowed. It guards against clients that begin messages and never end them.
func TestUnsettledBytes(t *testing.T) {
	l, connect := newListener(t, connections.Limits{Connections: 10, Bytes: 1000})
	stalled, busy := connect(), connect()
	qt.Check(t, stalled.send(t, 400), qt.IsTrue)
	time.Sleep(300 * time.Millisecond)
	qt.Check(t, busy.send(t, 600), qt.IsTrue)
	// The other one holds more, but makes progress.
	qt.Check(t, busy.send(t, 1), qt.IsTrue)
	qt.Check(t, stalled.open(t), qt.IsFalse)
	qt.Check(t, busy.open(t), qt.IsTrue)
	// What belongs to ended calls does not count.
	for range 10 {
		l.Settle(busy.client.LocalAddr(), 300, false)
		qt.Check(t, busy.send(t, 300), qt.IsTrue)
	}
	l.Settle(busy.client.LocalAddr(), 0, true)
	qt.Check(t, busy.send(t, 999), qt.IsTrue)
	// The bytes of a closed connection do not count either.
	qt.Check(t, busy.server.Close(), qt.IsNil)
	qt.Check(t, connect().send(t, 1000), qt.IsTrue)
}
