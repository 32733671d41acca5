package budget

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	begin = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	later = begin.Add(2 * stallTime)
)

// address returns the address of a client.
func address(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 0, 0, byte(i)})
}

// allRead says that the process has read all bytes that have arrived.
func allRead(*Connection) bool {
	return false
}

// newFull returns a budget of ten connections whose bodies hold all that new bodies may hold, from different clients.
func newFull(t *testing.T) (*Budget, []*Connection) {
	t.Helper()
	b := New(Limits{Connections: 10, Bytes: 8 << 20}, allRead)
	var list []*Connection
	for i := range 3 {
		c, _ := b.Open(address(i), begin)
		c.Key = fmt.Sprint(i)
		b.Enter(c, Body, begin)
		_, ok := b.ChargeNewBody(c, 2<<20-ConnectionBytes, begin)
		qt.Assert(t, ok, qt.IsTrue)
		list = append(list, c)
	}
	return b, list
}

// TestStalledBodyIsEvicted guards against the eviction of a body that makes progress while another one makes none.
func TestStalledBodyIsEvicted(t *testing.T) {
	b, list := newFull(t)
	b.Advance(list[0], 1000, later)
	b.Advance(list[2], 1000, later)
	c, _ := b.Open(address(9), later)
	b.Enter(c, Body, later)
	evicted, ok := b.ChargeNewBody(c, 1<<20, later)
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, slices.Equal(evicted, []*Connection{list[1]}), qt.IsTrue, qt.Commentf("the other two make progress"))
	qt.Check(t, b.Complete(list[1], later), qt.IsFalse, qt.Commentf("a request whose body was evicted is not served"))
	qt.Check(t, b.Complete(list[0], later), qt.IsTrue)
}

// TestUnreadBodyIsNotEvicted guards against the eviction of bodies that have arrived while the process was late to read.
func TestUnreadBodyIsNotEvicted(t *testing.T) {
	b, list := newFull(t)
	b.unread = func(c *Connection) bool { return c != list[1] }
	c, _ := b.Open(address(9), later)
	b.Enter(c, Body, later)
	evicted, ok := b.ChargeNewBody(c, 4<<20, later)
	qt.Check(t, ok, qt.IsFalse)
	qt.Check(t, slices.Equal(evicted, list[1:2]), qt.IsTrue)
}

// TestNewBodyIsRefused guards against new bodies that take the memory that admitted bodies and other requests need.
func TestNewBodyIsRefused(t *testing.T) {
	b, list := newFull(t)
	c, _ := b.Open(address(9), begin)
	b.Enter(c, Body, begin)
	evicted, ok := b.ChargeNewBody(c, 1, begin)
	qt.Check(t, evicted, qt.HasLen, 0)
	qt.Check(t, ok, qt.IsFalse)
	_, ok = b.ChargeGrowth(list[0], 1<<19, begin)
	qt.Check(t, ok, qt.IsTrue, qt.Commentf("admitted bodies may use more than new ones"))
	_, ok = b.ChargeHeader(c, 1<<19, begin)
	qt.Check(t, ok, qt.IsTrue, qt.Commentf("headers may use more than bodies"))
}

// TestBodyNearestToItsEndIsCompleted guards against bodies that all make progress and refuse each other room until none
// of them is completed.
func TestBodyNearestToItsEndIsCompleted(t *testing.T) {
	b, list := newFull(t)
	for i, c := range list {
		b.Advance(c, int64(1000*(1+i)), begin)
	}
	evicted, ok := b.ChargeGrowth(list[2], 2<<20, begin)
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, slices.Equal(evicted, list[:1]), qt.IsTrue)
	_, ok = b.ChargeGrowth(list[1], 2<<20, begin)
	qt.Check(t, ok, qt.IsFalse, qt.Commentf("more of the other body has arrived"))
}

