package coordinator

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"auburnstack/core/graph"
	"auburnstack/core/planner"
)

// Metrics counts what a coordinator does.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns counters in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{set: set}
}

func (m *Metrics) count(format string, labels ...any) {
	m.set.GetOrCreateCounter(fmt.Sprintf(format, labels...)).Inc()
}

func (m *Metrics) ended(kind planner.EndKind) {
	m.count(`auburnstack_runs_ended_total{how=%q}`, kind.String())
}

func (m *Metrics) final(state graph.State) {
	m.count(`auburnstack_jobs_ended_total{state=%q}`, string(state))
}

func (m *Metrics) started() {
	m.count(`auburnstack_starts_total`)
}

func (m *Metrics) stopped(reason planner.StopReason) {
	m.count(`auburnstack_stops_total{reason=%q}`, string(reason))
}

func (m *Metrics) paced() {
	m.count(`auburnstack_paces_total`)
}

func (m *Metrics) orderFailed(err error) {
	m.count(`auburnstack_orders_failed_total{error=%q}`, errors.Cause(err).Error())
}

func (m *Metrics) flush(took time.Duration) {
	m.set.GetOrCreateHistogram(`auburnstack_flush_duration_seconds`).Update(took.Seconds())
}
