package speed

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/endpoint"
)

// TestPoolsSumTheEstimates guards against pools that move away from the estimates that they sum, because an estimate has
// decayed between being added and being taken out: unknown workers would get a wrong prior after hours of leadership.
func TestPoolsSumTheEstimates(t *testing.T) {
	known := newTruth(24, 0.6, 1, 1.6)
	m, now := New(), start
	for range 10_000 {
		now = now.Add(5 * time.Second)
		m.Observe(known.gang(5, 0.03), Unknown(), now)
	}
	sums := pool{}
	racks := map[endpoint.Rack]*pool{}
	for _, s := range m.workers {
		weight := s.weight()
		sums.weight += weight
		sums.sum += weight * s.mean
		sums.squares += weight * s.mean * s.mean
		addToPool(racks, s.worker.Rack, s, 1)
	}
	kept := m.kinds["a"]
	qt.Check(t, math.Abs(kept.weight-sums.weight) < 1e-6, qt.IsTrue, qt.Commentf("%v, %v", kept.weight, sums.weight))
	qt.Check(t, math.Abs(kept.sum-sums.sum) < 1e-6, qt.IsTrue, qt.Commentf("%v, %v", kept.sum, sums.sum))
	qt.Check(t, math.Abs(kept.squares-sums.squares) < 1e-6, qt.IsTrue, qt.Commentf("%v, %v", kept.squares, sums.squares))
	for rack, want := range racks {
		got := m.racks[rackKey{kind: "a", rack: rack}]
		qt.Check(t, math.Abs(got.sum-want.sum) < 1e-6, qt.IsTrue, qt.Commentf("%s: %v, %v", rack, got.sum, want.sum))
	}
}
