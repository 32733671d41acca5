package intake_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
	"auburnstack/io/coordinator"
	"auburnstack/io/store"
	"auburnstack/standin/memstore"
)

// limitCodec is like codec, but submits jobs of one task with eight accelerators. The account has a limit of four if the
// configuration is "limited".
type limitCodec struct{ codec }

// Decode implements policywatch.Codec.
func (c limitCodec) Decode(items map[string]store.Item) (*policy.Policy, error) {
	p, err := c.codec.Decode(items)
	if string(items["op/config"].Value) == "limited" {
		p.Accounts[0].Limit = resources.Amounts{Accelerators: 4}
	}
	return p, err
}

// DecodeJob implements intake.Codec.
func (limitCodec) DecodeJob([]byte) (*graph.Job, error) {
	return &graph.Job{Steps: []graph.Step{{Tasks: 1, Needs: resources.Amounts{Accelerators: 8}}}}, nil
}

// TestSubmissionAboveLimit checks that a job that can never fit the limit of its account is rejected with the reason, and
// that other accounts are not concerned.
func TestSubmissionAboveLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVMWithCodec(t, limitCodec{}, 0)
		v.service.Put("op/config", []byte("limited"))
		time.Sleep(time.Second)
		a := v.call("POST", false)
		qt.Check(t, a.Kind, qt.Equals, answer.Invalid)
		qt.Check(t, a.Reason, qt.Matches, "step 0: a task needs 8 accelerators, the limit is 4: .*")
		qt.Check(t, v.service.Keys(coordinator.JobKey(jobID)), qt.HasLen, 0)
		qt.Check(t, v.callWith("other", "POST", false).Kind, qt.Equals, answer.Done)
	})
}

// TestSubmissionRepeatedAfterLowerLimit guards against a caller that is told that its job was rejected although it was
// accepted before the limit was lowered, and runs.
func TestSubmissionRepeatedAfterLowerLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVMWithCodec(t, limitCodec{}, 0)
		qt.Assert(t, v.call("POST", false).Kind, qt.Equals, answer.Done)
		v.service.Put("op/config", []byte("limited"))
		time.Sleep(time.Second)
		qt.Check(t, v.call("POST", false).Kind, qt.Equals, answer.Done)
		v.client.SetFaults(memstore.Faults{Down: true})
		qt.Check(t, v.call("POST", false).Kind, qt.Not(qt.Equals), answer.Invalid)
	})
}

// serviceCodec is like limitCodec, but without limits. The configuration holds the name of the queue's service.
type serviceCodec struct{ limitCodec }

// Decode implements policywatch.Codec.
func (c serviceCodec) Decode(items map[string]store.Item) (*policy.Policy, error) {
	p, err := c.codec.Decode(items)
	p.Queues[0].Service = string(items["op/config"].Value)
	return p, err
}

// siteWithSizes is a site with workers of two services, "small" and "large".
type siteWithSizes struct{ siteWithPeers }

// Sizes implements intake.Site.
func (siteWithSizes) Sizes() []roster.Size {
	return []roster.Size{
		{Service: "small", Workers: 1, Capacity: resources.Amounts{Accelerators: 4}},
		{Service: "large", Workers: 1, Capacity: resources.Amounts{Accelerators: 8}},
	}
}

// TestSubmissionRepeatedAfterMove guards against a caller that is told that its job was rejected although it was
// accepted before its queue has moved to a service with smaller workers. A rejection by an outdated configuration is
// no better.
func TestSubmissionRepeatedAfterMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVMOnWithCodec(t, serviceCodec{}, 0, siteWithSizes{})
		v.service.Put("op/config", []byte("large"))
		time.Sleep(time.Second)
		qt.Assert(t, v.call("POST", false).Kind, qt.Equals, answer.Done)
		v.service.Put("op/config", []byte("small"))
		time.Sleep(time.Second)
		qt.Check(t, v.call("POST", false).Kind, qt.Equals, answer.Done)
		qt.Check(t, v.request("key", "POST", "/q/fedcba9876543210", false).Kind, qt.Equals, answer.Invalid)
		v.watcher.Close()
		v.service.Put("op/config", []byte("large"))
		time.Sleep(2 * time.Second)
		qt.Check(t, v.request("key", "POST", "/q/fedcba9876543210", true).Kind, qt.Not(qt.Equals), answer.Invalid)
	})
}

// TestLimitOfOldConfiguration guards against a rejection by a configuration that may have been replaced by one with a
// higher limit.
func TestLimitOfOldConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVMWithCodec(t, limitCodec{}, 0)
		v.service.Put("op/config", []byte("limited"))
		time.Sleep(time.Second)
		v.watcher.Close()
		v.service.Put("op/config", []byte("raised"))
		time.Sleep(2 * time.Second)
		qt.Check(t, v.call("POST", true).Kind, qt.Not(qt.Equals), answer.Invalid)
	})
}
