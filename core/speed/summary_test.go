package speed

import (
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/endpoint"
)

// TestSummary guards against estimates that are lost or changed at a change of leader.
func TestSummary(t *testing.T) {
	known := newTruth(48, 0.6, 1, 1.6)
	m := New()
	for range 100 {
		m.Observe(known.gang(5, 0.03), Unknown(), start)
	}
	text, err := json.Marshal(m.Summary(MaxSummary, start))
	qt.Assert(t, err, qt.IsNil)
	var s Summary
	qt.Assert(t, json.Unmarshal(text, &s), qt.IsNil)
	later := start.Add(10 * time.Second)
	restored, err := Restore(s, later)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, restored.Len(), qt.Equals, 48)
	for _, w := range known.workers {
		before, after := m.Estimate(w, later), restored.Estimate(w, later)
		qt.Check(t, math.Abs(before.Mean-after.Mean) < 0.01, qt.IsTrue, qt.Commentf("%+v %+v", before, after))
		qt.Check(t, after.Deviation >= before.Deviation && after.Deviation < 0.15, qt.IsTrue)
		qt.Check(t, after.Samples, qt.Equals, before.Samples)
	}
	old, err := Restore(s, start.Add(1000*time.Hour))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, old.Estimate(known.workers[0], start.Add(1000*time.Hour)).Deviation > 0.25, qt.IsTrue)
	future, err := Restore(s, start.Add(-time.Hour))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, future.Len(), qt.Equals, 48)
}

// TestInvalidSummary guards against values of a foreign or damaged record that reach the decisions.
func TestInvalidSummary(t *testing.T) {
	good := WorkerSummary{Name: "w", Mean: 100, Deviation: 50, Shared: 20, Samples: 3}
	for i, spoil := range []func(*Summary){
		func(s *Summary) { s.Version = 2 }, func(s *Summary) { s.Workers[0].Name = "" },
		func(s *Summary) { s.Workers[0].Kind = 1 }, func(s *Summary) { s.Workers[0].Rack = -1 },
		func(s *Summary) { s.Workers[0].Mean = 1 << 40 }, func(s *Summary) { s.Workers[0].Deviation = 0 },
		func(s *Summary) { s.Workers[0].Shared = 51 }, func(s *Summary) { s.Workers[0].Samples = -1 },
		func(s *Summary) { s.Workers[0].Age = math.MaxInt }, func(s *Summary) { s.Kinds = nil },
		func(s *Summary) { s.Workers = make([]WorkerSummary, MaxSummary+1) },
	} {
		s := Summary{Version: 1, At: start, Kinds: []string{"a"}, Racks: []endpoint.Rack{"r"}, Workers: []WorkerSummary{good}}
		_, err := Restore(s, start)
		qt.Check(t, err, qt.IsNil)
		spoil(&s)
		_, err = Restore(s, start)
		qt.Check(t, err, qt.ErrorIs, ErrSummary, qt.Commentf("%d", i))
	}
	m, err := Restore(Summary{Version: 1, Kinds: []string{"a"}, Racks: []endpoint.Rack{"r"},
		Workers: []WorkerSummary{good, good}}, start)
	qt.Assert(t, err, qt.IsNil)
	m.Forget("w")
	qt.Check(t, m.kinds, qt.HasLen, 0)
}

// TestSummarySize guards against a summary that exceeds its bound or prefers workers that were seen long ago.
func TestSummarySize(t *testing.T) {
	m := New()
	for i := range MaxSummary + 1000 {
		w := Worker{Name: endpoint.Name(fmt.Sprintf("endpoint-%05d", i)), Kind: "a", Rack: endpoint.Rack(fmt.Sprint(i / 8))}
		m.Observe([]Rate{{w, 0, 0.1}}, Unknown(), start.Add(time.Duration(i)*time.Millisecond))
	}
	s := m.Summary(MaxSummary, start.Add(time.Hour))
	qt.Assert(t, s.Workers, qt.HasLen, MaxSummary)
	qt.Check(t, s.Workers[0].Name, qt.Equals, endpoint.Name("endpoint-01000"))
	text, err := json.Marshal(s)
	qt.Assert(t, err, qt.IsNil)
	t.Logf("%d bytes", len(text))
	qt.Check(t, len(text) < 90*MaxSummary, qt.IsTrue, qt.Commentf("%d", len(text)))
	qt.Check(t, m.Summary(10, start).Workers, qt.HasLen, 10)
}

// BenchmarkSummary measures a summary of 20,000 known workers.
func BenchmarkSummary(b *testing.B) {
	known := newTruth(MaxWorkers, 0.6, 1, 1.6)
	m := New()
	for i, w := range known.workers {
		m.Observe([]Rate{{w, known.logs[i], 0.1}}, Common{Variance: 0.01}, start)
	}
	for b.Loop() {
		m.Summary(MaxSummary, start)
	}
}

// BenchmarkMemory reports the bytes of memory for each of 20,000 known workers.
func BenchmarkMemory(b *testing.B) {
	known := newTruth(MaxWorkers, 0.6, 1, 1.6)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := New()
		for i, w := range known.workers {
			m.Observe([]Rate{{w, known.logs[i], 0.1}}, Common{Variance: 0.01}, start)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/MaxWorkers, "bytes/worker")
		runtime.KeepAlive(m)
	}
}