// TestSourceIsLimited guards against one address that takes all memory for bodies while other addresses need some.
func TestSourceIsLimited(t *testing.T) {
	b := New(Limits{Connections: 10, Bytes: 8 << 20}, allRead)
	submit := func(from int, bytes int64) bool {
		c, _ := b.Open(address(from), begin)
		c.Key = fmt.Sprint(from)
		b.Enter(c, Body, begin)
		_, ok := b.ChargeNewBody(c, bytes, begin)
		return ok
	}
	qt.Check(t, submit(1, 4<<20+1), qt.IsTrue)
	qt.Check(t, submit(1, 1000), qt.IsTrue, qt.Commentf("nobody else needs memory"))
	qt.Check(t, submit(2, 1000), qt.IsTrue)
	qt.Check(t, submit(1, 1000), qt.IsFalse)
	qt.Check(t, submit(2, 1000), qt.IsTrue)
}

// TestConnections guards against connections beyond the limit, and against the eviction of a request that is served.
func TestConnections(t *testing.T) {
	b := New(Limits{Connections: 4, Bytes: 8 << 20}, allRead)
	var list []*Connection
	for i, phase := range []Phase{Serving, Idle, Header, Idle} {
		c, _ := b.Open(address(1), begin)
		b.Enter(c, phase, begin.Add(time.Duration(i)*time.Millisecond))
		list = append(list, c)
	}
	qt.Check(t, b.Short(), qt.IsTrue)
	c, _ := b.Open(address(1), begin)
	qt.Check(t, c, qt.IsNil, qt.Commentf("no connection is stalled yet"))
	for _, expected := range []int{2, 1, 3} {
		opened, evicted := b.Open(address(1), later)
		qt.Assert(t, opened, qt.IsNotNil)
		qt.Check(t, slices.Equal(evicted, []*Connection{list[expected]}), qt.IsTrue)
	}
	c, _ = b.Open(address(1), later)
	qt.Check(t, c, qt.IsNil)
	qt.Check(t, b.Len(), qt.Equals, 4)
}

// TestRestOfProcess guards against callers that use memory which the rest of the process holds, and against a share of
// callers that shrinks to nothing.
func TestRestOfProcess(t *testing.T) {
	b := New(Limits{Connections: 10, Bytes: 100 << 20, Floor: 10 << 20}, allRead)
	c, _ := b.Open(address(1), begin)
	_, ok := b.ChargeHeader(c, 10<<20-ConnectionBytes, begin)
	qt.Assert(t, ok, qt.IsTrue)
	b.SetHeld(60 << 20)
	qt.Check(t, b.Available(), qt.Equals, int64(50<<20))
	b.SetHeld(130 << 20)
	qt.Check(t, b.Available(), qt.Equals, int64(10<<20))
}

// TestChargesBalance guards against charges that are lost or remain after any sequence of events.
func TestChargesBalance(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	b := New(Limits{Connections: 20, Bytes: 2 << 20, Floor: 1 << 20}, allRead)
	now := begin
	var list []*Connection
	for range 100_000 {
		now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
		if c, _ := b.Open(address(random.IntN(3)), now); c != nil {
			list = append(list, c)
		}
		c := list[random.IntN(len(list))]
		switch random.IntN(7) {
		case 0:
			b.Enter(c, Phase(random.IntN(int(Serving)+1)), now)
		case 1:
			b.Enter(c, Body, now)
			b.ChargeNewBody(c, int64(random.IntN(300_000)), now)
		case 2:
			b.ChargeGrowth(c, int64(random.IntN(300_000)), now)
		case 3:
			b.Advance(c, int64(random.IntN(10_000)), now)
		case 4:
			b.ReleaseAll(c)
			b.Complete(c, now)
		default:
			b.Close(c)
		}
		qt.Assert(t, b.Len() <= 20, qt.IsTrue)
		qt.Assert(t, b.charged-b.leavingBytes <= 2<<20, qt.IsTrue)
	}
	for _, c := range list {
		b.Close(c)
	}
	qt.Check(t, []int64{b.charged, b.leavingBytes, int64(b.leaving), int64(b.bodies), int64(b.Len())},
		qt.DeepEquals, []int64{0, 0, 0, 0, 0})
}
