package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

// TestQueueKnownLater submits a job before the planner has received a policy with the job's queue. This happens after
// the loss of all VMs. The job must start once a policy says which workers serve its queue.
func TestQueueKnownLater(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(testSettings(), &policy.Policy{})
	p.SetWorkers([]roster.Worker{{
		Name: "w", Service: "assay", Incarnation: 1, Rack: "r", Capacity: resources.Amounts{Accelerators: 8},
	}}, now)
	p.SetResponsive("w", true)
	p.Observe(Observation{Worker: "w", Incarnation: 1, Sent: now}, now)
	p.Submit(&graph.Job{ID: "a", Queue: "urgent", Accepted: now, Steps: []graph.Step{{
		Tasks: 1, Estimate: time.Second, Needs: resources.Amounts{Accelerators: 1},
	}}}, now)
	qt.Check(t, settle(p, now), qt.HasLen, 0)
	p.SetPolicy(testPolicy())
	onlyStart(t, p, now)
}
