package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
)

var start = time.Unix(1000, 0)

func endpoints(name domain.Name, count int) []endpoint.Endpoint {
	var list []endpoint.Endpoint
	for i := range count {
		list = append(list, endpoint.Endpoint{
			Name: endpoint.Name(fmt.Sprintf("%s-%d", name, i)), FailureDomain: name, Slots: 8, Connections: 64,
		})
	}
	return list
}

func newBalancer(list []endpoint.Endpoint, liveVMs int) *Balancer {
	b := New(PowerOfTwo{}, "home", rand.New(rand.NewPCG(1, 1)))
	b.SetEndpoints(list, liveVMs)
	return b
}

// Requests stay in the own failure domain until its slots are taken, then spill over.
func TestHomeFirstThenSpill(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(append(endpoints("home", 2), endpoints("away", 2)...), 1)
	for range 16 {
		chosen, ok := b.Acquire(start, nil)
		c.Assert(ok, qt.IsTrue)
		c.Assert(chosen.FailureDomain, qt.Equals, domain.Name("home"))
	}
	chosen, _ := b.Acquire(start, nil)
	c.Assert(chosen.FailureDomain, qt.Equals, domain.Name("away"))
}

// The live VMs together never open more connections than an endpoint accepts.
func TestConnectionsAreShared(t *testing.T) {
	c := qt.New(t)
	for liveVMs := 1; liveVMs <= 64; liveVMs++ {
		b := newBalancer(endpoints("home", 1), liveVMs)
		taken := 0
		for {
			if _, ok := b.Acquire(start, nil); !ok {
				break
			}
			taken++
		}
		c.Assert(taken*liveVMs <= 64, qt.IsTrue, qt.Commentf("%d VMs take %d each", liveVMs, taken))
	}
}

// A request that fails everywhere ejects at most a third of the endpoints.
func TestEjectionIsCapped(t *testing.T) {
	c := qt.New(t)
	list := endpoints("home", 9)
	b := newBalancer(list, 1)
	ejected := 0
	for range 20 {
		for _, e := range list {
			if b.Failed(e.Name, start) {
				ejected++
			}
		}
	}
	c.Assert(ejected, qt.Equals, 3)
	_, ok := b.Acquire(start, nil)
	c.Assert(ok, qt.IsTrue)
	c.Assert(b.ejected(start.Add(ejectTime)), qt.Equals, 0)
}
