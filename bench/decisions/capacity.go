package main

import (
	"fmt"
	"os"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"auburnstack/core/endpoint"
	"auburnstack/core/job"
	"auburnstack/core/pool"
	"auburnstack/core/route"
	"auburnstack/core/scheduler"
	"auburnstack/core/shape"
	"auburnstack/core/table"
)

// acceleratorsPerWorker is the number of tasks per worker at the capacity target: 500,000 tasks on 20,000 workers. Each
// task takes one accelerator.
const acceleratorsPerWorker = 25

// rounds is the number of measured decisions about single-accelerator tasks. The number of measured decisions about
// gangs is a twentieth of rounds.
const rounds = 2000

// measureCapacity prints the decision times and the memory use of the scheduler for failure domains of growing size.
func measureCapacity() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "workers\ttasks\tpools\tbytes/worker\tbytes/task\tsmall p50\tsmall p99\t"+
		"gang members\tgang p50\tgang p99")
	for _, workers := range []int{48, 480, 1820, 4800, 20000} {
		measure(w, workers)
	}
	return errors.WithStack(w.Flush())
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// measure sets up a scheduler with the given number of workers, fills four fifths of the accelerators with tasks, and
// prints one row with the memory use of the scheduler and the times that it takes for decisions.
func measure(w *tabwriter.Writer, workers int) {
	pools := max(workers*1100/20000, 4)
	emptyHeap := heapBytes()
	s := scheduler.New("D", scheduler.DefaultSettings())
	for i := range workers {
		s.AddWorker(endpoint.Endpoint{
			Name: endpoint.Name(fmt.Sprintf("w%05d", i)), FailureDomain: "D",
			Rack: endpoint.Rack(fmt.Sprintf("r%04d", i/40)), Accelerators: acceleratorsPerWorker,
		})
	}
	s.SetTables(capacityTables(pools), time.Unix(0, 0))
	idleHeap := heapBytes()
	members := min(1024, workers/8)
	// A fifth of the accelerators stays free, so that a gang can start.
	tasks := 0
	now := time.Unix(0, 0)
	for tasks < workers*acceleratorsPerWorker*4/5 {
		submitSmall(s, tasks, pools, now)
		tasks++
	}
	fullHeap := heapBytes()
	small, gang := measureSmall(s, pools, now), measureGang(s, members, now)
	quantile := func(h *hdrhistogram.Histogram, q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) }
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%s\t%s\t%d\t%s\t%s\n", workers, tasks, pools, (idleHeap-emptyHeap)/uint64(workers),
		(fullHeap-idleHeap)/uint64(tasks), quantile(small, 50), quantile(small, 99), members, quantile(gang, 50),
		quantile(gang, 99))
	runtime.KeepAlive(s)
}

func capacityTables(pools int) *table.Tables {
	text := ""
	for i := range pools {
		text += fmt.Sprintf("[Pool.P%04d]\nClientAccount = A\nShape = 1x1\nCount = 18\nFailureDomains = D\n", i)
	}
	tables, err := table.Parse(1, "", text)
	if err != nil {
		panic(err)
	}
	return tables
}

func submitSmall(s *scheduler.Scheduler, n, pools int, now time.Time) {
	s.Submit(scheduler.Job{
		ID: job.ID(fmt.Sprintf("task-%07d", n)), Pool: pool.Name(fmt.Sprintf("P%04d", n%pools)), Class: route.Batch,
		Shape: shape.Shape{Members: 1, Accelerators: 1}, Submitted: now,
	})
	s.Decide(now)
}

// measureSmall returns the times that the scheduler takes to end one single-accelerator task and start another.
func measureSmall(s *scheduler.Scheduler, pools int, now time.Time) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	for n := range rounds {
		began := time.Now()
		s.Ended(job.ID(fmt.Sprintf("task-%07d", n)))
		// The offset keeps the ID distinct from the IDs of the tasks that measure has submitted.
		submitSmall(s, 5_000_000+n, pools, now)
		_ = h.RecordValue(int64(time.Since(began)))
	}
	return h
}

// measureGang returns the times that the scheduler takes to start a gang, without the times to end the gang.
func measureGang(s *scheduler.Scheduler, members int, now time.Time) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	for n := range rounds / 20 {
		id := job.ID(fmt.Sprintf("gang-%d", n))
		began := time.Now()
		s.Submit(scheduler.Job{
			ID: id, Pool: "P0000", Class: route.Long, Submitted: now,
			Shape: shape.Shape{Members: members, Accelerators: 1},
		})
		s.Decide(now)
		_ = h.RecordValue(int64(time.Since(began)))
		s.Ended(id)
	}
	return h
}
