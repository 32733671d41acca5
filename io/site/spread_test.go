package site

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/answer"
	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/io/policywatch"
	"auburnstack/standin/memstore"
	"auburnstack/standin/memworker"
)

// adoptionTime is the time within which all VMs must have adopted a new configuration.
const adoptionTime = 2 * time.Second

// TestConfigurationSpread changes the configuration of a site of 40 VMs, one of which has its calls refused by the
// store. It guards against four faults: the refused VM gets the configuration from other VMs too late; VMs that read
// the configuration from the store are sent its content; the number of messages grows with the square of the number of
// VMs; a worker's registration, written while the VMs read the configuration, makes them send it to each other.
func TestConfigurationSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 40
		f := newFleet(t, 5, vms, 2)
		defer f.close()
		time.Sleep(20 * time.Second)
		refused := f.vms[7]
		if refused == f.leader() {
			refused = f.vms[8]
		}
		refused.client.SetFaults(memstore.Faults{Refuse: true})
		time.Sleep(time.Second)
		f.network.takeCounts()
		for version := policy.Version(2); version < 6; version++ {
			f.putPolicy(version)
			f.beatInTurns(f.workerNames[0], vms)
			time.Sleep(adoptionTime)
			for _, v := range f.vms {
				qt.Check(t, v.node.Policy().Policy.Version, qt.Equals, version, qt.Commentf("%s", v.name))
			}
		}
		counts := f.network.takeCounts()
		// For each change, each VM sends 3 rounds of announcements to 6 neighbors, in addition to the leader's
		// heartbeats.
		heartbeats := int(4*adoptionTime/heartbeatInterval) + 1
		qt.Check(t, counts.exchanges <= vms*(heartbeats+4*announceRounds*6), qt.IsTrue,
			qt.Commentf("%d exchanges", counts.exchanges))
		qt.Check(t, counts.policies <= 4*20, qt.IsTrue, qt.Commentf("%d policies", counts.policies))
		qt.Check(t, counts.memberLists <= 3*vms, qt.IsTrue, qt.Commentf("%d member lists", counts.memberLists))
		// Only the refused VM asks: in each round the leader, the VM that was named as the leader and others; after an
		// announcement its neighbors.
		rounds := int(4 * adoptionTime / askInterval)
		qt.Check(t, counts.questions <= rounds*(randomSources+2)+4*20, qt.IsTrue, qt.Commentf("%d questions", counts.questions))
	})
}

// beatInTurns writes the registration of a worker several times, and lets the VMs act after each.
func (f *fleet) beatInTurns(name endpoint.Name, times int) {
	for range times {
		f.beat(name)
		runtime.Gosched()
	}
}

// TestRefusedVMJoins restarts a VM whose calls the store refuses from the start. The VM must introduce itself to a
// seed, learn the leader from the reply, get the configuration from the leader, and accept jobs of its callers.
func TestRefusedVMJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, 6, 4)
		defer f.close()
		time.Sleep(15 * time.Second)
		v := f.vms[5]
		if v == f.leader() {
			v = f.vms[4]
		}
		v.kill()
		time.Sleep(10 * time.Second)
		v.restart()
		v.client.SetFaults(memstore.Faults{Refuse: true})
		time.Sleep(3 * time.Second)
		qt.Assert(t, v.node.Ready(), qt.IsTrue)
		f.workers.SetPlan("00000000000000aa", memworker.Plan{Work: time.Second})
		body, err := json.Marshal(graph.Job{Steps: oneStep(1, false, 1)})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, v.serve("POST", urgentQueue+"00000000000000aa", body).Kind, qt.Equals, answer.Done)
		qt.Check(t, f.awaitAll(urgentQueue, []graph.ID{"00000000000000aa"}, graph.Complete, completionTimeout),
			qt.HasLen, 0)
		// The VM must stay a member while the store refuses its calls.
		time.Sleep(20 * time.Second)
		qt.Check(t, v.node.Ready(), qt.IsTrue)
	})
}

