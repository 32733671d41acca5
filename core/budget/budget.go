// Package budget decides which connections of callers, and which request bodies on them, a process has room for.
package budget

import (
	"net/netip"
	"time"
)

const (
	// stallTime is the time without progress after which a connection may be evicted while the budget is short.
	stallTime = time.Second
	// ConnectionBytes is the charge for a connection: the stack of its goroutine, its buffers and its HTTP state.
	ConnectionBytes = 20 << 10
	// Shares of the available bytes, in eighths: new bodies are admitted up to newBodyShare, bodies that have been
	// admitted may grow to growthShare. The rest is kept for requests without a body.
	newBodyShare, growthShare, shares = 6, 7, 8
	// sourceShare is the share of the available bytes, in eighths, beyond which an address or a key gets no new body
	// if the budget is short and others hold bodies too.
	sourceShare = 4
	// shortShare is the share of the connections, in eighths, above which connections are closed after a response. It is
	// also the largest share of the connections that may hold bodies.
	shortShare = 6
)

// Phase is the phase of a connection's current request.
type Phase int

// The phases of a connection, in the order in which stalled connections are evicted.
const (
	// Header: the headers of a request have not all arrived, or the connection is new.
	Header Phase = iota
	// Body: a request's body is being read.
	Body
	// Idle: the last request was answered and no byte of another has arrived.
	Idle
	// Writing: a response doesn't fit the socket's send buffer because the client doesn't read.
	Writing
	// Serving: a complete request is being served. Such a connection is never evicted.
	Serving
)

// Limits holds the limits of a budget.
type Limits struct {
	// Connections is the largest number of connections.
	Connections int
	// Bytes is the memory that the whole process may hold, and Floor the part of it that callers may always use.
	Bytes, Floor int64
}

// Connection is one connection in a budget.
type Connection struct {
	// Address is the client's address. Key is the API key of the current request, which is not verified.
	Address netip.Addr
	Key     string
	phase   Phase
	// advanced is the time of the last progress in the phase, received the number of bytes of the body that have arrived.
	advanced time.Time
	received int64
	// charged is the charge in bytes beyond ConnectionBytes.
	charged int64
	// evicted is set when the connection was chosen for eviction, open until it was removed from the budget.
	evicted, open bool
}

// Phase returns the phase of the connection's current request.
func (c *Connection) Phase() Phase {
	return c.phase
}

// stalled reports whether the connection has made no progress for stallTime.
func (c *Connection) stalled(now time.Time) bool {
	return c.phase != Serving && !c.evicted && now.Sub(c.advanced) >= stallTime
}

// Budget accounts for connections and the memory that they use. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	// unread reports whether bytes of a connection have arrived that the process has not read yet.
	unread func(*Connection) bool
	// rest is the memory that the rest of the process holds.
	rest int64
	// charged is the sum of all charges, charges of connections included. leavingBytes is the part of it that belongs to
	// evicted bodies whose connections are still open, and leaving the number of these connections.
	charged, leavingBytes int64
	leaving               int
	// bodies is the number of connections in the phase Body.
	bodies      int
	connections map[*Connection]struct{}
}

// New returns an empty budget. The function unread reports whether bytes of a connection have arrived that the process
// has not read yet. Such a connection is not stalled: the process is late, for example for lack of processor time.
func New(limits Limits, unread func(*Connection) bool) *Budget {
	return &Budget{limits: limits, unread: unread, connections: map[*Connection]struct{}{}}
}

// SetHeld sets the memory that the whole process holds, measured while the current charges were in effect.
func (b *Budget) SetHeld(bytes int64) {
	b.rest = max(0, bytes-b.charged)
}

// Available returns the memory that callers may use, which the rest of the process leaves.
func (b *Budget) Available() int64 {
	return max(b.limits.Floor, b.limits.Bytes-b.rest)
}

// Charged returns the sum of all charges in bytes.
func (b *Budget) Charged() int64 {
	return b.charged
}

// Len returns the number of connections.
func (b *Budget) Len() int {
	return len(b.connections)
}

// Short reports whether so many connections are open that each should be closed after its response.
func (b *Budget) Short() bool {
	return len(b.connections) > b.limits.Connections*shortShare/shares
}

// Open adds a connection. If there is no room, it evicts stalled connections first, which the caller must close. It
// returns nil if there is still no room.
func (b *Budget) Open(address netip.Addr, now time.Time) (*Connection, []*Connection) {
	evicted := b.evict(func() bool {
		return len(b.connections)-b.leaving < b.limits.Connections && b.fits(ConnectionBytes, shares)
	}, now)
	// The connections of evicted bodies keep their descriptors until the client has been sent its response.
	if len(b.connections) >= b.limits.Connections || !b.fits(ConnectionBytes, shares) {
		return nil, evicted
	}
	c := &Connection{Address: address, advanced: now, open: true}
	b.connections[c] = struct{}{}
	b.charged += ConnectionBytes
	return c, evicted
}

