// Package connections bounds the connections of a listener whose clients the operators don't control.
package connections

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// stallTime is the time without received bytes after which a connection counts as making no progress.
const stallTime = 200 * time.Millisecond

// Limits bound the connections of a listener.
type Limits struct {
	// Connections is the largest number of connections at a time, at least 1.
	Connections int
	// Bytes is the largest number of bytes that all connections together have received and that were not settled; 0 means
	// no limit.
	Bytes int64
}

// Listener accepts a bounded number of connections. When there is one too many, it closes another one, so that a client
// is always served: the one that has been silent for longest, and before all others one that has never sent anything.
// When too many bytes are received, it closes the connection that holds most of them and makes no progress.
type Listener struct {
	net.Listener
	limits Limits
	// closed is called after a connection was closed because of a limit. It may be nil.
	closed func()

	mu   sync.Mutex
	open map[string]*connection
	// unsettled is the sum over all open connections.
	unsettled int64
}

// NewListener returns a listener that accepts the connections of another one within the limits. It calls closed after
// each connection that it closes because of a limit.
func NewListener(inner net.Listener, limits Limits, closed func()) *Listener {
	limits.Connections = max(limits.Connections, 1)
	return &Listener{Listener: inner, limits: limits, closed: closed, open: map[string]*connection{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	c := &connection{Conn: inner, listener: l, name: inner.RemoteAddr().String(), lastRead: time.Now()}
	l.mu.Lock()
	var victim *connection
	if len(l.open) >= l.limits.Connections {
		victim = l.mostSilent()
		l.remove(victim)
	}
	l.open[c.name] = c
	l.mu.Unlock()
	l.close(victim)
	return c, nil
}

// Settle tells that bytes which a client has received from its peer take no memory any more, because the call that
// they belong to has ended. If idle is set, this holds for all bytes of the connection. The client is named by the
// address of its end of the connection.
func (l *Listener) Settle(client net.Addr, bytes int64, idle bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, found := l.open[client.String()]
	if !found {
		return
	}
	if idle || bytes > c.unsettled {
		bytes = c.unsettled
	}
	c.unsettled -= bytes
	l.unsettled -= bytes
}

// received counts bytes that a connection has received.
func (l *Listener) received(c *connection, bytes int) {
	now := time.Now()
	l.mu.Lock()
	c.lastRead, c.heard = now, true
	var victim *connection
	if l.open[c.name] == c && l.limits.Bytes > 0 {
		c.unsettled += int64(bytes)
		l.unsettled += int64(bytes)
		if l.unsettled > l.limits.Bytes {
			victim = l.largest(now)
			l.remove(victim)
		}
	}
	l.mu.Unlock()
	l.close(victim)
}

// mostSilent returns the connection to close for another one. There must be an open connection.
func (l *Listener) mostSilent() *connection {
	var victim *connection
	for _, c := range l.open {
		if victim == nil || c.moreSilent(victim) {
			victim = c
		}
	}
	return victim
}

// largest returns the connection that holds most of the unsettled bytes: one that makes no progress, if there is one.
func (l *Listener) largest(now time.Time) *connection {
	var largest, stalled *connection
	for _, c := range l.open {
		if largest == nil || c.unsettled > largest.unsettled {
			largest = c
		}
		if c.unsettled > 0 && now.Sub(c.lastRead) >= stallTime && (stalled == nil || c.unsettled > stalled.unsettled) {
			stalled = c
		}
	}
	if stalled != nil {
		return stalled
	}
	return largest
}

// remove removes a connection from those that are open. The caller must hold the lock.
func (l *Listener) remove(c *connection) {
	if l.open[c.name] == c {
		delete(l.open, c.name)
		l.unsettled -= c.unsettled
		c.unsettled = 0
	}
}

// close closes a connection because of a limit. It does nothing if there is none.
func (l *Listener) close(victim *connection) {
	if victim == nil {
		return
	}
	// The client may have closed the connection already.
	_ = victim.Conn.Close()
	if l.closed != nil {
		l.closed()
	}
}

// connection is a connection that tells its listener what it receives. The fields below name belong to the listener's
// lock.
type connection struct {
	net.Conn
	listener *Listener
	name     string
	lastRead time.Time
	// heard is set once the connection has received anything.
	heard bool
	// unsettled is the number of bytes that were received and not settled.
	unsettled int64
}

// moreSilent reports whether c is to be closed before another connection.
func (c *connection) moreSilent(other *connection) bool {
	if c.heard != other.heard {
		return !c.heard
	}
	return c.lastRead.Before(other.lastRead)
}

// Read implements net.Conn.
func (c *connection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.listener.received(c, n)
	}
	return n, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
