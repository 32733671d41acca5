package planner

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/graph"
)

// heapBytes returns the size of all objects that are in use.
func heapBytes() int64 {
	// The second collection frees what finalizers and pools have released in the first one.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestFootprintCoversMemory compares the footprint of jobs with the memory that the planner takes for them. It guards
// against a leader that admits more jobs than its memory has room for.
func TestFootprintCoversMemory(t *testing.T) {
	for _, test := range []struct{ occurrences, steps, tasks, jobs int }{
		{1, 2, 4096, 8}, {1, 256, 32, 8}, {8192, 1, 1, 8}, {512, 4, 4, 8}, {1, 1, 1, 2000}, {1, 1, 10, 2000}, {1, 256, 1, 50},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := plannerOnLargeWorkers(now)
			before := heapBytes()
			for i := range test.jobs {
				job := manyTasks(now, test.occurrences, test.steps, test.tasks)
				job.ID = graph.ID(fmt.Sprintf("%016x", i))
				job.Spec = strings.Repeat("s", graph.MaxSpec-16) + string(job.ID)
				p.Submit(job, now)
			}
			now = now.Add(time.Minute)
			for range 20 {
				settle(p, now)
			}
			took := heapBytes() - before
			t.Logf("%d bytes a task, %d a job", took/int64(test.jobs*test.occurrences*test.steps*test.tasks), took/int64(test.jobs))
			qt.Check(t, took <= p.Footprint(), qt.IsTrue, qt.Commentf("%d bytes, footprint %d", took, p.Footprint()))
			runtime.KeepAlive(p)
		})
	}
}
