package site

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"auburnstack/core/graph"
	"auburnstack/core/jobmemory"
)

// memoryLogInterval is the least time between two log lines about the memory that jobs take.
const memoryLogInterval = 10 * time.Second

// memory decides which jobs the site has the memory for: by the account if this VM leads, and otherwise by the
// allowance that the leader has sent.
type memory struct {
	account *jobmemory.Account
	quota   *jobmemory.Quota
	log     hclog.Logger

	// reportedFull and reportedAt are the content and the time of the last log line. Only the method report uses them.
	reportedFull bool
	reportedAt   time.Time
}

func newMemory(limit jobmemory.Limit, set *metrics.Set, log hclog.Logger) *memory {
	m := &memory{account: jobmemory.NewAccount(limit), quota: jobmemory.NewQuota(limit), log: log}
	set.GetOrCreateGauge(`auburnstack_job_memory_bytes`, func() float64 {
		return float64(m.account.Status(time.Now()).Taken)
	})
	set.GetOrCreateGauge(`auburnstack_job_memory_limit_bytes`, func() float64 {
		return float64(m.account.Status(time.Now()).Limit)
	})
	return m
}

// report logs whether large jobs are admitted if that has changed, at most once per memoryLogInterval.
func (m *memory) report(now time.Time) {
	status := m.account.Status(now)
	if status.Full() == m.reportedFull || now.Sub(m.reportedAt) < memoryLogInterval {
		return
	}
	m.reportedFull, m.reportedAt = status.Full(), now
	if status.Full() {
		m.log.Warn("no memory for more large jobs", "taken", status.Taken, "limit", int64(status.Limit))
		return
	}
	m.log.Info("memory for large jobs again", "taken", status.Taken, "limit", int64(status.Limit))
}

// allowance returns what each of the given number of VMs may accept by itself until the leader's next heartbeat. A
// leader that has not loaded all records yet does not know what it holds.
func (m *memory) allowance(loaded bool, vms int, now time.Time) jobmemory.Allowance {
	if loaded {
		return m.account.Allowance(vms, now)
	}
	return m.account.Status(now).Limit.Initial(vms)
}

// AdmitJob implements intake.Site.
func (n *Node) AdmitJob(job *graph.Job) (admitted, leading bool) {
	if _, leading := n.coordinator.Pending(); leading {
		return n.memory.account.Reserve(job, time.Now()), true
	}
	return n.memory.quota.Spend(job), false
}

// ReleaseJob implements intake.Site.
func (n *Node) ReleaseJob(job *graph.Job) {
	n.memory.account.Release(job)
}