// TestNeverGoesBack guards against a VM that answers according to a new configuration and later according to an older
// one. The store refuses the VM's calls while a new configuration replaces one queue by another. Once the VM has
// relayed a request for the new queue and returned the answer, it must not answer for the removed queue any more.
func TestNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7, 4, 4)
		defer f.close()
		time.Sleep(15 * time.Second)
		v := f.vms[3]
		if v == f.leader() {
			v = f.vms[2]
		}
		v.client.SetFaults(memstore.Faults{Refuse: true})
		time.Sleep(2 * time.Second)
		f.putQueues(2, policy.Queue{Name: "fresh", Host: testHost, Prefix: "/fresh/", Service: "assay", Priority: 2})
		for range 100 {
			if v.serve("GET", "/fresh/", nil).Kind == answer.Pending {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		for range 50 {
			qt.Check(t, v.serve("GET", batchQueue, nil).Kind, qt.Not(qt.Equals), answer.Pending)
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// TestRefusedVMsKeepUp changes the configuration of a site of 40 VMs while the store refuses a third of them and the
// leaders are killed one after the other. It guards against VMs that are told nothing, because the next leader does not
// know them, and against VMs that must refuse their callers because nobody tells them that nothing has changed.
func TestRefusedVMsKeepUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, changes = 40, 40
		f := newFleet(t, 8, vms, 2)
		defer f.close()
		time.Sleep(20 * time.Second)
		refused := f.refuseThird()
		worst, oldest := time.Duration(0), time.Duration(0)
		for i := range changes {
			if i%5 == 2 {
				f.awaitLeader().kill()
			}
			version := policy.Version(2 + i)
			f.putPolicy(version)
			changedAt := time.Now()
			for time.Since(changedAt) < 500*time.Millisecond {
				time.Sleep(20 * time.Millisecond)
				for _, v := range refused {
					oldest = max(oldest, v.node.watcher.Age(v.node.Policy()))
					if v.node.Policy().Policy.Version < version {
						worst = max(worst, time.Since(changedAt))
					}
				}
			}
			if behind := f.behind(refused, version); behind > 0 {
				worst = max(worst, behind)
			}
		}
		t.Logf("worst lag %s, oldest proof %s", worst, oldest)
		qt.Check(t, worst <= applyLimit, qt.IsTrue, qt.Commentf("a refused VM was %s behind", worst))
		qt.Check(t, oldest <= policywatch.MaxAge(applyLimit)+askTimeout, qt.IsTrue, qt.Commentf("proof %s old", oldest))
	})
}

// TestRefusedVMFindsOthers kills the VMs that a refused VM would turn to first: the leader and the next ones in the
// order of names. It guards against a VM that relays its callers' requests to VMs that are gone, as long as it runs.
func TestRefusedVMFindsOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 10, 10, 4)
		defer f.close()
		time.Sleep(20 * time.Second)
		leader := f.awaitLeader()
		position := slices.Index(f.vms, leader) + 5
		v := f.vms[position%len(f.vms)]
		v.client.SetFaults(memstore.Faults{Refuse: true})
		time.Sleep(10 * time.Second)
		leader.kill()
		for distance := 1; distance <= 3; distance++ {
			f.vms[(position+distance)%len(f.vms)].kill()
		}
		time.Sleep(10 * time.Second)
		body, err := json.Marshal(graph.Job{Steps: oneStep(1, false, 1)})
		qt.Assert(t, err, qt.IsNil)
		for number := range 5 {
			id := fmt.Sprintf("%016x", 0xb0+number)
			qt.Check(t, v.serve("POST", urgentQueue+id, body).Kind, qt.Equals, answer.Done)
		}
	})
}

// refuseThird makes the store refuse the calls of every third VM, but not of the leader, and returns these VMs.
func (f *fleet) refuseThird() []*testVM {
	leader := f.awaitLeader()
	var refused []*testVM
	for i, v := range f.vms {
		if i%3 == 1 && v != leader {
			v.client.SetFaults(memstore.Faults{Refuse: true})
			refused = append(refused, v)
		}
	}
	return refused
}

// behind returns the time, up to ten seconds, until all given VMs have a version of the configuration.
func (f *fleet) behind(vms []*testVM, version policy.Version) time.Duration {
	start := time.Now()
	for _, v := range vms {
		for v.node.Policy().Policy.Version < version && time.Since(start) < 10*time.Second {
			time.Sleep(20 * time.Millisecond)
		}
	}
	return time.Since(start)
}

// TestHistoryLostByAll makes the store drop its history while a change is made, so that all VMs read all keys again,
// each at another revision. It guards against VMs that take each other's readings of the same configuration for newer
// ones, and send them to each other.
func TestHistoryLostByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 40
		f := newFleet(t, 9, vms, 8)
		defer f.close()
		time.Sleep(20 * time.Second)
		for i, v := range f.vms {
			v.client.SetFaults(memstore.Faults{Slow: time.Duration(i) * time.Millisecond})
		}
		f.store.SetWatchesStalled(true)
		f.putPolicy(2)
		time.Sleep(time.Second)
		f.network.takeCounts()
		f.store.Compact()
		f.store.SetWatchesStalled(false)
		for range vms {
			f.beat(f.workerNames[0])
			time.Sleep(time.Millisecond)
		}
		time.Sleep(adoptionTime)
		for _, v := range f.vms {
			qt.Check(t, v.node.Policy().Policy.Version, qt.Equals, policy.Version(2))
		}
		counts := f.network.takeCounts()
		qt.Check(t, counts.policies, qt.Equals, 0)
		qt.Check(t, counts.questions <= vms*2*6, qt.IsTrue, qt.Commentf("%d questions", counts.questions))
		heartbeats := int(adoptionTime/heartbeatInterval) + 1
		qt.Check(t, counts.exchanges <= vms*(heartbeats+2*announceRounds*6), qt.IsTrue,
			qt.Commentf("%d exchanges", counts.exchanges))
	})
}
