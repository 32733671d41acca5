package budget

import (
	"slices"
	"time"
)

// evict evicts stalled connections until enough returns true or none is left, and returns them.
func (b *Budget) evict(enough func() bool, now time.Time) []*Connection {
	if enough() {
		return nil
	}
	var stalled []*Connection
	for c := range b.connections {
		if c.stalled(now) {
			stalled = append(stalled, c)
		}
	}
	slices.SortFunc(stalled, func(x, y *Connection) int {
		if x.phase != y.phase {
			return int(x.phase - y.phase)
		}
		return x.advanced.Compare(y.advanced)
	})
	var evicted []*Connection
	for _, c := range stalled {
		if enough() {
			break
		}
		if c.phase == Writing || !b.unread(c) {
			b.markEvicted(c)
			evicted = append(evicted, c)
		}
	}
	return evicted
}

// markEvicted marks a connection as evicted. A connection with a body stays open until the client has been sent a
// response; all others are removed, because the caller closes them at once.
func (b *Budget) markEvicted(c *Connection) {
	if c.phase != Body {
		b.Close(c)
		c.evicted = true
		return
	}
	c.evicted = true
	b.leaving++
	b.leavingBytes += ConnectionBytes + c.charged
}

// leastReceived returns the body of which the fewest bytes have arrived, or nil if there is none with fewer than c.
func (b *Budget) leastReceived(c *Connection) *Connection {
	least := c
	for other := range b.connections {
		if other.phase == Body && !other.evicted && other.received < least.received {
			least = other
		}
	}
	if least == c {
		return nil
	}
	return least
}