// Enter begins a phase. A connection that was chosen for eviction stays evicted.
func (b *Budget) Enter(c *Connection, phase Phase, now time.Time) {
	if !c.open {
		return
	}
	if c.phase == Body {
		b.bodies--
	}
	if phase == Body {
		b.bodies++
		c.received = 0
	}
	c.phase, c.advanced = phase, now
}

// Advance records progress: bytes of a body that have arrived.
func (b *Budget) Advance(c *Connection, bytes int64, now time.Time) {
	c.received += bytes
	c.advanced = now
}

// Complete ends the phase Body. It returns false if the connection was evicted, whose request must not be served.
func (b *Budget) Complete(c *Connection, now time.Time) bool {
	b.Enter(c, Serving, now)
	return !c.evicted
}

// ChargeHeader charges bytes for headers. It returns false if there is no room.
func (b *Budget) ChargeHeader(c *Connection, bytes int64, now time.Time) ([]*Connection, bool) {
	return b.charge(c, bytes, shares, now)
}

// ChargeNewBody charges the first buffer of a body. It returns false if there is no room for another body.
func (b *Budget) ChargeNewBody(c *Connection, bytes int64, now time.Time) ([]*Connection, bool) {
	if b.bodies > b.limits.Connections*shortShare/shares || b.exceedsSource(c) {
		return b.evict(func() bool { return false }, now), false
	}
	return b.charge(c, bytes, newBodyShare, now)
}

// ChargeGrowth charges more memory for a body that was admitted. If no stalled connection can make room, it evicts the
// bodies of which less has arrived than of this one, so that the body nearest to its end is always completed.
func (b *Budget) ChargeGrowth(c *Connection, bytes int64, now time.Time) ([]*Connection, bool) {
	evicted, ok := b.charge(c, bytes, growthShare, now)
	for !ok && c.open && !c.evicted {
		least := b.leastReceived(c)
		if least == nil {
			break
		}
		evicted = append(evicted, least)
		b.markEvicted(least)
		ok = b.add(c, bytes, growthShare)
	}
	return evicted, ok
}

// Release takes back a charge, for example because a buffer was replaced by a larger one.
func (b *Budget) Release(c *Connection, bytes int64) {
	if !c.open {
		return
	}
	c.charged -= bytes
	b.charged -= bytes
	if c.evicted {
		b.leavingBytes -= bytes
	}
}

// ReleaseAll takes back all charges of a connection's request, which has ended.
func (b *Budget) ReleaseAll(c *Connection) {
	b.Release(c, c.charged)
}

// Close removes a connection with all its charges. It does nothing if the connection was removed before.
func (b *Budget) Close(c *Connection) {
	if !c.open {
		return
	}
	b.ReleaseAll(c)
	if c.evicted {
		b.leavingBytes -= ConnectionBytes
		b.leaving--
	}
	if c.phase == Body {
		b.bodies--
	}
	b.charged -= ConnectionBytes
	c.open = false
	delete(b.connections, c)
}

// charge adds a charge if the share has room for it, after the eviction of stalled connections if need be.
func (b *Budget) charge(c *Connection, bytes, share int64, now time.Time) ([]*Connection, bool) {
	if c.evicted || !c.open {
		return nil, false
	}
	if b.add(c, bytes, share) {
		return nil, true
	}
	evicted := b.evict(func() bool { return b.fits(bytes, share) }, now)
	return evicted, !c.evicted && b.add(c, bytes, share)
}

// add adds a charge if the share has room for it.
func (b *Budget) add(c *Connection, bytes, share int64) bool {
	if !b.fits(bytes, share) {
		return false
	}
	c.charged += bytes
	b.charged += bytes
	return true
}

// fits reports whether a share of the available bytes, in eighths, has room. Charges of evicted connections don't
// count, because their requests end at once.
func (b *Budget) fits(bytes, share int64) bool {
	return b.charged-b.leavingBytes+bytes <= b.Available()/shares*share
}

// exceedsSource reports whether the connection's address or key holds more than its share while the budget is short and
// others hold memory too.
func (b *Budget) exceedsSource(c *Connection) bool {
	limit := b.Available() / shares * sourceShare
	if b.charged <= limit {
		return false
	}
	var byAddress, byKey, total int64
	for other := range b.connections {
		total += other.charged
		if other.Address == c.Address {
			byAddress += other.charged
		}
		if other.Key == c.Key {
			byKey += other.charged
		}
	}
	return byAddress > limit && byAddress < total || byKey > limit && byKey < total
}
