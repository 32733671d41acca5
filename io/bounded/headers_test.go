package bounded

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/budget"
)

// TestReceivedHeadersAreNotStalled guards against the loss of a response that is due: a connection whose headers have all
// been read, after a long time without bytes, is closed for another one before the server begins to serve its request.
func TestReceivedHeadersAreNotStalled(t *testing.T) {
	const longerThanStallTime = 1100 * time.Millisecond
	l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), budget.Limits{Connections: 1, Bytes: 1 << 20, Floor: 1 << 20},
		func(Reason) {})
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		var dialer net.Dialer
		c, err := dialer.DialContext(t.Context(), "tcp", l.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	client := dial()
	served := <-accepted
	time.Sleep(longerThanStallTime)
	_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	_, err = served.Read(make([]byte, 1<<10))
	qt.Assert(t, err, qt.IsNil)
	second := dial()
	_ = second.SetReadDeadline(time.Now().Add(longerThanStallTime))
	answer, err := io.ReadAll(second)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(answer), qt.Equals, string(refusal), qt.Commentf("the first connection was closed for this one"))
	_, err = served.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
	qt.Check(t, err, qt.IsNil)
}
