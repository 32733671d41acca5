package bounded

import (
	"runtime"
	"runtime/metrics"
)

// heldMetrics are the runtime's figures of memory in use: the objects that the last collection has kept, and stacks.
var heldMetrics = []string{"/gc/heap/live:bytes", "/memory/classes/heap/stacks:bytes"}

// measureAfterCollections sets the budget's figure of the memory that the process holds after each garbage collection.
// The figure of live objects is from the collection, so it must be compared with the charges of that time.
// The measurements end with the first collection after the listener was closed.
func (l *Listener) measureAfterCollections() {
	type sentinel struct{ _ [16]byte }
	var collected func(*sentinel)
	collected = func(s *sentinel) {
		if l.closed.Load() {
			return
		}
		l.measure()
		runtime.SetFinalizer(s, collected)
	}
	runtime.SetFinalizer(&sentinel{}, collected)
}

// measure sets the budget's figure of the memory that the process holds.
func (l *Listener) measure() {
	samples := make([]metrics.Sample, len(heldMetrics))
	for i, name := range heldMetrics {
		samples[i].Name = name
	}
	metrics.Read(samples)
	var held int64
	for _, sample := range samples {
		if sample.Value.Kind() == metrics.KindUint64 {
			held += int64(sample.Value.Uint64())
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.SetHeld(held)
}
