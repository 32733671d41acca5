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

// endpoints returns the given number of endpoints in one failure domain, each with 8 slots and 64 connections.
func endpoints(name domain.Name, count int) []endpoint.Endpoint {
	var list []endpoint.Endpoint
	for i := range count {
		list = append(list, endpoint.Endpoint{
			Name: endpoint.Name(fmt.Sprintf("%s-%d", name, i)), FailureDomain: name, Slots: 8, Connections: 64,
		})
	}
	return list
}

// newBalancer returns a balancer for a VM in the failure domain "home". The balancer has a fixed random seed.
func newBalancer(list []endpoint.Endpoint, liveVMs int) *Balancer {
	b := New(PowerOfTwo{}, "home", rand.New(rand.NewPCG(1, 1)))
	b.SetEndpoints(list, liveVMs)
	return b
}

// TestHomeFirstThenSpill checks that requests go to the VM's own failure domain until all slots there are in use, and
// then to other failure domains.
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

// TestConnectionsAreShared checks that all live VMs together never open more connections than an endpoint accepts.
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

// TestEjectionIsCapped checks that a request that fails on every endpoint ejects at most a third of them.
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
