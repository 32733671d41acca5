package intake

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"auburnstack/core/answer"
)

// Metrics counts the answers to callers and measures the time from each request to its answer.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns metrics that are registered in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{set: set}
}

// recordNoMemory counts a job that was refused because the leader has no memory for it.
func (m *Metrics) recordNoMemory() {
	m.set.GetOrCreateCounter(`auburnstack_jobs_refused_for_memory_total`).Inc()
}

// recordUnconfirmed counts an answer by a configuration that was not proven to be the newest within maxPolicyAge.
func (m *Metrics) recordUnconfirmed(method string, kind answer.Kind) {
	name := fmt.Sprintf(`auburnstack_answers_unconfirmed_total{method=%q,answer=%q}`, method, kind.String())
	m.set.GetOrCreateCounter(name).Inc()
}

func (m *Metrics) recordAnswer(method string, kind answer.Kind, elapsed time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`auburnstack_answers_total{method=%q,answer=%q}`, method, kind.String())).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`auburnstack_answer_duration_seconds{method=%q}`, method)).
		Update(elapsed.Seconds())
}
