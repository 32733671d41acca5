package site

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"auburnstack/core/graph"
	"auburnstack/core/jobmemory"
)

// TestAllowanceWhileLoading checks that a leader which has not read the jobs yet limits what other VMs accept. Without
// an allowance in its first heartbeats, the other VMs would accept any job.
func TestAllowanceWhileLoading(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMemory(jobmemory.NewLimit(144), metrics.NewSet(), hclog.NewNullLogger())
	loading, loaded := m.allowance(false, 3, now), m.allowance(true, 3, now)
	qt.Check(t, loading.Limited, qt.IsTrue)
	qt.Check(t, loading.Bytes > 0 && loading.Bytes < loaded.Bytes, qt.IsTrue)
	m.quota.Set(loading)
	qt.Check(t, m.quota.Spend(&graph.Job{Steps: []graph.Step{{Tasks: graph.MaxTasks}}}), qt.IsFalse)
	qt.Check(t, m.quota.Spend(&graph.Job{Steps: []graph.Step{{Tasks: 1}}}), qt.IsTrue)
	unlimited := newMemory(0, metrics.NewSet(), hclog.NewNullLogger())
	qt.Check(t, unlimited.allowance(false, 3, now).Limited, qt.IsFalse)
	qt.Check(t, unlimited.allowance(true, 3, now).Limited, qt.IsFalse)
}
