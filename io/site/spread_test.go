package site

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/standin/memstore"
	"auburnstack/standin/memworker"
)

// adoptionTime is the time in which a configuration must be in force everywhere.
const adoptionTime = 2 * time.Second

// TestConfigurationSpread changes the configuration on a site of 40 VMs. Those that the store answers read it there, and
// nobody sends it to them; one that the store refuses gets it from others in time. The number of messages does not grow
// with the square of the fleet.
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
			time.Sleep(adoptionTime)
			for _, v := range f.vms {
				qt.Check(t, v.node.Policy().Policy.Version, qt.Equals, version, qt.Commentf("%s", v.name))
			}
		}
		exchanges, policies, memberLists := f.network.takeCounts()
		// Each change: 3 rounds to 6 neighbors, beside the leader's heartbeats.
		heartbeats := int(4*adoptionTime/heartbeatInterval) + 1
		qt.Check(t, exchanges <= vms*(heartbeats+4*announceRounds*6), qt.IsTrue, qt.Commentf("%d exchanges", exchanges))
		qt.Check(t, policies <= 4*20, qt.IsTrue, qt.Commentf("%d contents", policies))
		qt.Check(t, memberLists <= 3*vms, qt.IsTrue, qt.Commentf("%d lists", memberLists))
	})
}

// TestRefusedVMJoins starts a VM that the store refuses from the beginning. It introduces itself to a seed, learns the leader
// and gets the configuration from it, and accepts jobs for its callers.
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
		qt.Check(t, f.awaitAll(urgentQueue, []graph.ID{"00000000000000aa"}, graph.Complete, completionTimeout), qt.HasLen, 0)
		// It stays a member for as long as the store refuses it.
		time.Sleep(20 * time.Second)
		qt.Check(t, v.node.Ready(), qt.IsTrue)
	})
}

// TestNeverGoesBack drops a queue and adds another one while the store refuses a VM. Once a caller has had an answer about the
// new queue from that VM, which asked another one, the dropped queue is not there any more.
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
