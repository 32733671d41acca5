// Package bounded keeps the connections of an HTTP server, and the memory of the requests on them, within a budget.
package bounded

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"auburnstack/core/budget"
)

const (
	// socketBufferBytes is the size of a socket's receive buffer and of its send buffer. Received bytes that were not
	// read and responses that were not sent count toward the memory of the process.
	socketBufferBytes = 16 << 10
	// writeTimeout is the time within which a client must read a response that doesn't fit the send buffer.
	writeTimeout = 10 * time.Second
	// retryAfterSeconds is the time after which a client that was refused for lack of room should send again.
	retryAfterSeconds = "1"
)

// refusal is the response to a connection for which there is no room. It is sent without reading the request.
var refusal = []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + retryAfterSeconds +
	"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")

// Reason names why a connection was closed or a request refused.
type Reason string

// The reasons in metrics and logs.
const (
	NoConnection   Reason = "connections"
	NoMemory       Reason = "memory"
	StalledHeader  Reason = "stalled-header"
	StalledBody    Reason = "stalled-body"
	IdleConnection Reason = "idle"
	UnreadResponse Reason = "unread-response"
)

// Listener accepts connections while its budget has room. When room is short, it closes connections that make no
// progress.
type Listener struct {
	net.Listener
	// refused is called for each connection that was closed and each request that was refused for lack of room.
	refused func(Reason)
	closed  atomic.Bool

	mu     sync.Mutex
	budget *budget.Budget
	// conns holds the connection of each member of the budget.
	conns map[*budget.Connection]*conn
}

// Listen listens on an address. The function refused is called for each connection that was closed and each request
// that was refused for lack of room.
func Listen(address netip.AddrPort, limits budget.Limits, refused func(Reason)) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Accepted sockets inherit the sizes. If the system refuses them, its defaults apply.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferBytes)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferBytes)
		})
	}}
	inner, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, err
	}
	l := &Listener{Listener: inner, refused: refused, conns: map[*budget.Connection]*conn{}}
	l.budget = budget.New(limits, func(c *budget.Connection) bool { return l.conns[c].unread() })
	l.measureAfterCollections()
	return l, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.open(inner); c != nil {
			return c, nil
		}
		l.refused(NoConnection)
		// The response fits the empty send buffer of a new socket, so that the write does not block.
		_, _ = inner.Write(refusal)
		_ = inner.Close()
	}
}

// Close implements net.Listener. It does not close the connections.
func (l *Listener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

// open adds a connection to the budget. It returns nil if there is no room.
func (l *Listener) open(inner net.Conn) *conn {
	var address netip.Addr
	if remote, ok := inner.RemoteAddr().(*net.TCPAddr); ok {
		address = remote.AddrPort().Addr()
	}
	l.mu.Lock()
	member, evicted := l.budget.Open(address, time.Now())
	var c *conn
	if member != nil {
		c = &conn{Conn: inner, listener: l, member: member}
		l.conns[member] = c
	}
	closing := l.take(evicted)
	l.mu.Unlock()
	l.end(closing)
	return c
}

// Short reports whether so many connections are open that each should be closed after its response.
func (l *Listener) Short() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Short()
}

// Usage returns the number of connections, the bytes charged and the bytes that callers may use.
func (l *Listener) Usage() (connections int, charged, available int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Len(), l.budget.Charged(), l.budget.Available()
}

// eviction is a connection that was chosen for eviction, with the phase in which it was.
type eviction struct {
	conn  *conn
	phase budget.Phase
}

// take returns the connections of evicted members. The caller must hold mu, and call end without it.
func (l *Listener) take(evicted []*budget.Connection) []eviction {
	var list []eviction
	for _, member := range evicted {
		if c := l.conns[member]; c != nil {
			list = append(list, eviction{conn: c, phase: member.Phase()})
		}
	}
	return list
}

// end closes evicted connections. It makes the handler of a body answer it, which then closes the connection.
func (l *Listener) end(list []eviction) {
	for _, e := range list {
		switch e.phase {
		case budget.Body:
			l.refused(StalledBody)
			// A deadline in the past ends the read of the body that is waiting for the client.
			_ = e.conn.SetReadDeadline(time.Unix(1, 0))
			continue
		case budget.Header:
			l.refused(StalledHeader)
		case budget.Writing:
			l.refused(UnreadResponse)
		default:
			l.refused(IdleConnection)
		}
		_ = e.conn.Close()
	}
}

