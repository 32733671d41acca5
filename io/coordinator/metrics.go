package coordinator

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"auburnstack/core/graph"
	"auburnstack/core/planner"
)

// Metrics holds the metrics of a Coordinator.
type Metrics struct {
	set *metrics.Set
	// accounts is nil if the VM does not lead or no account has a limit or weight.
	accounts atomic.Pointer[accountReading]
}

// NewMetrics returns metrics that are registered in the given set.
func NewMetrics(set *metrics.Set) *Metrics {
	m := &Metrics{set: set}
	set.RegisterMetricsWriter(m.writeAccounts)
	return m
}

func (m *Metrics) increment(format string, labels ...any) {
	m.set.GetOrCreateCounter(fmt.Sprintf(format, labels...)).Inc()
}

func (m *Metrics) runEnded(kind planner.EndKind) {
	m.increment(`auburnstack_runs_ended_total{how=%q}`, kind.String())
}

func (m *Metrics) jobEnded(state graph.State) {
	m.increment(`auburnstack_jobs_ended_total{state=%q}`, string(state))
}

// found counts a finding of the planner.
func (m *Metrics) found(finding planner.Finding) {
	switch f := finding.(type) {
	case planner.WorkerRestarted:
		m.increment(`auburnstack_workers_crashed_total`)
		m.set.GetOrCreateCounter(`auburnstack_runs_lost_total`).Add(len(f.Runs))
	case planner.CrashAttributed:
		m.increment(`auburnstack_crashes_attributed_total{evidence=%q}`, evidence(f.Unambiguous))
	case planner.JobGivenUp:
		m.increment(`auburnstack_jobs_given_up_total`)
	case planner.LeaseExpired:
		m.increment(`auburnstack_leases_expired_total{registered="%t"}`, f.Registered)
	}
}

// recordRejected counts a record of progress that the store will never accept.
func (m *Metrics) recordRejected() {
	m.increment(`auburnstack_records_rejected_total`)
}

func (m *Metrics) startOrdered() {
	m.increment(`auburnstack_starts_total`)
}

func (m *Metrics) capacitiesChanged(count int) {
	m.set.GetOrCreateCounter(`auburnstack_capacity_changes_total`).Add(count)
}

func (m *Metrics) startWithdrawn(reason withdrawalReason) {
	m.increment(`auburnstack_starts_withdrawn_total{reason=%q}`, string(reason))
}

func (m *Metrics) stopOrdered(reason planner.StopReason) {
	m.increment(`auburnstack_stops_total{reason=%q}`, string(reason))
}

func (m *Metrics) paceOrdered() {
	m.increment(`auburnstack_paces_total`)
}

func (m *Metrics) orderFailed(err error) {
	m.increment(`auburnstack_orders_failed_total{error=%q}`, errors.Cause(err).Error())
}

func (m *Metrics) registrationRemoved(departure planner.Departure) {
	m.increment(`auburnstack_registrations_removed_total{departure=%q}`, departure.String())
}

// learnedStored counts a write of the learned speeds.
func (m *Metrics) learnedStored(err error) {
	m.increment(`auburnstack_learned_writes_total{failed="%t"}`, err != nil)
}

// speedsLearned sets the numbers of workers by their learned speeds.
func (m *Metrics) speedsLearned(c planner.SpeedCounts) {
	for speed, count := range map[string]int{"slow": c.Slow, "unknown": c.Unknown, "normal": c.Normal, "fast": c.Fast} {
		m.set.GetOrCreateGauge(fmt.Sprintf(`auburnstack_workers_by_speed{speed=%q}`, speed), nil).Set(float64(count))
	}
}

func (m *Metrics) flushed(took time.Duration) {
	m.set.GetOrCreateHistogram(`auburnstack_flush_duration_seconds`).Update(took.Seconds())
}
