package main

import (
	"errors"
	"fmt"
	"time"

	"auburnstack/review/platform"
	"auburnstack/review/taskworker"
)

const (
	// longTasks is the number of tasks of the long job. Each needs all GPUs of a worker, and a label that twice as many
	// workers have: that of their rack.
	longTasks = 1
	longLabel = "r1-1"
	// longEstimate is the estimate of its tasks, which they need without trouble, and longFactor how many times as long
	// they take with it.
	longEstimate = 120 * time.Second
	longFactor   = 6.5
	// otherJobs is the number of jobs that are handed in before the long one and are not affected, so that the share of
	// those that are is 0.05. Their tasks take otherWork, as estimated.
	otherJobs     = 19
	otherInterval = 150 * time.Millisecond
	otherWork     = 2 * time.Second
	// longWatch is the time for which the case looks on.
	longWatch = 80 * time.Second
)

// playLongTasks lets the tasks of a job take longer than estimated, and looks whether the job has nothing running
// although nothing else is on the service (LOST).
func playLongTasks(record *platform.Record, trouble bool) verdict {
	const long = "5c0e7a21d94b36f8"
	work := longEstimate
	if trouble {
		work = time.Duration(longFactor * float64(longEstimate))
	}
	site, err := platform.Start(record, 3, 8*longTasks, func(task string) taskworker.Plan {
		if platform.JobOf(task) == long {
			return taskworker.Plan{Work: func(string) time.Duration { return work }}
		}
		return taskworker.Plan{Work: func(string) time.Duration { return otherWork }}
	})
	if err != nil {
		return verdict{err: err}
	}
	defer site.Close()
	time.Sleep(2 * time.Second)
	for i := range otherJobs {
		time.Sleep(otherInterval)
		other := map[string]any{"count": 2, "cpu": 4000, "memMb": 4096, "gpu": 1, "estimateMs": otherWork.Milliseconds()}
		if !site.Call(site.VMs[i%len(site.VMs)], "POST", fmt.Sprintf("%016x", 0xab5400+i), map[string]any{
			"spec": "spectral check", "steps": []map[string]any{other},
		}).Accepted() {
			return verdict{err: errors.New("another job was not accepted")}
		}
	}
	record.Note("the tasks of %s take %s, estimated are %s", long, work, longEstimate)
	if !site.Call(site.VMs[0], "POST", long, map[string]any{
		"spec": "fire assay",
		"steps": []map[string]any{{
			"count": longTasks, "cpu": 52000, "memMb": 210000, "gpu": 8, "estimateMs": longEstimate.Milliseconds(),
			"requirements": longLabel,
		}},
	}).Accepted() {
		return verdict{err: errors.New("the long job was not accepted")}
	}
	begun, ran := time.Now(), time.Now()
	longest := time.Duration(0)
	for time.Since(begun) < longWatch {
		time.Sleep(20 * time.Millisecond)
		now := time.Now()
		if runningOf(site, long) > 0 {
			ran = now
		}
		longest = max(longest, now.Sub(ran))
	}
	state := site.Call(site.VMs[1], "GET", long, nil)
	runs := startsOf(record, long)
	record.Note("%d runs of the %d tasks were started; longest time without any: %.1f s", runs, longTasks,
		longest.Seconds())
	if longest > lostAfter {
		return broken("the job had nothing running for %.1f s, with all %d workers idle; it is shown as %s after %d runs of "+
			"its %d tasks, of which none has ended but by a stop", longest.Seconds(), 8*longTasks, state.Body, runs, longTasks)
	}
	return verdict{}
}

// startsOf returns the number of runs of a job that were started.
func startsOf(record *platform.Record, id string) int {
	count := 0
	for _, e := range record.Events() {
		if e.What == "start" && platform.JobOf(e.Task) == id {
			count++
		}
	}
	return count
}