// contextKey is the key of a connection in the contexts of its requests.
type contextKey struct{}

// Attach registers the listener's hooks in a server, which must serve only this listener.
func (l *Listener) Attach(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		bounded, ok := c.(*conn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive:
			bounded.enter(budget.Serving)
		case http.StateIdle:
			bounded.enter(budget.Idle)
		default:
		}
	}
}

// conn is a connection in the budget of a listener.
type conn struct {
	net.Conn
	listener *Listener
	member   *budget.Connection
	closed   atomic.Bool

	// writeDeadline is the deadline of writes that was set last. Only one goroutine writes at a time.
	writeDeadline time.Time
	// received is the number of bytes of a body that arrived since the last report to the budget. Only one goroutine
	// reads at a time.
	received int
	// served is the charge for serving the current request, besides its body. It is guarded by the listener's mu.
	served int64
}

// enter begins a phase of the connection's request. The charges of the previous request end with the phase Idle.
func (c *conn) enter(phase budget.Phase) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if phase == budget.Idle {
		c.listener.budget.ReleaseAll(c.member)
	}
	c.listener.budget.Enter(c.member, phase, time.Now())
}

const (
	// headerFactor and lineBytes are the memory that headers use for each byte and for each line: the text is copied, and
	// each line is an entry of a map with a slice.
	headerFactor = 2
	lineBytes    = 160
	// progressBytes is the number of bytes of a body that count as progress when they arrive within the budget's stall
	// time. A slower client is stalled.
	progressBytes = 1 << 10
)

// unread reports whether bytes have arrived that were not read yet.
func (c *conn) unread() bool {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	waiting := 0
	err = raw.Control(func(fd uintptr) { waiting, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return err == nil && waiting > 0
}

// Read implements net.Conn. It charges headers and records the progress of bodies.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	l := c.listener
	l.mu.Lock()
	var closing []eviction
	fits := true
	switch phase := c.member.Phase(); phase {
	case budget.Body:
		if c.received += n; c.received >= progressBytes {
			l.budget.Advance(c.member, int64(c.received), time.Now())
			c.received = 0
		}
	case budget.Idle, budget.Header:
		now := time.Now()
		// A request may be complete after the end of a line. Its connection must not count as stalled, and be closed,
		// before the server begins to serve it.
		if phase == budget.Idle || p[n-1] == '\n' {
			l.budget.Enter(c.member, budget.Header, now)
		}
		charge := int64(headerFactor*n + lineBytes*bytes.Count(p[:n], []byte{'\n'}))
		var evicted []*budget.Connection
		evicted, fits = l.budget.ChargeHeader(c.member, charge, now)
		closing = l.take(evicted)
	default:
	}
	l.mu.Unlock()
	l.end(closing)
	if !fits {
		l.refused(NoMemory)
		// No request of the connection is being served in these phases, so that its send buffer has room.
		_, _ = c.Conn.Write(refusal)
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. It limits the time for which it waits for the client to read.
func (c *conn) Write(p []byte) (int, error) {
	now := time.Now()
	// The deadline is renewed only once half of it has passed, so that most writes set none.
	if c.writeDeadline.Sub(now) < writeTimeout/2 {
		c.writeDeadline = now.Add(writeTimeout)
		if err := c.SetWriteDeadline(c.writeDeadline); err != nil {
			return 0, err
		}
	}
	l := c.listener
	l.mu.Lock()
	phase := c.member.Phase()
	if phase == budget.Serving {
		l.budget.Enter(c.member, budget.Writing, now)
	}
	l.mu.Unlock()
	n, err := c.Conn.Write(p)
	if phase == budget.Serving {
		c.enter(budget.Serving)
	}
	return n, err
}

// CloseWrite shuts down the writing side, which lets the client read the last response before the connection is closed.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	err := c.Conn.Close()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.budget.Close(c.member)
	delete(c.listener.conns, c.member)
	return err
}
