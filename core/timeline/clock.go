// Package timeline records the events of each process, such as the start of a job, and merges the events of many
// processes into one timeline.
package timeline

import (
	"sync"
	"time"
)

// counterBits is the number of low bits of a stamp that hold its counter.
const counterBits = 16

// Stamp is a hybrid logical timestamp: the high bits hold the Unix time in milliseconds, the low bits a counter.
type Stamp uint64

// Time returns the wall clock part of the stamp, in UTC.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> counterBits)).UTC()
}

// Clock is a hybrid logical clock: its stamps respect causality and stay close to the wall clock. It is safe for
// concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock whose first stamp depends only on the wall clock, unless Observe is called before.
func NewClock() *Clock {
	return &Clock{}
}

// Now returns a stamp that is greater than all stamps returned or observed before, and not earlier than the given wall
// clock time.
func (c *Clock) Now(wall time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, Stamp(wall.UnixMilli())<<counterBits)
	return c.last
}

// Observe advances the clock to a stamp received from another process.
func (c *Clock) Observe(stamp Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, stamp)
}
