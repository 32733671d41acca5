package main

import (
	"errors"
	"fmt"
	"time"

	"auburnstack/review/platform"
	"auburnstack/review/taskworker"
)

const (
	// wholeTasks is the number of tasks that last and that need all GPUs of a worker each.
	wholeTasks = 4
	// A job of priority 0 with one task that needs one GPU is handed in every urgentInterval. Its task takes urgentWork.
	urgentInterval = 130 * time.Millisecond
	urgentWork     = 4 * time.Second
	// restartTime is the time after the crash from which on the task may not be idle for lostAfter. It is longer than the
	// lease of the worker (holdMaxMs), than 6 s after the task's last run, and than 4 s without disruption.
	restartTime = 12 * time.Second
	// watchTime is the time for which the case looks on after a crash.
	watchTime = 25 * time.Second
)

// playLastingStarved lets one worker crash for good under a task that lasts, while work of priority 0 fills the
// service, and looks whether the task starts again (LOST).
func playLastingStarved(record *platform.Record, trouble bool) verdict {
	const lasting = "5c0e7a21d94b36f8"
	site, err := platform.Start(record, 3, 8, func(task string) taskworker.Plan {
		if platform.JobOf(task) == lasting {
			return taskworker.Plan{Work: func(string) time.Duration { return 0 }}
		}
		return taskworker.Plan{Work: func(string) time.Duration { return urgentWork }}
	})
	if err != nil {
		return verdict{err: err}
	}
	defer site.Close()
	time.Sleep(2 * time.Second)
	if !site.Call(site.VMs[0], "POST", lasting, map[string]any{
		"spec":  "desk service",
		"steps": []map[string]any{{"count": wholeTasks, "cpu": 64000, "memMb": 65536, "gpu": 8, "longRunning": true}},
	}).Accepted() {
		return verdict{err: errors.New("the job that lasts was not accepted")}
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		sendUrgent(site, stop)
	}()
	defer func() { close(stop); <-ended }()
	time.Sleep(10 * time.Second)
	crashed := time.Now()
	for _, w := range site.Workers {
		if w.Running(lasting) > 0 && trouble {
			w.Crash()
			break
		}
	}
	idle, count := time.Duration(0), 0
	for last := crashed; time.Since(crashed) < watchTime; {
		time.Sleep(100 * time.Millisecond)
		now := time.Now()
		if count = runningOf(site, lasting); count == wholeTasks {
			idle = 0
		} else if now.Sub(crashed) > restartTime {
			idle += now.Sub(last)
		}
		last = now
	}
	if idle > lostAfter {
		return broken("%.1f s after a worker has crashed, %d of %d tasks that last run, for the last %.1f s at least",
			time.Since(crashed).Seconds(), count, wholeTasks, idle.Seconds())
	}
	return verdict{}
}

// runningOf returns the number of running tasks of a job on all workers.
func runningOf(site *platform.Site, id string) int {
	count := 0
	for _, w := range site.Workers {
		count += w.Running(id)
	}
	return count
}

// sendUrgent hands in jobs of priority 0 until stop is closed.
func sendUrgent(site *platform.Site, stop <-chan struct{}) {
	ticker := time.NewTicker(urgentInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		id := fmt.Sprintf("%016x", 0xab5400+i)
		site.CallQueue(site.VMs[i%len(site.VMs)], "POST", platform.UrgentPrefix, id, map[string]any{
			"spec":  "spectral check",
			"steps": []map[string]any{{"count": 1, "cpu": 4000, "memMb": 4096, "gpu": 1, "estimateMs": 4000}},
		})
	}
}
