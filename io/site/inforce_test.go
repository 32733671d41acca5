package site

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/answer"
	"auburnstack/core/policy"
	"auburnstack/standin/memstore"
)

// probeInterval is the time between two requests of the caller of one VM.
const probeInterval = 150 * time.Millisecond

// routeChanges are configurations that follow each other. Each has one queue that the one before does not have, and not
// the queue of the one before.
type routeChanges struct {
	fleet *fleet

	mu sync.Mutex
	// version is the newest version, and changedAt the time at which it was acknowledged.
	version   policy.Version
	changedAt time.Time
	// wrong lists the answers that only an older version allows.
	wrong []string
	// served and refused count the right answers to requests for the newest queue, and the requests that were refused.
	served, refused int
}

// prefixOf returns the prefix of the queue of a version.
func prefixOf(version policy.Version) string {
	return fmt.Sprintf("/v%d/", version)
}

// next acknowledges the next version.
func (c *routeChanges) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	c.fleet.putQueues(c.version, policy.Queue{Name: "last", Host: testHost, Prefix: prefixOf(c.version), Service: "assay"})
	c.changedAt = time.Now()
}

// newest returns the newest version, and whether it must be in force for a request that is sent now.
func (c *routeChanges) newest() (policy.Version, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, time.Since(c.changedAt) > applyLimit
}

// probe sends requests for the newest queue and the one before it to a VM until done is closed, and records what is wrong.
func (c *routeChanges) probe(v *testVM, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(probeInterval):
		}
		if version, inForce := c.newest(); inForce {
			c.check(v, version, v.serve("GET", prefixOf(version), nil).Kind, answer.NoQueue)
			c.check(v, version, v.serve("GET", prefixOf(version-1), nil).Kind, answer.Pending)
		}
	}
}

// check records an answer by which a VM shows that it does not know a version, if the answer is the given one.
func (c *routeChanges) check(v *testVM, version policy.Version, got, wrong answer.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	replaced := c.version != version && got == answer.NoQueue
	switch {
	case replaced:
		// The version was replaced while the request was on its way.
	case got == wrong:
		c.wrong = append(c.wrong, fmt.Sprintf("%s: %s at version %d, after %s", v.name, got, version, time.Since(c.changedAt)))
	case got == answer.Pending || got == answer.NoQueue:
		c.served++
	default:
		c.refused++
	}
}

// TestConfigurationInForce changes the configuration while VMs are refused by the store or cut off, the leader first, and
// while the store is slow, away, answers late or drops its history. It guards against any VM, in whatever
// trouble, that answers a caller as only a version allows which was replaced longer ago than applyLimit.
func TestConfigurationInForce(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { changeUnderTrouble(t, seed) })
		})
	}
}

// changeUnderTrouble plays two minutes of changes and troubles that the seed determines.
func changeUnderTrouble(t *testing.T, seed uint64) {
	const vms, rounds = 9, 40
	f := newFleet(t, seed, vms, 4)
	defer f.close()
	c := &routeChanges{fleet: f}
	c.next()
	time.Sleep(15 * time.Second)
	random := rand.New(rand.NewPCG(seed, seed))
	done := make(chan struct{})
	var probes sync.WaitGroup
	for _, v := range f.vms {
		probes.Go(func() { c.probe(v, done) })
	}
	for range rounds {
		f.troubleOne(random)
		time.Sleep(time.Duration(random.Int64N(int64(4 * time.Second))))
		c.next()
		time.Sleep(applyLimit)
	}
	close(done)
	probes.Wait()
	t.Logf("%d answers by the newest version, %d refusals", c.served, c.refused)
	qt.Check(t, c.wrong, qt.HasLen, 0)
	qt.Check(t, c.served > c.refused, qt.IsTrue)
}

// troubleOne begins or ends the trouble of one VM or of the store.
func (f *fleet) troubleOne(random *rand.Rand) {
	v := f.vms[random.IntN(len(f.vms))]
	switch random.IntN(10) {
	case 0, 1:
		v.client.SetFaults(memstore.Faults{Refuse: true})
	case 2:
		v.client.SetFaults(memstore.Faults{WatchesUnanswered: true})
	case 3:
		v.client.SetFaults(memstore.Faults{LateReplies: time.Duration(random.Int64N(int64(time.Second)))})
	case 4:
		v.isolate(true)
	case 5:
		if leader := f.leader(); leader != nil {
			leader.isolate(true)
			time.AfterFunc(3*time.Second, func() { leader.isolate(false) })
		}
	case 6:
		f.store.SetFaults(memstore.Faults{Slow: time.Duration(random.Int64N(int64(600 * time.Millisecond)))})
	case 7:
		f.store.SetWatchesStalled(true)
		time.AfterFunc(time.Second, func() {
			f.store.Compact()
			f.store.SetWatchesStalled(false)
		})
	case 8:
		f.store.SetFaults(memstore.Faults{Down: true})
		time.AfterFunc(time.Duration(random.Int64N(int64(5*time.Second))), func() { f.store.SetFaults(memstore.Faults{}) })
	default:
		f.store.SetFaults(memstore.Faults{})
		for _, other := range f.vms {
			other.isolate(false)
		}
	}
}
