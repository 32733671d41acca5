package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/account"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/core/resources"
)

// TestOverLimit guards against a job that waits for good without notice after the limit of its account was lowered below
// what one of its gangs needs, and against a notice about steps that do not wait or about other accounts.
func TestOverLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(testSettings(), testPolicy())
	for id, name := range map[graph.ID]account.Name{"a": "limited", "b": "other", "c": "limited"} {
		tasks := 2
		if id == "c" {
			tasks = 1
		}
		p.Submit(&graph.Job{ID: id, ClientAccount: name, Queue: "urgent", Accepted: now, Steps: []graph.Step{
			{Tasks: tasks, Gang: true, Needs: resources.Amounts{Accelerators: 4}},
			{Tasks: 9, Gang: true, Needs: resources.Amounts{Accelerators: 4}, After: []int{0}},
		}}, now)
	}
	qt.Check(t, p.JobsOverLimit(), qt.HasLen, 0)
	next := *testPolicy()
	next.Accounts = append(next.Accounts, policy.Account{Name: "limited", Limit: resources.Amounts{Accelerators: 7}})
	p.SetPolicy(&next)
	qt.Check(t, p.JobsOverLimit(), qt.DeepEquals, []JobOverLimit{{Job: "a", Account: "limited", Units: 1,
		Reason: "the gang needs 8 accelerators, the limit is 7: " + graph.ErrOverLimit.Error()}})
}
